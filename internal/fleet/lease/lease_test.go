package lease

import (
	"testing"
	"time"
)

// A message's time is known while it is among the latest, and until it is forgotten.
func TestSent(t *testing.T) {
	var s SendTimes
	for i := range 40 {
		s.Record(time.Duration(i) * time.Second)
	}
	for seq, want := range map[uint64]bool{0: false, 8: false, 9: true, 40: true, 41: false} {
		at, known := s.At(seq)
		if known != want || known && at != time.Duration(seq-1)*time.Second {
			t.Errorf("%d: %v, %v", seq, at, known)
		}
	}
	s.Reset()
	if _, known := s.At(40); known {
		t.Error("40 is known after it was forgotten")
	}
	if _, known := s.At(s.Record(0)); !known {
		t.Error("what came after is not known")
	}
}

// One that is silent is passed over for a time, and tried again then; the only one is never
// passed over.
func TestChoice(t *testing.T) {
	c := NewPeerSelector(time.Second)
	both := []string{"a", "b"}
	for _, step := range []struct {
		at         time.Duration
		candidates []string
		heard      bool // before it is chosen
		want       string
	}{
		{0, both, false, "a"},
		{1400 * time.Millisecond, both, false, "a"},
		{1600 * time.Millisecond, both, false, "b"},
		{4500 * time.Millisecond, both, true, "b"},
		{4700 * time.Millisecond, both, true, "a"},
		{9 * time.Second, both[:1], false, "a"},
		{9 * time.Second, nil, false, ""},
	} {
		if step.heard {
			c.LastActive = step.at
		}
		if c.Select(step.at, step.candidates); c.Name != step.want {
			t.Errorf("%v: %q is chosen, not %q", step.at, c.Name, step.want)
		}
	}
}
