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
	// maxRevisions bounds the revisions whose hashes are stored.
	maxRevisions = 16
)

// Accepted is the operator file that a sidecar applied last, and the hashes of those
// before it. It is used at a start if the operator file can't be used; nothing else may
// take its place.
type Accepted struct {
	Version int
	Name    string         // of the sidecar
	Marks   []FileRevision // newest first; the first is that of Text
	Text    string
}

// FileRevision identifies an operator file that was applied, and when.
type FileRevision struct {
	SHA256 string    `json:"sha256"`
	At     time.Time `json:"at"`
	Bytes  int       `json:"bytes"`
}

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Add records that a text was applied; it returns false if the last applied text is the
// same.
func (a *Accepted) Add(name, text string, at time.Time) bool {
	hash := hashOf(text)
	if len(a.Marks) > 0 && a.Marks[0].SHA256 == hash {
		return false
	}
	revisions := append([]FileRevision{{hash, at.UTC().Truncate(time.Second), len(text)}}, a.Marks...)
	*a = Accepted{acceptedVersion, name, revisions[:min(len(revisions), maxRevisions)], text}
	return true
}

// Encode returns the JSON record.
func (a *Accepted) Encode() ([]byte, error) {
	b, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return b, nil
}

// DecodeAccepted decodes the record of the named sidecar. A text that does not match the
// hash of the applied file is rejected: it may be anything.
func DecodeAccepted(name string, record []byte) (*Accepted, error) {
	a := &Accepted{}
	if err := json.Unmarshal(record, a); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	switch {
	case a.Version != acceptedVersion:
		return nil, fmt.Errorf("state: record has version %d, expected %d", a.Version, acceptedVersion)
	case a.Name != name:
		return nil, fmt.Errorf("state: record belongs to sidecar %.100q, not %.100q", a.Name, name)
	case len(a.Marks) == 0 || len(a.Marks) > maxRevisions:
		return nil, errors.New("state: record lists no applied file")
	case a.Marks[0].SHA256 != hashOf(a.Text):
		return nil, errors.New("state: text does not match the hash of the applied file")
	}
	return a, nil
}
