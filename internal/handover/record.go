// Package handover lets a new process replace a serving one without losing a request. This file
// holds the records that the two exchange, and Division decides how the two share the limits of the
// one sidecar; both are free of side effects. The sockets are in conn.go. docs/design/upgrade.md
// gives the reasons.
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

// Version is the version of the record format. Processes of different versions exchange no state:
// the new process starts from its configuration.
const Version = 1

// MaxRecord bounds a record in bytes. A list has at most 4,096 entries of about 200 bytes, the
// request IDs take 200 KB, and MaxKeys notes of 170 bytes take 1.4 MB.
const MaxRecord = 4 << 20

// MaxKeys bounds the keys that are handed over per service: all that a service remembers. With a
// smaller bound, the older keys of a busy service were lost in the handover.
const MaxKeys = keyed.MaxKeys

const (
	magic    = "SGWH"
	headSize = len(magic) + 2 + 4 + 4
)

// Kind is the type of a record.
type Kind string

const (
	KindHello        Kind = "hello"   // the new process requests the handover
	KindState        Kind = "state"   // the answer to hello, once
	KindBusy         Kind = "busy"    // the answer to hello if there is another successor already
	KindServing      Kind = "serving" // the new process serves from now on; in reply: the old process acknowledges it
	KindMembers      Kind = "members" // a discovery update from the old process
	KindKey          Kind = "key"     // a keyed request that the sender is about to send, if it has a Number once confirmed
	KindID           Kind = "id"      // a request that the sender is about to send, to a process that takes ids
	KindConfirmation Kind = "kept"    // in reply: the key is on the new process's disk, or can't be stored
	KindShare        Kind = "part"    // the sender's share has changed
)

type Record struct {
	Kind     Kind
	Name     string   `json:",omitempty"` // of the sidecar; in hello
	Listen   string   `json:",omitempty"` // the sidecar's listen address; in hello
	Part     float64  `json:",omitempty"` // the sender's share; in state and part
	Handed   bool     `json:",omitempty"` // the sender has a successor; in part
	State    *State   `json:",omitempty"`
	Members  *Members `json:",omitempty"`
	Key      *Key     `json:",omitempty"`
	Keeps    bool     `json:",omitempty"` // the sender confirms when a key is on its disk; in hello
	TakesIDs bool     `json:",omitempty"` // the sender takes ids; in hello and state
	ID       uint64   `json:",omitempty"` // hash of a request's id, with the key of the state; in id
	Number   uint64   `json:",omitempty"` // identifies a key that needs a confirmation; in key and kept
	Failed   bool     `json:",omitempty"` // the key can't be stored; in kept
}

// State is the part of a process's state that its successor continues with.
type State struct {
	At       time.Duration `json:",omitempty"` // machine clock, read before the state was collected; 0: unknown
	IDs      IDs           // of recent requests
	Drained  bool          `json:",omitempty"` // operators have drained the sidecar
	Services []Service
}

// Service is the state of one service.
type Service struct {
	ServiceRef
	Members  Members          // empty if the operator's file lists the endpoints
	Disabled []string         `json:",omitempty"` // endpoints disabled by operators
	Classes  []string         // class names; the other fields refer to their indexes
	Learnt   learnt.Record    `json:",omitempty"`
	Standing *broker.Snapshot `json:",omitempty"` // of the service's contracts
	Keys     []keyed.Note     `json:",omitempty"` // of requests whose effect may have happened
	Moves    []moves.Record   `json:",omitempty"`
}

// ServiceRef identifies a service.
type ServiceRef struct {
	Service  string
	Platform bool // the platform's own service, whatever its name
}

// Is reports whether both identify the same service.
func (o ServiceRef) Is(other ServiceRef) bool {
	return o.Platform == other.Platform && (o.Platform || o.Service == other.Service)
}

// Find returns the state of a service, or nil.
func (s *State) Find(of ServiceRef) *Service {
	for i := range s.Services {
		if s.Services[i].Is(of) {
			return &s.Services[i]
		}
	}
	return nil
}

// Key is the note of a keyed request to a service.
type Key struct {
	ServiceRef
	keyed.Note
	At time.Duration `json:",omitempty"` // machine clock at which the note had its age; 0: unknown
}

// Aged returns the key with its age advanced to a time of the machine clock, which both processes
// share. It accounts for a stall of either process while the key was sent.
func (k Key) Aged(now time.Duration) Key {
	k.Note = AgeNote(k.Note, k.At, now)
	k.At = now
	return k
}

// AgeNote returns a note whose age was current at one time, as of a later time. It adds only time
// that has passed, and none if at is unknown, so no note is forgotten early.
func AgeNote(n keyed.Note, at, now time.Duration) keyed.Note {
	if at > 0 {
		n.Age += max(now-at, 0)
	}
	return n
}

// Members are discovery entries: the whole list, or only changes.
type Members struct {
	ServiceRef
	Version int64 // the entries are at least as new as this version; 0: unknown
	Full    bool
	Entries []discovery.Entry
}

// IDs are hashes of request IDs, and the hash key.
type IDs struct {
	Key    uint64
	Hashes []uint64
}

// maxIDs bounds the request IDs in a state.
const maxIDs = 1 << 14

// validate reports an error for a complete record whose content is invalid.
func (r *Record) validate() error {
	switch r.Kind {
	case KindHello, KindBusy, KindServing, KindID:
	case KindState, KindShare:
		if !(r.Part > 0 && r.Part <= 1) {
			return fmt.Errorf("handover: %s: a share of %v, more than 0 and at most 1 is expected", r.Kind, r.Part)
		}
		if r.Kind == KindState && r.State == nil {
			return fmt.Errorf("handover: state: the record has no state")
		}
		if r.State != nil && len(r.State.IDs.Hashes) > maxIDs {
			return fmt.Errorf("handover: state: %d ids, at most %d are expected", len(r.State.IDs.Hashes), maxIDs)
		}
	case KindMembers:
		if r.Members == nil {
			return fmt.Errorf("handover: members: the record has no members")
		}
	case KindKey:
		if r.Key == nil {
			return fmt.Errorf("handover: key: the record has no key")
		}
	case KindConfirmation:
		if r.Number == 0 {
			return fmt.Errorf("handover: kept: the number of a key is expected")
		}
	default:
		return fmt.Errorf("handover: unknown record kind %.20q", r.Kind)
	}
	return nil
}

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

// parseNext decodes the record at the start of b and returns its length, or 0 if the record is
// incomplete.
func parseNext(b []byte) (r *Record, n int, err error) {
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

// Decode reads a record. It buffers no more than the data received, so that a false length field
// does not allocate memory.
func Decode(from io.Reader) (*Record, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return nil, err
	}
	if string(head[:len(magic)]) != magic {
		return nil, fmt.Errorf("handover: the record begins with %q, %q is expected", head[:len(magic)], magic)
	}
	header := head[len(magic):]
	if v := binary.BigEndian.Uint16(header); v != Version {
		return nil, fmt.Errorf("handover: version %d, %d is expected", v, Version)
	}
	length, sum := binary.BigEndian.Uint32(header[2:]), binary.BigEndian.Uint32(header[6:])
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
		return nil, fmt.Errorf("handover: the checksum does not match")
	}
	r := &Record{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return r, r.validate()
}
