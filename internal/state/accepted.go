package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const (
	acceptedVersion = 1
	// mostMarks bounds the files whose hashes are kept.
	mostMarks = 16
)

// Accepted is the operator's file that a sidecar took over last, and what it took over
// before that. It is for a start with a file that can't be used: nothing else may stand
// in for it.
type Accepted struct {
	Version int
	Name    string         // of the sidecar
	Marks   []FileRevision // the youngest first, which is Text's
	Text    string
}

// FileRevision tells which file was taken over, and when.
type FileRevision struct {
	SHA256 string    `json:"sha256"`
	At     time.Time `json:"at"`
	Bytes  int       `json:"bytes"`
}

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Add notes that a text has been taken over; it reports false if it is that of the last
// time.
func (a *Accepted) Add(name, text string, at time.Time) bool {
	hash := hashOf(text)
	if len(a.Marks) > 0 && a.Marks[0].SHA256 == hash {
		return false
	}
	marks := append([]FileRevision{{hash, at.UTC().Truncate(time.Second), len(text)}}, a.Marks...)
	*a = Accepted{acceptedVersion, name, marks[:min(len(marks), mostMarks)], text}
	return true
}

// Encode makes the record of it.
func (a *Accepted) Encode() ([]byte, error) {
	b, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return b, nil
}

// DecodeAccepted reads what the sidecar of a name kept. A text that has not the hash of
// what was taken over is refused: it may be anything.
func DecodeAccepted(name string, record []byte) (*Accepted, error) {
	a := &Accepted{}
	if err := json.Unmarshal(record, a); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	switch {
	case a.Version != acceptedVersion:
		return nil, fmt.Errorf("state: it is of version %d, %d is expected", a.Version, acceptedVersion)
	case a.Name != name:
		return nil, fmt.Errorf("state: it is sidecar %.100q's, not %.100q's", a.Name, name)
	case len(a.Marks) == 0 || len(a.Marks) > mostMarks:
		return nil, errors.New("state: no file was taken over")
	case a.Marks[0].SHA256 != hashOf(a.Text):
		return nil, errors.New("state: the text is not that of the file that was taken over")
	}
	return a, nil
}
