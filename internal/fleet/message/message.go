// Package message encodes the messages between gateways of a fleet: a version byte, then CBOR
// (RFC 8949) with numbered fields. Each field and the whole message are bounded, whatever a
// sender puts in them. A message of an unknown version is reported separately from a malformed
// one, so that it can be skipped and counted; fields that a later release adds to a known version
// are ignored. It is pure.
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
	// Version is that of messages about quotas, CoordinationVersion that of leadership and
	// weights: a release that knows only the first counts the second as another version's and
	// still shares quotas. Any change other than an additional field needs a new version.
	Version             = 1
	CoordinationVersion = 2
	// MaxSize is the maximum size of a message in bytes. It fits in a datagram (the minimum IPv6
	// MTU is 1,280).
	MaxSize = 1024
	// MaxName is the maximum length of a gateway's or a contract's name in bytes.
	MaxName = 64
)

// ErrVersion is returned for a message of an unknown version.
var ErrVersion = errors.New("message: unknown version")

// Message is one message. Exactly one of Report, Reply and the fields of Council is set.
type Message struct {
	Contract string // of Report or Reply
	Report   *quota.Report
	Reply    *quota.Reply
	Council  coordination.Message
}

// body is a message on the wire. A field's number is never reused.
type body struct {
	Contract         string        `cbor:"1,keyasint"`
	Kind             kind          `cbor:"2,keyasint"`
	From             string        `cbor:"3,keyasint"`
	Incarnation      uint64        `cbor:"4,keyasint"`
	Seq              uint64        `cbor:"5,keyasint,omitempty"`
	To               string        `cbor:"6,keyasint"`
	ToIncarnation    uint64        `cbor:"7,keyasint,omitempty"`
	Ack              uint64        `cbor:"8,keyasint,omitempty"`
	Demand           quota.Part    `cbor:"9,keyasint,omitempty"`
	Lend             quota.Part    `cbor:"10,keyasint,omitempty"`
	Grant            quota.Part    `cbor:"11,keyasint,omitempty"`
	GrantTTL         time.Duration `cbor:"12,keyasint,omitempty"`
	LendTarget       quota.Part    `cbor:"13,keyasint,omitempty"`
	LoanInUse        quota.Part    `cbor:"14,keyasint,omitempty"`
	KnownIncarnation uint64        `cbor:"15,keyasint,omitempty"`
	Vote             bool          `cbor:"16,keyasint,omitempty"`
	Term             uint64        `cbor:"17,keyasint,omitempty"`
	Heartbeat        uint64        `cbor:"18,keyasint,omitempty"`
	TableSeq         uint64        `cbor:"19,keyasint,omitempty"` // sequence number of a table of Term
	Part             int           `cbor:"20,keyasint,omitempty"` // index of the part of a report
	TableParts       uint64        `cbor:"21,keyasint,omitempty"` // of a table: a bit mask of the parts received, or the number of parts
	Index            int           `cbor:"22,keyasint,omitempty"` // index of the part of a table
	Packed           []byte        `cbor:"23,keyasint,omitempty"`
	Leader           string        `cbor:"24,keyasint,omitempty"`
}

type kind uint8

const (
	report kind = iota + 1
	reply
	leaderReport
	leaderReply
	weightsReport
	weightsAnswer
)

