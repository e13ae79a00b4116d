// Package handover lets a new process take the place of one that serves, with
// nothing lost between the two. What is passed is read here, and how the limits
// of the one sidecar that the two are for are divided is decided in Division;
// both are pure. The sockets are in conn.go. docs/design/upgrade.md tells why.
package handover

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"time"

	"spokegw/internal/broker"
	"spokegw/internal/discovery"
	"spokegw/internal/keyed"
	"spokegw/internal/learnt"
	"spokegw/internal/moves"
)

// Version is that of the records. Processes of different versions pass nothing:
// the new one starts from what its configuration tells.
const Version = 1

// MaxRecord bounds a record in bytes. A list has 4,096 entries at most, at some
// 200 bytes each, the ids take 200 KB, and MaxKeys notes of 170 bytes 1.4 MB.
const MaxRecord = 4 << 20

// MaxKeys bounds the keys that are passed of a service: all that it remembers. With
// fewer the older ones of a busy service were lost on the way.
const MaxKeys = keyed.MaxKeys

const (
	magic    = "SGWH"
	headSize = len(magic) + 2 + 4 + 4 // version, length, checksum
)

// Kind says what a record tells.
type Kind string

const (
	KindHello   Kind = "hello"   // the new process asks
	KindState   Kind = "state"   // what it is given, once
	KindBusy    Kind = "busy"    // another successor is there already
	KindServing Kind = "serving" // the new process serves from now on; back: the old one has noted it
	KindMembers Kind = "members" // what discovery told the old process
	KindKey     Kind = "key"     // a keyed request that the sender is to send, the old process maybe once it is kept
	KindKept    Kind = "kept"    // back: it is on the new process's disk, or can't be
	KindPart    Kind = "part"    // the part of the sender has changed
)

// Record is one message between two processes.
type Record struct {
	Kind    Kind
	Name    string   `json:",omitempty"` // of the sidecar; hello
	Listen  string   `json:",omitempty"` // where it listens; hello
	Part    float64  `json:",omitempty"` // of the sender; state and part
	Handed  bool     `json:",omitempty"` // the sender has a successor; part
	State   *State   `json:",omitempty"`
	Members *Members `json:",omitempty"`
	Key     *Key     `json:",omitempty"`
	Keeps   bool     `json:",omitempty"` // it says when a key is on its disk; hello
	Number  uint64   `json:",omitempty"` // of a key whose being kept is waited for; key and kept
	Failed  bool     `json:",omitempty"` // it can't be; kept
}

// State is what one process knows that the next should.
type State struct {
	At       time.Duration `json:",omitempty"` // by the machine's clock, before it was collected; 0: not known
	IDs      IDs           // of requests taken of late
	Drained  bool          `json:",omitempty"` // the sidecar is, by operators
	Services []Service
}

// Service is what is known of one service.
type Service struct {
	ServiceRef
	Members  Members          // none where its endpoints stand in the operator's file
	Disabled []string         `json:",omitempty"` // endpoints, by operators
	Classes  []string         // names, by the places that the rest knows
	Learnt   learnt.Record    `json:",omitempty"`
	Standing *broker.Snapshot `json:",omitempty"` // of its contracts
	Keys     []keyed.Note     `json:",omitempty"` // of requests whose effect may have run
	Moves    []moves.Record   `json:",omitempty"`
}

// ServiceRef names a service.
type ServiceRef struct {
	Service  string
	Platform bool // it is the platform's own, whatever its name
}

// Is reports whether two names are of one service.
func (o ServiceRef) Is(other ServiceRef) bool {
	return o.Platform == other.Platform && (o.Platform || o.Service == other.Service)
}

// Find is what is known of a service; nil where nothing is.
func (s *State) Find(of ServiceRef) *Service {
	for i := range s.Services {
		if s.Services[i].Is(of) {
			return &s.Services[i]
		}
	}
	return nil
}

// Key is the note of a keyed request of a service.
type Key struct {
	ServiceRef
	keyed.Note
	At time.Duration `json:",omitempty"` // by the machine's clock, when it was as old as the note says; 0: not known
}

