package message

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"spokegw/internal/fleet/coordination"
	"spokegw/internal/fleet/election"
	"spokegw/internal/fleet/quota"
	"spokegw/internal/fleet/weights"
)

var examples = []Message{
	{Contract: "maps/bijela-kosa", Report: &quota.Report{From: "g1", Incarnation: 7, Seq: 3, To: "g2", ToIncarnation: 9, Ack: 2, Demand: quota.Whole, Lend: 5}},
	{Contract: "c", Report: &quota.Report{From: "g1", Incarnation: 1 << 63, Seq: 1, To: "g1"}},
	{Contract: "c", Reply: &quota.Reply{From: "g2", Incarnation: 9, Seq: 1 << 40, To: "g1", ToIncarnation: 7, Ack: 3, Grant: 4, GrantTTL: time.Second, LendTarget: 5, LoanInUse: 6}},
	{Contract: "c", Reply: &quota.Reply{From: "g2", Incarnation: 9, To: "g1", ToIncarnation: 7, KnownIncarnation: 8}},
	{Council: coordination.Message{LeaderReport: &election.Report{From: "g1", Incarnation: 7, Seq: 3, To: "g2", ToIncarnation: 9, Ack: 2, Vote: true, Term: 1 << 40}}},
	{Council: coordination.Message{LeaderReply: &election.Reply{From: "g2", Incarnation: 9, Seq: 4, To: "g1", ToIncarnation: 7, Ack: 3, Term: 1 << 40, Leader: "g2"}}},
	{Council: coordination.Message{Report: &weights.Report{From: "g1", To: "g2", Incarnation: 7, Heartbeat: 9, Seq: 3, Part: 2, TableVersion: weights.Version{Term: 5, Seq: 6}, TableParts: 3, Stats: []byte("sums")}}},
	{Council: coordination.Message{Report: &weights.Report{From: "g1", To: "g2", Incarnation: 7, Heartbeat: 9, Seq: 3}}},
	{Council: coordination.Message{Answer: &weights.Answer{From: "g2", To: "g1", ToIncarnation: 7, Heartbeat: 9, Seq: 3, Part: 2, Table: weights.Version{Term: 5, Seq: 6}, Index: 1, Parts: 4, Entries: []byte("factors")}}},
	{Council: coordination.Message{Answer: &weights.Answer{From: "g2", To: "g1", ToIncarnation: 7, Heartbeat: 9, Seq: 3, Part: -1, Index: -1, Parts: 1}}},
}

func TestRoundTrip(t *testing.T) {
	for _, m := range examples {
		b, err := Append(nil, m)
		if err != nil || len(b) > 200 {
			t.Fatal(len(b), err)
		}
		if got, err := Parse(b); err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%+v became %+v, %v", m, got, err)
		}
	}
}

// Fields added by a later release must be ignored; another version must be reported as such.
func TestLaterRelease(t *testing.T) {
	b, _ := Append(nil, examples[0])
	var fields map[int]any
	if err := cbor.Unmarshal(b[1:], &fields); err != nil {
		t.Fatal(err)
	}
	fields[40] = "more"
	more, _ := cbor.Marshal(fields)
	if got, err := Parse(append([]byte{Version}, more...)); err != nil || !reflect.DeepEqual(got, examples[0]) {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := Parse(append([]byte{CoordinationVersion}, b[1:]...)); err == nil || errors.Is(err, ErrVersion) {
		t.Errorf("a quota message with the other version: %v", err)
	}
	if _, err := Parse(append([]byte{CoordinationVersion + 1}, b[1:]...)); !errors.Is(err, ErrVersion) {
		t.Errorf("an unknown version: %v", err)
	}
}

// Invalid fields must be rejected, whoever sends them.
func TestBounds(t *testing.T) {
	for name, change := range map[string]func(*body){
		"no contract":                func(w *body) { w.Contract = "" },
		"a long name":                func(w *body) { w.From = string(bytes.Repeat([]byte("x"), MaxName+1)) },
		"a negative part":            func(w *body) { w.Lend = -1 },
		"a part above the whole":     func(w *body) { w.Demand = quota.Whole + 1 },
		"no kind":                    func(w *body) { w.Kind = 0 },
		"an unknown kind":            func(w *body) { w.Kind = 100 },
		"a report part out of range": func(w *body) { w.Part = weights.MaxReportParts + 1 },
		"a table index out of range": func(w *body) { w.Index = -1 },
		"a negative grant TTL":       func(w *body) { w.GrantTTL = -1 },
		"a grant TTL over a minute":  func(w *body) { w.GrantTTL = time.Minute + 1 },
		"no incarnation":             func(w *body) { w.Incarnation = 0 },
	} {
		w := body{Contract: "c", Kind: report, From: "g1", Incarnation: 1, Seq: 1, To: "g2"}
		change(&w)
		text, _ := cbor.Marshal(&w)
		if m, err := Parse(append([]byte{Version}, text...)); err == nil || errors.Is(err, ErrVersion) {
			t.Errorf("%s: %+v, %v", name, m, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, m := range examples {
		b, _ := Append(nil, m)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Parse(b)
		if err != nil {
			return
		}
		again, err := Append(nil, m)
		if err != nil {
			t.Fatalf("decoded %+v can't be encoded: %v", m, err)
		}
		if got, err := Parse(again); err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%+v became %+v, %v", m, got, err)
		}
	})
}