// version returns the version of messages of this kind; 0: the kind is unknown.
func (k kind) version() byte {
	switch k {
	case report, reply:
		return Version
	case leaderReport, leaderReply, weightsReport, weightsAnswer:
		return CoordinationVersion
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

// Append appends the encoding of m to b.
func Append(b []byte, m Message) ([]byte, error) {
	w := body{Contract: m.Contract}
	switch {
	case m.Report != nil:
		r := m.Report
		w.Kind, w.From, w.Incarnation, w.Seq, w.To, w.ToIncarnation, w.Ack = report, r.From, r.Incarnation, r.Seq, r.To, r.ToIncarnation, r.Ack
		w.Demand, w.Lend = r.Demand, r.Lend
	case m.Reply != nil:
		r := m.Reply
		w.Kind, w.From, w.Incarnation, w.Seq, w.To, w.ToIncarnation, w.Ack = reply, r.From, r.Incarnation, r.Seq, r.To, r.ToIncarnation, r.Ack
		w.Grant, w.GrantTTL, w.LendTarget, w.LoanInUse, w.KnownIncarnation = r.Grant, r.GrantTTL, r.LendTarget, r.LoanInUse, r.KnownIncarnation
	default:
		if !w.setCoordination(&m.Council) {
			return b, errors.New("message: no message is set")
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

// Parse decodes a message. The error is ErrVersion if its version is unknown.
func Parse(b []byte) (Message, error) {
	if len(b) == 0 || len(b) > MaxSize {
		return Message{}, fmt.Errorf("message: want 1 to %d bytes, got %d", MaxSize, len(b))
	}
	if b[0] != Version && b[0] != CoordinationVersion {
		return Message{}, fmt.Errorf("%w: %d, the latest known is %d", ErrVersion, b[0], CoordinationVersion)
	}
	var w body
	if err := decoder.Unmarshal(b[1:], &w); err != nil {
		return Message{}, fmt.Errorf("message: %w", err)
	}
	if err := w.check(); err != nil {
		return Message{}, err
	}
	if w.Kind.version() != b[0] {
		return Message{}, fmt.Errorf("message: kind %d does not belong to version %d", w.Kind, b[0])
	}
	m := Message{Contract: w.Contract, Council: w.coordination()}
	switch w.Kind {
	case report:
		m.Report = &quota.Report{From: w.From, Incarnation: w.Incarnation, Seq: w.Seq, To: w.To, ToIncarnation: w.ToIncarnation, Ack: w.Ack, Demand: w.Demand, Lend: w.Lend}
	case reply:
		m.Reply = &quota.Reply{From: w.From, Incarnation: w.Incarnation, Seq: w.Seq, To: w.To, ToIncarnation: w.ToIncarnation, Ack: w.Ack, Grant: w.Grant, GrantTTL: w.GrantTTL, LendTarget: w.LendTarget, LoanInUse: w.LoanInUse, KnownIncarnation: w.KnownIncarnation}
	}
	return m, nil
}

// check verifies that all fields are within their bounds.
func (w *body) check() error {
	names := []string{w.From, w.To}
	if w.Kind.version() == Version {
		names = append(names, w.Contract)
	}
	for _, n := range names {
		if n == "" || len(n) > MaxName {
			return fmt.Errorf("message: want names of 1 to %d bytes, got %.80q", MaxName, n)
		}
	}
	if len(w.Leader) > MaxName {
		return fmt.Errorf("message: want names of at most %d bytes", MaxName)
	}
	for _, p := range []quota.Part{w.Demand, w.Lend, w.Grant, w.LendTarget, w.LoanInUse} {
		if p < 0 || p > quota.Whole {
			return fmt.Errorf("message: want parts of 0 to %d, got %d", quota.Whole, p)
		}
	}
	switch {
	case w.Kind.version() == 0:
		return fmt.Errorf("message: unknown kind %d", w.Kind)
	case w.GrantTTL < 0 || w.GrantTTL > time.Minute:
		return fmt.Errorf("message: want a grant TTL of 0 to 1m, got %v", w.GrantTTL)
	case w.Incarnation == 0 && w.Kind != weightsAnswer:
		return errors.New("message: want an incarnation above 0")
	case w.Part < 0 || w.Part > weights.MaxReportParts || w.Index < 0 || w.Index > weights.MaxEndpoints:
		return errors.New("message: part number out of range")
	}
	return nil
}

// setCoordination fills in a message of package coordination; false: it is empty.
func (w *body) setCoordination(m *coordination.Message) bool {
	switch {
	case m.LeaderReport != nil:
		r := m.LeaderReport
		w.Kind, w.From, w.Incarnation, w.Seq, w.To, w.ToIncarnation, w.Ack = leaderReport, r.From, r.Incarnation, r.Seq, r.To, r.ToIncarnation, r.Ack
		w.Vote, w.Term = r.Vote, uint64(r.Term)
	case m.LeaderReply != nil:
		r := m.LeaderReply
		w.Kind, w.From, w.Incarnation, w.Seq, w.To, w.ToIncarnation, w.Ack = leaderReply, r.From, r.Incarnation, r.Seq, r.To, r.ToIncarnation, r.Ack
		w.Term, w.Leader, w.KnownIncarnation = uint64(r.Term), r.Leader, r.KnownIncarnation
	case m.Report != nil:
		r := m.Report
		w.Kind, w.From, w.Incarnation, w.Seq, w.To, w.Heartbeat = weightsReport, r.From, r.Incarnation, r.Seq, r.To, r.Heartbeat
		w.Part, w.Term, w.TableSeq, w.TableParts, w.Packed = r.Part, r.TableVersion.Term, r.TableVersion.Seq, r.TableParts, r.Stats
	case m.Answer != nil:
		a := m.Answer // Part and Index start at -1 there
		w.Kind, w.From, w.Seq, w.To, w.ToIncarnation, w.Heartbeat = weightsAnswer, a.From, a.Seq, a.To, a.ToIncarnation, a.Heartbeat
		w.Part, w.Term, w.TableSeq, w.Index, w.TableParts, w.Packed = a.Part+1, a.Table.Term, a.Table.Seq, a.Index+1, uint64(a.Parts), a.Entries
	default:
		return false
	}
	return true
}

// coordination returns the message of package coordination; it is empty for other kinds.
func (w *body) coordination() (m coordination.Message) {
	if len(w.Packed) == 0 {
		w.Packed = nil
	}
	switch w.Kind {
	case leaderReport:
		m.LeaderReport = &election.Report{From: w.From, Incarnation: w.Incarnation, Seq: w.Seq, To: w.To, ToIncarnation: w.ToIncarnation, Ack: w.Ack, Vote: w.Vote, Term: election.Term(w.Term)}
	case leaderReply:
		m.LeaderReply = &election.Reply{From: w.From, Incarnation: w.Incarnation, Seq: w.Seq, To: w.To, ToIncarnation: w.ToIncarnation, Ack: w.Ack, Term: election.Term(w.Term), Leader: w.Leader, KnownIncarnation: w.KnownIncarnation}
	case weightsReport:
		m.Report = &weights.Report{From: w.From, Incarnation: w.Incarnation, Seq: w.Seq, To: w.To, Heartbeat: w.Heartbeat, Part: w.Part, TableVersion: weights.Version{Term: w.Term, Seq: w.TableSeq}, TableParts: w.TableParts, Stats: w.Packed}
	case weightsAnswer:
		m.Answer = &weights.Answer{
			From: w.From, Seq: w.Seq, To: w.To, ToIncarnation: w.ToIncarnation, Heartbeat: w.Heartbeat, Part: w.Part - 1,
			Table: weights.Version{Term: w.Term, Seq: w.TableSeq}, Index: w.Index - 1, Parts: int(min(w.TableParts, weights.MaxEndpoints)), Entries: w.Packed,
		}
	}
	return m
}
