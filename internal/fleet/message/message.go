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

	"spokegw/internal/fleet/coordination"
	"spokegw/internal/fleet/election"
	"spokegw/internal/fleet/quota"
	"spokegw/internal/fleet/weights"
)

const (
	// Version is that of messages on quotas, CouncilVersion that of what is decided for all:
	// a program that knows the first alone counts the second as another version's, and shares
	// quotas still. A change that is no further field has another.
	Version        = 1
	CouncilVersion = 2
	// MaxSize is that of a message in bytes: it fits a datagram (IPv6's least MTU is 1,280).
	MaxSize = 1024
	// MaxName is that of a gateway's or a contract's name in bytes.
	MaxName = 64
)

// ErrVersion tells that a message has a version that is not known here.
var ErrVersion = errors.New("message: another version")

// Message is one message. One of Report, Reply and the council's is told.
type Message struct {
	Contract string // of Report or Reply
	Report   *quota.Report
	Reply    *quota.Reply
	Council  coordination.Message
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
	Promise       bool          `cbor:"16,keyasint,omitempty"`
	Term          uint64        `cbor:"17,keyasint,omitempty"`
	Beat          uint64        `cbor:"18,keyasint,omitempty"`
	Number        uint64        `cbor:"19,keyasint,omitempty"` // of a table of Term
	Part          int           `cbor:"20,keyasint,omitempty"` // of a report
	Parts         uint64        `cbor:"21,keyasint,omitempty"` // of a table: those that are there, or how many there are
	Index         int           `cbor:"22,keyasint,omitempty"` // of a table's part
	Packed        []byte        `cbor:"23,keyasint,omitempty"`
	Holder        string        `cbor:"24,keyasint,omitempty"`
}

type kind uint8

const (
	report kind = iota + 1
	reply
	dutyReport
	dutyReply
	weightsReport
	weightsAnswer
)

// version is that of a kind's messages; 0: it is not known.
func (k kind) version() byte {
	switch k {
	case report, reply:
		return Version
	case dutyReport, dutyReply, weightsReport, weightsAnswer:
		return CouncilVersion
	}
	return 0
}

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
		w.Kind, w.From, w.Incarnation, w.Seq, w.To, w.ToIncarnation, w.Heard = report, r.From, r.Incarnation, r.Seq, r.To, r.ToIncarnation, r.Ack
		w.Demand, w.Cede = r.Demand, r.Lend
	case m.Reply != nil:
		r := m.Reply
		w.Kind, w.From, w.Incarnation, w.Seq, w.To, w.ToIncarnation, w.Heard = reply, r.From, r.Incarnation, r.Seq, r.To, r.ToIncarnation, r.Ack
		w.Grant, w.For, w.Ask, w.Relied, w.Known = r.Grant, r.GrantTTL, r.LendTarget, r.LoanInUse, r.KnownIncarnation
	default:
		if !w.setCouncil(&m.Council) {
			return b, errors.New("message: there is nothing in it")
		}
	}
	if err := w.check(); err != nil {
		return b, err
	}
	text, err := cbor.Marshal(&w)
	if err != nil {
		return b, fmt.Errorf("message: %w", err)
	}
	return append(append(b, w.Kind.version()), text...), nil
}

// Parse reads a message. The error is ErrVersion where it has another version.
func Parse(b []byte) (Message, error) {
	if len(b) == 0 || len(b) > MaxSize {
		return Message{}, fmt.Errorf("message: 1 to %d bytes are expected, not %d", MaxSize, len(b))
	}
	if b[0] != Version && b[0] != CouncilVersion {
		return Message{}, fmt.Errorf("%w: %d, and %d is the last that is known", ErrVersion, b[0], CouncilVersion)
	}
	var w body
	if err := decoder.Unmarshal(b[1:], &w); err != nil {
		return Message{}, fmt.Errorf("message: %w", err)
	}
	if err := w.check(); err != nil {
		return Message{}, err
	}
	if w.Kind.version() != b[0] {
		return Message{}, fmt.Errorf("message: kind %d is not of version %d", w.Kind, b[0])
	}
	m := Message{Contract: w.Contract, Council: w.council()}
	switch w.Kind {
	case report:
		m.Report = &quota.Report{From: w.From, Incarnation: w.Incarnation, Seq: w.Seq, To: w.To, ToIncarnation: w.ToIncarnation, Ack: w.Heard, Demand: w.Demand, Lend: w.Cede}
	case reply:
		m.Reply = &quota.Reply{From: w.From, Incarnation: w.Incarnation, Seq: w.Seq, To: w.To, ToIncarnation: w.ToIncarnation, Ack: w.Heard, Grant: w.Grant, GrantTTL: w.For, LendTarget: w.Ask, LoanInUse: w.Relied, KnownIncarnation: w.Known}
	}
	return m, nil
}

