// Package message is what gateways of a fleet tell one another, as bytes: a version, then
// CBOR (RFC 8949) with numbered fields. Each field and the whole are bounded, also what a
// sender makes up. What has another version is told apart from what is broken, so that it
// can be skipped and counted; fields that a later program adds to this version are left
// out. It is pure.
package message

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"spokegw/internal/fleet/quota"
)

const (
	// Version is that of the messages. A change that is no further field has another.
	Version = 1
	// MaxSize is that of a message in bytes: it fits a datagram (IPv6's least MTU is 1,280).
	MaxSize = 1024
	// MaxName is that of a gateway's or a contract's name in bytes.
	MaxName = 64
)

// ErrVersion tells that a message has a version that is not known here.
var ErrVersion = errors.New("message: another version")

// Message is one message. One of Report and Reply is told.
type Message struct {
	Contract string
	Report   *quota.Report
	Reply    *quota.Reply
}

// body is a message on the wire. Numbers of fields are never used for anything else.
type body struct {
	Contract      string        `cbor:"1,keyasint"`
	Kind          kind          `cbor:"2,keyasint"`
	From          string        `cbor:"3,keyasint"`
	Incarnation   uint64        `cbor:"4,keyasint"`
	Seq           uint64        `cbor:"5,keyasint,omitempty"`
	To            string        `cbor:"6,keyasint"`
	ToIncarnation uint64        `cbor:"7,keyasint,omitempty"`
	Heard         uint64        `cbor:"8,keyasint,omitempty"`
	Demand        quota.Part    `cbor:"9,keyasint,omitempty"`
	Cede          quota.Part    `cbor:"10,keyasint,omitempty"`
	Grant         quota.Part    `cbor:"11,keyasint,omitempty"`
	For           time.Duration `cbor:"12,keyasint,omitempty"`
	Ask           quota.Part    `cbor:"13,keyasint,omitempty"`
	Relied        quota.Part    `cbor:"14,keyasint,omitempty"`
	Known         uint64        `cbor:"15,keyasint,omitempty"`
}

type kind uint8

const (
	report kind = 1
	reply  kind = 2
)

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 64,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Append appends a message's bytes.
func Append(b []byte, m Message) ([]byte, error) {
	w := body{Contract: m.Contract}
	switch {
	case m.Report != nil:
		r := m.Report
		w.Kind, w.From, w.Incarnation, w.Seq, w.To, w.ToIncarnation, w.Heard = report, r.From, r.Incarnation, r.Seq, r.To, r.ToIncarnation, r.Heard
		w.Demand, w.Cede = r.Demand, r.Cede
	case m.Reply != nil:
		r := m.Reply
		w.Kind, w.From, w.Incarnation, w.Seq, w.To, w.ToIncarnation, w.Heard = reply, r.From, r.Incarnation, r.Seq, r.To, r.ToIncarnation, r.Heard
		w.Grant, w.For, w.Ask, w.Relied, w.Known = r.Grant, r.For, r.Ask, r.Relied, r.Known
	default:
		return b, errors.New("message: neither report nor reply")
	}
	if err := w.check(); err != nil {
		return b, err
	}
	text, err := cbor.Marshal(&w)
	if err != nil {
		return b, fmt.Errorf("message: %w", err)
	}
	return append(append(b, Version), text...), nil
}

// Parse reads a message. The error is ErrVersion where it has another version.
func Parse(b []byte) (Message, error) {
	if len(b) == 0 || len(b) > MaxSize {
		return Message{}, fmt.Errorf("message: 1 to %d bytes are expected, not %d", MaxSize, len(b))
	}
	if b[0] != Version {
		return Message{}, fmt.Errorf("%w: %d, and %d is known", ErrVersion, b[0], Version)
	}
	var w body
	if err := decoder.Unmarshal(b[1:], &w); err != nil {
		return Message{}, fmt.Errorf("message: %w", err)
	}
	if err := w.check(); err != nil {
		return Message{}, err
	}
	m := Message{Contract: w.Contract}
	if w.Kind == report {
		m.Report = &quota.Report{From: w.From, Incarnation: w.Incarnation, Seq: w.Seq, To: w.To, ToIncarnation: w.ToIncarnation, Heard: w.Heard, Demand: w.Demand, Cede: w.Cede}
	} else {
		m.Reply = &quota.Reply{From: w.From, Incarnation: w.Incarnation, Seq: w.Seq, To: w.To, ToIncarnation: w.ToIncarnation, Heard: w.Heard, Grant: w.Grant, For: w.For, Ask: w.Ask, Relied: w.Relied, Known: w.Known}
	}
	return m, nil
}

// check holds a message to its bounds.
func (w *body) check() error {
	for _, n := range []string{w.Contract, w.From, w.To} {
		if n == "" || len(n) > MaxName {
			return fmt.Errorf("message: names of 1 to %d bytes are expected, not %.80q", MaxName, n)
		}
	}
	for _, p := range []quota.Part{w.Demand, w.Cede, w.Grant, w.Ask, w.Relied} {
		if p < 0 || p > quota.Whole {
			return fmt.Errorf("message: parts of 0 to %d are expected, not %d", quota.Whole, p)
		}
	}
	switch {
	case w.Kind != report && w.Kind != reply:
		return fmt.Errorf("message: kind %d is not known", w.Kind)
	case w.For < 0 || w.For > time.Minute:
		return fmt.Errorf("message: a time of 0 to 1m is expected, not %v", w.For)
	case w.Incarnation == 0:
		return errors.New("message: an incarnation over 0 is expected")
	}
	return nil
}
