package wheel

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Compares the queue with a map: a value is due once, and not after its timer was cancelled; an
// expired ID cancels nothing; and no more numbers are used than timers were set at once.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, next, maxSet := NewQueue[int](time.Millisecond), time.Duration(0), 0, 0
		set, ids := map[int]time.Duration{}, map[int]ID{}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				at := now + time.Duration(rapid.IntRange(0, 300).Draw(t, "in"))*time.Millisecond
				next++
				set[next], ids[next] = at, q.Add(at, next)
				maxSet = max(maxSet, len(set))
			},
			"cancel": func(t *rapid.T) {
				v := rapid.IntRange(1, max(next, 1)).Draw(t, "value") // may be expired or never set
				_, isSet := set[v]
				if cancelled := q.Cancel(ids[v]); cancelled != isSet {
					t.Fatalf("%d: cancelled %v, set %v", v, cancelled, isSet)
				}
				delete(set, v)
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 200).Draw(t, "passes")) * time.Millisecond
				q.Advance(now, func(v int) {
					if at, isSet := set[v]; !isSet || at > now {
						t.Fatalf("%d is due at %v, set %v for %v", v, now, isSet, at)
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
				if q.Len() != len(set) || len(q.entries) > maxSet {
					t.Fatalf("%d set, %d numbers; want %d and at most %d", q.Len(), len(q.entries), len(set), maxSet)
				}
			},
		})
	})
}

// Typical use: the timer of a request is set and cancelled long before it is due.
func BenchmarkSetAndCancel(b *testing.B) {
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
