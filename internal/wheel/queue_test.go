package wheel

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Beside a map: a value is due once, and not after it was taken back; an ID that is over
// takes back nothing; and there are no more numbers than were in use at once.
func TestQueueAgainstPlain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, next, most := NewQueue[int](time.Millisecond), time.Duration(0), 0, 0
		set, ids := map[int]time.Duration{}, map[int]ID{}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				at := now + time.Duration(rapid.IntRange(0, 300).Draw(t, "in"))*time.Millisecond
				next++
				set[next], ids[next] = at, q.Add(at, next)
				most = max(most, len(set))
			},
			"cancel": func(t *rapid.T) {
				v := rapid.IntRange(1, max(next, 1)).Draw(t, "value") // also what is over, or never was
				_, is := set[v]
				if took := q.Cancel(ids[v]); took != is {
					t.Fatalf("%d: taken back %v, set %v", v, took, is)
				}
				delete(set, v)
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 200).Draw(t, "passes")) * time.Millisecond
				q.Advance(now, func(v int) {
					if at, is := set[v]; !is || at > now {
						t.Fatalf("%d is due at %v, set %v for %v", v, now, is, at)
					}
					delete(set, v)
				})
				for v, at := range set {
					if at <= now {
						t.Fatalf("%d was due at %v, now %v", v, at, now)
					}
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(set) || len(q.of) > most {
					t.Fatalf("%d set, %d numbers; %d and at most %d are expected", q.Len(), len(q.of), len(set), most)
				}
			},
		})
	})
}

// A request's timer is set and taken back long before it is due.
func BenchmarkSetAndTakeBack(b *testing.B) {
	b.Run("queue", func(b *testing.B) {
		b.ReportAllocs()
		q, now := NewQueue[int](time.Millisecond), time.Duration(0)
		for i := 0; b.Loop(); i++ {
			now += 100 * time.Microsecond
			id := q.Add(now+400*time.Millisecond, i)
			q.Advance(now, func(int) {})
			q.Cancel(id)
		}
	})
	b.Run("AfterFunc", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			time.AfterFunc(400*time.Millisecond, func() { b.Error(i) }).Stop()
		}
	})
}