// Aged is the key at a time of the machine's clock, which both processes go by: either may have
// stood still while it was told.
func (k Key) Aged(now time.Duration) Key {
	k.Note = AgeNote(k.Note, k.At, now)
	k.At = now
	return k
}

// AgeNote is a note that was as old as it says at a time, at a later one. It is remembered no shorter.
func AgeNote(n keyed.Note, at, now time.Duration) keyed.Note {
	if at > 0 {
		n.Age += max(now-at, 0)
	}
	return n
}

// Members are entries from discovery: the whole list, or only changes.
type Members struct {
	ServiceRef
	Version int64 // that they are at least as new as; 0: not known
	Full    bool
	Entries []discovery.Entry
}

// IDs are hashes of ids, and the key that they were made with.
type IDs struct {
	Key    uint64
	Hashes []uint64
}

// maxIDs bounds the ids that are taken over.
const maxIDs = 1 << 14

// check refuses a record that has come whole and can't be meant.
func (r *Record) check() error {
	switch r.Kind {
	case KindHello, KindBusy, KindServing:
	case KindState, KindPart:
		if !(r.Part > 0 && r.Part <= 1) {
			return fmt.Errorf("handover: %s: a part of %v, more than 0 and at most 1 is expected", r.Kind, r.Part)
		}
		if r.Kind == KindState && r.State == nil {
			return fmt.Errorf("handover: state: nothing in it")
		}
		if r.State != nil && len(r.State.IDs.Hashes) > maxIDs {
			return fmt.Errorf("handover: state: %d ids, at most %d are expected", len(r.State.IDs.Hashes), maxIDs)
		}
	case KindMembers:
		if r.Members == nil {
			return fmt.Errorf("handover: members: nothing in it")
		}
	case KindKey:
		if r.Key == nil {
			return fmt.Errorf("handover: key: nothing in it")
		}
	case KindKept:
		if r.Number == 0 {
			return fmt.Errorf("handover: kept: no number, one that a key came with is expected")
		}
	default:
		return fmt.Errorf("handover: a record of kind %.20q", r.Kind)
	}
	return nil
}

// Encode writes a record.
func Encode(r *Record) ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("handover: %s: %w", r.Kind, err)
	}
	if len(body) > MaxRecord {
		return nil, fmt.Errorf("handover: %s: %d bytes, at most %d are expected", r.Kind, len(body), MaxRecord)
	}
	b := make([]byte, 0, headSize+len(body))
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint16(b, Version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(body))
	return append(b, body...), nil
}

// next is the record that some bytes begin with, and its length; 0: it has not come whole.
func next(b []byte) (r *Record, n int, err error) {
	if len(b) < headSize {
		return nil, 0, nil
	}
	if length := binary.BigEndian.Uint32(b[headSize-8:]); length <= MaxRecord {
		if n = headSize + int(length); len(b) < n && string(b[:len(magic)]) == magic {
			return nil, 0, nil
		}
	}
	r, err = Decode(bytes.NewReader(b))
	return r, n, err
}

// Decode reads a record. It holds no more than has come, so a length that lies
// costs nothing.
func Decode(from io.Reader) (*Record, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return nil, err
	}
	if string(head[:len(magic)]) != magic {
		return nil, fmt.Errorf("handover: %q in place of %q: something else speaks there", head[:len(magic)], magic)
	}
	rest := head[len(magic):]
	if v := binary.BigEndian.Uint16(rest); v != Version {
		return nil, fmt.Errorf("handover: version %d, %d is expected", v, Version)
	}
	length, sum := binary.BigEndian.Uint32(rest[2:]), binary.BigEndian.Uint32(rest[6:])
	if length > MaxRecord {
		return nil, fmt.Errorf("handover: a record of %d bytes, at most %d are expected", length, MaxRecord)
	}
	body, err := io.ReadAll(io.LimitReader(from, int64(length)))
	if err == nil && len(body) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if crc32.ChecksumIEEE(body) != sum {
		return nil, fmt.Errorf("handover: the checksum does not fit")
	}
	r := &Record{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return r, r.check()
}