// check holds a message to its bounds.
func (w *body) check() error {
	names := []string{w.From, w.To}
	if w.Kind.version() == Version {
		names = append(names, w.Contract)
	}
	for _, n := range names {
		if n == "" || len(n) > MaxName {
			return fmt.Errorf("message: names of 1 to %d bytes are expected, not %.80q", MaxName, n)
		}
	}
	if len(w.Holder) > MaxName {
		return fmt.Errorf("message: names of %d bytes at most are expected", MaxName)
	}
	for _, p := range []quota.Part{w.Demand, w.Cede, w.Grant, w.Ask, w.Relied} {
		if p < 0 || p > quota.Whole {
			return fmt.Errorf("message: parts of 0 to %d are expected, not %d", quota.Whole, p)
		}
	}
	switch {
	case w.Kind.version() == 0:
		return fmt.Errorf("message: kind %d is not known", w.Kind)
	case w.For < 0 || w.For > time.Minute:
		return fmt.Errorf("message: a time of 0 to 1m is expected, not %v", w.For)
	case w.Incarnation == 0 && w.Kind != weightsAnswer:
		return errors.New("message: an incarnation over 0 is expected")
	case w.Part < 0 || w.Part > weights.MaxReportParts || w.Index < 0 || w.Index > weights.MaxEndpoints:
		return errors.New("message: a part that is none")
	}
	return nil
}

// setCouncil fills in a message of the council's; false: there is none.
func (w *body) setCouncil(m *coordination.Message) bool {
	switch {
	case m.LeaderReport != nil:
		r := m.LeaderReport
		w.Kind, w.From, w.Incarnation, w.Seq, w.To, w.ToIncarnation, w.Heard = dutyReport, r.From, r.Incarnation, r.Seq, r.To, r.ToIncarnation, r.Ack
		w.Promise, w.Term = r.Vote, uint64(r.Term)
	case m.LeaderReply != nil:
		r := m.LeaderReply
		w.Kind, w.From, w.Incarnation, w.Seq, w.To, w.ToIncarnation, w.Heard = dutyReply, r.From, r.Incarnation, r.Seq, r.To, r.ToIncarnation, r.Ack
		w.Term, w.Holder, w.Known = uint64(r.Term), r.Leader, r.KnownIncarnation
	case m.Report != nil:
		r := m.Report
		w.Kind, w.From, w.Incarnation, w.Seq, w.To, w.Beat = weightsReport, r.From, r.Incarnation, r.Seq, r.To, r.Heartbeat
		w.Part, w.Term, w.Number, w.Parts, w.Packed = r.Part, r.TableVersion.Term, r.TableVersion.Seq, r.TableParts, r.Stats
	case m.Answer != nil:
		a := m.Answer // part and index are from -1 on there
		w.Kind, w.From, w.Seq, w.To, w.ToIncarnation, w.Beat = weightsAnswer, a.From, a.Seq, a.To, a.ToIncarnation, a.Heartbeat
		w.Part, w.Term, w.Number, w.Index, w.Parts, w.Packed = a.Part+1, a.Table.Term, a.Table.Seq, a.Index+1, uint64(a.Parts), a.Entries
	default:
		return false
	}
	return true
}

// council is the council's message; none of another kind.
func (w *body) council() (m coordination.Message) {
	if len(w.Packed) == 0 {
		w.Packed = nil
	}
	switch w.Kind {
	case dutyReport:
		m.LeaderReport = &election.Report{From: w.From, Incarnation: w.Incarnation, Seq: w.Seq, To: w.To, ToIncarnation: w.ToIncarnation, Ack: w.Heard, Vote: w.Promise, Term: election.Term(w.Term)}
	case dutyReply:
		m.LeaderReply = &election.Reply{From: w.From, Incarnation: w.Incarnation, Seq: w.Seq, To: w.To, ToIncarnation: w.ToIncarnation, Ack: w.Heard, Term: election.Term(w.Term), Leader: w.Holder, KnownIncarnation: w.Known}
	case weightsReport:
		m.Report = &weights.Report{From: w.From, Incarnation: w.Incarnation, Seq: w.Seq, To: w.To, Heartbeat: w.Beat, Part: w.Part, TableVersion: weights.Version{Term: w.Term, Seq: w.Number}, TableParts: w.Parts, Stats: w.Packed}
	case weightsAnswer:
		m.Answer = &weights.Answer{
			From: w.From, Seq: w.Seq, To: w.To, ToIncarnation: w.ToIncarnation, Heartbeat: w.Beat, Part: w.Part - 1,
			Table: weights.Version{Term: w.Term, Seq: w.Number}, Index: w.Index - 1, Parts: int(min(w.Parts, weights.MaxEndpoints)), Entries: w.Packed,
		}
	}
	return m
}
