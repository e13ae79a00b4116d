package lease

import (
	"testing"
	"time"
)

// A message's time must be known while it is among the latest, until Reset.
func TestSendTimes(t *testing.T) {
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
		t.Error("40 is known after Reset")
	}
	if _, known := s.At(s.Record(0)); !known {
		t.Error("a message sent after Reset is not known")
	}
}

// A silent candidate must be avoided for a time and then tried again; an only candidate must
// never be avoided.
func TestPeerSelector(t *testing.T) {
	c := NewPeerSelector(time.Second)
	both := []string{"a", "b"}
	for _, step := range []struct {
		at         time.Duration
		candidates []string
		active     bool // the current peer was active just before the selection
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
		if step.active {
			c.LastActive = step.at
		}
		if c.Select(step.at, step.candidates); c.Name != step.want {
			t.Errorf("%v: selected %q, want %q", step.at, c.Name, step.want)
		}
	}
}
