package state

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spokegw/internal/broker"
	"spokegw/internal/discovery"
	"spokegw/internal/handover"
	"spokegw/internal/journal"
	"spokegw/internal/keyed"
	"spokegw/internal/learnt"
	"spokegw/internal/moves"
	"spokegw/internal/state/plan"
)

// testState returns the state of a sidecar with two services; n distinguishes states.
func testState(n int) *handover.State {
	st := &handover.State{Drained: n%2 == 1, IDs: handover.IDs{Key: 3, Hashes: []uint64{uint64(n)}}}
	for _, of := range []handover.ServiceRef{{Platform: true}, {Service: "weather"}} {
		st.Services = append(st.Services, handover.Service{
			ServiceRef: of, Disabled: []string{"s-1"}, Classes: []string{"tile"},
			Members:  handover.Members{Version: int64(n), Entries: []discovery.Entry{{ID: "s-1"}}},
			Learnt:   learnt.Record{{What: "load", Of: n}},
			Standing: &broker.Snapshot{},
			Keys:     []keyed.Note{{Key: uint64(n), Age: 1e9, Window: 1e12, Left: 1e13}},
		})
	}
	return st
}

// clearAges clears the fields of a state that depend on the time of reading.
func clearAges(st *handover.State) *handover.State {
	for i := range st.Services {
		for k := range st.Services[i].Keys {
			st.Services[i].Keys[k].Age, st.Services[i].Keys[k].Left = 0, 0
		}
	}
	return st
}

// mustDecode decodes a file with these images after flipping one bit, counted in bytes
// from the end; at < 0: none.
func mustDecode(t *rapid.T, images [][]byte, at int, bit uint) *handover.State {
	var b []byte
	for _, image := range images {
		var err error
		if b, err = journal.Append(b, image); err != nil {
			t.Fatal(err)
		}
	}
	if at >= 0 {
		b[len(b)-1-at] ^= 1 << bit
	}
	found, err := journal.Scan(b)
	if err != nil {
		t.Fatal(err)
	}
	st, err := Decode("n0", found.Last, found.Tail)
	if err != nil {
		t.Fatal(err)
	}
	return clearAges(st)
}

// After a bit flip in the last image at most one part is that of the previous image, or
// missing if there is none; all others are from the last image.
func TestImageCorruption(t *testing.T) {
	var images [][]byte
	for n := range 3 {
		image, err := Encode("n0", testState(n), false)
		if err != nil {
			t.Fatal(err)
		}
		images = append(images, image)
	}
	rapid.Check(t, func(rt *rapid.T) {
		onlyLast := rapid.Bool().Draw(rt, "alone")
		file := images
		if onlyLast {
			file = images[2:]
		}
		st := mustDecode(rt, file, rapid.IntRange(0, len(images[2])-1).Draw(rt, "at"), uint(rapid.IntRange(0, 7).Draw(rt, "bit")))
		last := mustDecode(rt, images[2:], -1, 0)
		before := mustDecode(rt, images[1:2], -1, 0)
		if onlyLast {
			before = &handover.State{Services: make([]handover.Service, 2)}
		}
		lost := 0
		compare := func(what string, got, want, previous any) {
			switch {
			case reflect.DeepEqual(got, want):
			case !reflect.DeepEqual(got, previous):
				rt.Fatalf("%s is %v, want %v or %v", what, got, want, previous)
			default:
				lost++
			}
		}
		compare("drained", st.Drained, last.Drained, before.Drained)
		compare("ids", st.IDs.Hashes, last.IDs.Hashes, before.IDs.Hashes)
		if st.IDs.Key != 3 {
			rt.Fatalf("hash key is %d", st.IDs.Key)
		}
		for i := range last.Services {
			of := last.Services[i].ServiceRef
			g, n, o := st.Find(of), &last.Services[i], &before.Services[i]
			if g == nil {
				rt.Fatalf("service %+v is missing", of)
			}
			compare("list", g.Members, n.Members, o.Members)
			compare("keys", g.Keys, n.Keys, o.Keys)
			compare("learnt", []any{g.Learnt, g.Classes, g.Disabled, g.Standing}, []any{n.Learnt, n.Classes, n.Disabled, n.Standing}, []any{o.Learnt, o.Classes, o.Disabled, o.Standing})
		}
		if lost > 1 {
			rt.Fatalf("%d parts are lost by one bit flip", lost)
		}
	})
}

// An image of version 1 is converted; one of an unknown later version is rejected with
// the reason, and so is a part of one.
func TestVersions(t *testing.T) {
	first, err := json.Marshal(plan.Image{Version: 1, Name: "n0", At: Now(), State: testState(1)})
	if err != nil {
		t.Fatal(err)
	}
	second, err := Encode("n0", testState(1), false)
	if err != nil {
		t.Fatal(err)
	}
	old, err := Decode("n0", first, nil)
	if err != nil {
		t.Fatal(err)
	}
	now, err := Decode("n0", second, nil)
	if err != nil || !reflect.DeepEqual(clearAges(old), clearAges(now)) {
		t.Errorf("version 1: %+v, version 2: %+v, %v", old, now, err)
	}
	third := bytes.Replace(first, []byte(`"Version":1`), []byte(`"Version":3`), 1)
	if _, err := Decode("n0", third, nil); err == nil || !strings.Contains(err.Error(), "version 3 was written by a newer program") {
		t.Errorf("%v", err)
	}
	if _, err := Decode("n1", second, nil); err == nil || !strings.Contains(err.Error(), "another sidecar") {
		t.Errorf("%v", err)
	}
	if _, err := Decode("n0", []byte("{"), nil); err == nil {
		t.Error("truncated image was accepted")
	}
}

// The last valid part of each service counts, whichever version it has.
func TestSavedMoves(t *testing.T) {
	a, b := SavedMoves{ServiceRef: handover.ServiceRef{Service: "a"}, Moves: []moves.Record{{Name: "x", Share: 0.1}}}, SavedMoves{ServiceRef: handover.ServiceRef{Service: "b"}}
	first, err := json.Marshal([]SavedMoves{a, b})
	if err != nil {
		t.Fatal(err)
	}
	a.Moves = []moves.Record{{Name: "x", Share: 0.2}}
	second, err := EncodeMoves([]SavedMoves{a, b})
	if err != nil {
		t.Fatal(err)
	}
	for name, tail := range map[string][]byte{"whole": second, "torn in b": second[:len(second)-4]} {
		if all, err := DecodeMoves(first, tail); err != nil || len(all) != 2 || all[0].Moves[0].Share != 0.2 {
			t.Errorf("%s: %+v, %v", name, all, err)
		}
	}
	if all, err := DecodeMoves(first, second[8:]); err != nil || all[0].Moves[0].Share != 0.1 {
		t.Errorf("corrupted in a: %+v, %v", all, err)
	}
	if none, err := EncodeMoves(nil); err != nil || len(none) == 0 {
		t.Errorf("%q, %v", none, err)
	}
}
