package plan

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"spokegw/internal/broker"
	"spokegw/internal/discovery"
	"spokegw/internal/handover"
	"spokegw/internal/keyed"
	"spokegw/internal/learnt"
	"spokegw/policy"
)

var day = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func image() *Image {
	return &Image{Version: Version, Name: "n0", At: Clock{"a", time.Hour, day}, State: &handover.State{
		Drained: true, IDs: handover.IDs{Key: 3, Hashes: []uint64{1}},
		Services: []handover.Service{{
			ServiceRef: handover.ServiceRef{Platform: true}, Disabled: []string{"s-1"}, Classes: []string{"tile"},
			Members: handover.Members{Version: 7, Entries: []discovery.Entry{{ID: "s-1"}}},
			Learnt:  learnt.Record{{What: "load"}}, Standing: &broker.Snapshot{},
			Keys: []keyed.Note{{Key: 9, Scope: policy.ScopeCell, Cell: 4, Age: time.Second, Window: 5 * time.Second, Left: 8 * time.Second}},
		}},
	}}
}

// Each kind of data is dropped at its own age, and the rest is unchanged.
func TestAges(t *testing.T) {
	for elapsed, want := range map[time.Duration]struct{ ids, learnt, list, standing, keys bool }{
		time.Second:         {true, true, true, true, true},
		9 * time.Second:     {true, true, true, true, false},
		2 * time.Minute:     {false, true, true, true, false},
		30 * time.Minute:    {false, false, true, true, false},
		40 * 24 * time.Hour: {},
	} {
		st, why := Usable(image(), "n0", Clock{"a", time.Hour + elapsed, day.Add(-time.Hour)}) // the wall clock has been set back
		if st == nil {
			t.Fatalf("after %v: %s", elapsed, why)
		}
		s := st.Services[0]
		got := struct{ ids, learnt, list, standing, keys bool }{len(st.IDs.Hashes) > 0, len(s.Learnt) > 0, len(s.Members.Entries) > 0, s.Standing != nil, len(s.Keys) > 0}
		if got != want || !st.Drained || len(s.Disabled) != 1 || st.IDs.Key != 3 {
			t.Errorf("after %v: got %+v, want %+v; %+v", elapsed, got, want, st)
		}
	}
}

// After a kill the last usage of the teams is unknown.
func TestUsageAfterKill(t *testing.T) {
	for _, ended := range []bool{false, true} {
		i := image()
		i.Ended = ended
		st, why := Usable(i, "n0", i.At)
		if st == nil || st.Services[0].Standing.Spent == ended {
			t.Errorf("ended %v: %+v %s", ended, st, why)
		}
		if i.State.Services[0].Standing.Spent {
			t.Error("the image was modified")
		}
	}
}

func TestForeignImages(t *testing.T) {
	for name, modify := range map[string]func(*Image){
		"another version": func(i *Image) { i.Version++ }, "another sidecar": func(i *Image) { i.Name = "n1" }, "no state": func(i *Image) { i.State = nil },
	} {
		i := image()
		modify(i)
		if st, why := Usable(i, "n0", i.At); st != nil || why == "" {
			t.Errorf("image accepted: %s", name)
		}
	}
}

// Whatever the clocks do, a retry of a key is never allowed where it would not be if the
// true elapsed time were known.
func TestKeySafety(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		duration := func(what string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(rt, what))
		}
		i := image()
		note := &i.State.Services[0].Keys[0]
		note.Window, note.Age = duration("window", 20*time.Second), duration("age", 10*time.Second)
		note.Left = duration("left", 30*time.Second)
		elapsed := duration("passed", 40*time.Second)
		now := Clock{"a", i.At.Since + elapsed, day.Add(time.Duration(rapid.Int64Range(-int64(time.Hour), int64(30*time.Minute)).Draw(rt, "set")))}
		if rapid.Bool().Draw(rt, "booted") {
			now.Boot, now.Since = "b", duration("since", time.Minute)
		}
		st, _ := Usable(i, "n0", now)
		table := keyed.New()
		for _, k := range st.Services[0].Keys {
			table.Adopt(0, k)
		}
		e, known := table.Find(0, 9)
		to := policy.Endpoint{Cell: rapid.SampledFrom([]int{4, 5}).Draw(rt, "cell")}
		repeatable := note.Left > elapsed // the client may still repeat the request
		deduplicated := to.Cell == 4 && note.Age+elapsed < note.Window
		if repeatable && !known {
			rt.Fatal("a key that may be repeated is missing")
		}
		if known && repeatable && e.Allows(0, to) && !deduplicated {
			rt.Fatal("a retry is allowed where it is not deduplicated")
		}
	})
}
