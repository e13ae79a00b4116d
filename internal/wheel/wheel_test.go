package wheel

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Compares the wheel with a map: each timer is due once, not early and at most one tick late,
// whatever is set, changed and cleared, also in callbacks and over any duration.
func TestWheelAgainstModel(t *testing.T) {
	const tick = 3 * time.Millisecond
	duration := rapid.Custom(func(t *rapid.T) time.Duration {
		unit := rapid.SampledFrom([]time.Duration{1, tick / 2, slots * tick, slots * slots * tick, 1e6 * slots * tick}).Draw(t, "unit")
		return unit * time.Duration(rapid.IntRange(-20, 100).Draw(t, "units"))
	})
	rapid.Check(t, func(t *rapid.T) {
		w, now, last := New(tick), time.Duration(0), time.Duration(0)
		model := map[uint32]time.Duration{}
		id := rapid.Uint32Range(0, 30)
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				k, at := id.Draw(t, "id"), now+duration.Draw(t, "in") // a past one is due at once
				w.Set(k, at)
				model[k] = max(at, now)
			},
			"clear": func(t *rapid.T) {
				k := id.Draw(t, "id")
				w.Clear(k)
				delete(model, k)
			},
			"time": func(t *rapid.T) {
				now += max(duration.Draw(t, "passes"), 0)
				setAgain, cleared := id.Draw(t, "set again"), id.Draw(t, "cleared")
				if next, ok := w.Next(); ok != (len(model) > 0) {
					t.Fatalf("next %v, %v of %d", next, ok, len(model))
				}
				last = 0
				w.Advance(now, func(k uint32) {
					at, set := model[k]
					if !set || at > now || at < last-tick {
						t.Fatalf("%d is due at %v, set %v for %v, after %v", k, now, set, at, last)
					}
					last = max(at, last)
					delete(model, k)
					if k == setAgain {
						w.Set(k, now+time.Hour)
						model[k] = now + time.Hour
					}
					w.Clear(cleared)
					delete(model, cleared)
				})
				for k, at := range model {
					if at <= now-tick {
						t.Fatalf("%d was due at %v, now %v", k, at, now)
					}
				}
			},
			"": func(t *rapid.T) {
				if w.Len() != len(model) {
					t.Fatalf("%d timers, not %d", w.Len(), len(model))
				}
				for k, at := range model {
					if next, _ := w.Next(); next > max(at, now)+tick {
						t.Fatalf("next is %v, and %d due at %v", next, k, at)
					}
				}
			},
		})
	})
}
