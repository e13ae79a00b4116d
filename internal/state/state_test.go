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

// known is what a sidecar knows of two services; what is told of it is told apart by a
// number.
func known(n int) *handover.State {
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

// ageless leaves out what the clock makes of an image between two looks at it.
func ageless(st *handover.State) *handover.State {
	for i := range st.Services {
		for k := range st.Services[i].Keys {
			st.Services[i].Keys[k].Age, st.Services[i].Keys[k].Left = 0, 0
		}
	}
	return st
}

// mustDecode is what is worth something of a file with these images, one of its bytes
// changed; at < 0: none.
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
	return ageless(st)
}

// Where a bit of the last image has changed on the disk, one part at most is the image's
// before, or is not known where there is none; all others are the last's.
func TestImageRot(t *testing.T) {
	var images [][]byte
	for n := range 3 {
		image, err := Encode("n0", known(n), false)
		if err != nil {
			t.Fatal(err)
		}
		images = append(images, image)
	}
	rapid.Check(t, func(rt *rapid.T) {
		alone := rapid.Bool().Draw(rt, "alone")
		kept := images
		if alone {
			kept = images[2:]
		}
		st := mustDecode(rt, kept, rapid.IntRange(0, len(images[2])-1).Draw(rt, "at"), uint(rapid.IntRange(0, 7).Draw(rt, "bit")))
		last := mustDecode(rt, images[2:], -1, 0)
		before := mustDecode(rt, images[1:2], -1, 0)
		if alone {
			before = &handover.State{Services: make([]handover.Service, 2)}
		}
		lost := 0
		differ := func(what string, got, new, old any) {
			switch {
			case reflect.DeepEqual(got, new):
			case !reflect.DeepEqual(got, old):
				rt.Fatalf("%s is %v, neither %v nor %v", what, got, new, old)
			default:
				lost++
			}
		}
		differ("drained", st.Drained, last.Drained, before.Drained)
		differ("ids", st.IDs.Hashes, last.IDs.Hashes, before.IDs.Hashes)
		if st.IDs.Key != 3 {
			rt.Fatalf("the key of the hashes is %d", st.IDs.Key)
		}
		for i := range last.Services {
			of := last.Services[i].ServiceRef
			g, n, o := st.Find(of), &last.Services[i], &before.Services[i]
			if g == nil {
				rt.Fatalf("%+v is not known", of)
			}
			differ("list", g.Members, n.Members, o.Members)
			differ("keys", g.Keys, n.Keys, o.Keys)
			differ("learnt", []any{g.Learnt, g.Classes, g.Disabled, g.Standing}, []any{n.Learnt, n.Classes, n.Disabled, n.Standing}, []any{o.Learnt, o.Classes, o.Disabled, o.Standing})
		}
		if lost > 1 {
			rt.Fatalf("%d parts are lost by one bit", lost)
		}
	})
}

// An image of the first version is brought forward; one of a version to come is refused
// with the reason, and so is a part of one.
func TestVersions(t *testing.T) {
	first, err := json.Marshal(plan.Image{Version: 1, Name: "n0", At: Now(), State: known(1)})
	if err != nil {
		t.Fatal(err)
	}
	second, err := Encode("n0", known(1), false)
	if err != nil {
		t.Fatal(err)
	}
	old, err := Decode("n0", first, nil)
	if err != nil {
		t.Fatal(err)
	}
	now, err := Decode("n0", second, nil)
	if err != nil || !reflect.DeepEqual(ageless(old), ageless(now)) {
		t.Errorf("%+v of the first version, %+v of the second, %v", old, now, err)
	}
	third := bytes.Replace(first, []byte(`"Version":1`), []byte(`"Version":3`), 1)
	if _, err := Decode("n0", third, nil); err == nil || !strings.Contains(err.Error(), "of version 3, which a newer program made") {
		t.Errorf("%v", err)
	}
	if _, err := Decode("n1", second, nil); err == nil || !strings.Contains(err.Error(), "another sidecar") {
		t.Errorf("%v", err)
	}
	if _, err := Decode("n0", []byte("{"), nil); err == nil {
		t.Error("half an image was read")
	}
}

// Of moves a service's last whole part counts, whichever version it is of.
func TestKeptMoves(t *testing.T) {
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
		t.Errorf("spoilt in a: %+v, %v", all, err)
	}
	if none, err := EncodeMoves(nil); err != nil || len(none) == 0 {
		t.Errorf("%q, %v", none, err)
	}
}
