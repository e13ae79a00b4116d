package gateways

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"spokegw/internal/fleet/quota"
)

// Fault is one thing that happens in a schedule.
type Fault struct {
	At time.Duration
	Is string
	Do func(w *World)
}

// Draw makes a schedule of faults for a world: demands that move, links that are cut one
// way, splits, crashes, pauses, loss, delay and repeats.
func Draw(w *World, lasts time.Duration) (all []Fault) {
	add := func(at time.Duration, is string, do func(w *World)) {
		all = append(all, Fault{at, is, do})
	}
	n := len(w.Nodes)
	for at := time.Duration(0); at < lasts; at += time.Duration(w.Rand.Int64N(int64(1500 * time.Millisecond))) {
		a, b := w.Rand.IntN(n), w.Rand.IntN(n)
		for_ := time.Duration(w.Rand.Int64N(int64(6 * time.Second)))
		switch kind := w.Rand.IntN(10); kind {
		case 0, 1, 2:
			d := quota.PartOf(w.Rand.Float64() * w.Rand.Float64() * 2)
			add(at, fmt.Sprintf("demand of %d is %.3f", a, d.Fraction()), func(w *World) { w.Nodes[a].Demand = d })
		case 3:
			add(at, fmt.Sprintf("cut %d to %d for %v", a, b, for_), func(w *World) { w.Cut[[2]int{a, b}] = true })
			add(at+for_, fmt.Sprintf("heal %d to %d", a, b), func(w *World) { delete(w.Cut, [2]int{a, b}) })
		case 4: // a side is cut off
			side := w.Rand.Uint64()
			links := func(w *World, do func([2]int)) {
				for i := range n {
					for j := range n {
						if side>>i&1 != side>>j&1 {
							do([2]int{i, j})
						}
					}
				}
			}
			add(at, fmt.Sprintf("split %b for %v", side&(1<<n-1), for_), func(w *World) { links(w, func(l [2]int) { w.Cut[l] = true }) })
			add(at+for_, "heal the split", func(w *World) { links(w, func(l [2]int) { delete(w.Cut, l) }) })
		case 5:
			add(at, fmt.Sprintf("crash %d for %v", a, for_), func(w *World) { w.Crash(w.Nodes[a]) })
			add(at+for_, fmt.Sprintf("start %d", a), func(w *World) { w.Start(w.Nodes[a]) })
		case 6:
			stands := time.Duration(1.6 * for_.Seconds() * for_.Seconds() * float64(time.Second))
			add(at, fmt.Sprintf("pause %d for %v", a, stands), func(w *World) {
				if w.Nodes[a].Up {
					w.Pause(w.Nodes[a], stands)
				}
			})
		case 7:
			drop := w.Rand.Float64() * 0.7
			add(at, fmt.Sprintf("drop %.2f for %v", drop, for_), func(w *World) { w.Drop = drop })
			add(at+for_, "drop none", func(w *World) { w.Drop = 0 })
		case 8:
			most := []time.Duration{50 * time.Millisecond, 800 * time.Millisecond, 5 * time.Second}[w.Rand.IntN(3)]
			before := w.Delay
			add(at, fmt.Sprintf("delays up to %v for %v", most, for_), func(w *World) {
				w.Delay = func() time.Duration { return time.Duration(w.Rand.Int64N(int64(most))) }
			})
			add(at+for_, "usual delays", func(w *World) { w.Delay = before })
		case 9:
			dup := w.Rand.Float64()
			add(at, fmt.Sprintf("repeat %.2f for %v", dup, for_), func(w *World) { w.Duplicate = dup })
			add(at+for_, "repeat none", func(w *World) { w.Duplicate = 0 })
		}
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
	return all
}

// Shrink is a least schedule of n faults that breaks something still: faults are left out, many
// at a time and then one by one, for as long as it does. breaks plays a schedule with those that
// are kept.
func Shrink(n int, breaks func(kept func(fault int) bool) bool) (needed []int) {
	for i := range n {
		needed = append(needed, i)
	}
	for size := (n + 1) / 2; size > 0; size /= 2 {
		for at := 0; at < len(needed); {
			without := slices.Delete(slices.Clone(needed), at, min(at+size, len(needed)))
			if breaks(func(fault int) bool { return slices.Contains(without, fault) }) {
				needed = without
			} else {
				at += size
			}
		}
	}
	return needed
}

// Kept are those faults that a function tells, by number.
func Kept(faults []Fault, kept func(fault int) bool) (some []Fault) {
	for i, f := range faults {
		if kept(i) {
			some = append(some, f)
		}
	}
	return some
}

// Text tells faults of a schedule by number, a line each.
func Text(faults []Fault, which []int) string {
	var text strings.Builder
	for n, i := range which {
		fmt.Fprintf(&text, "%3d. %s, at %v\n", n+1, faults[i].Is, faults[i].At)
	}
	return text.String()
}

// Play plays the faults of a schedule, up to the last one.
func (w *World) Play(faults []Fault) error {
	for _, f := range faults {
		if err := w.Run(f.At); err != nil {
			return err
		}
		f.Do(w)
		if err := w.Run(w.Now); err != nil {
			return err
		}
	}
	return nil
}
