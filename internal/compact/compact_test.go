package compact

import (
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// Beside a map: after any course each key has its value, at the handle it was given.
// The keys share slots on purpose.
func TestAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table[int]
		model, handles := map[uint64]int{}, map[uint64]Handle{}
		key := rapid.OneOf(rapid.Uint64Range(0, 40), rapid.Uint64())
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k, v := key.Draw(t, "key"), rapid.IntRange(1, 1000).Draw(t, "value")
				h, fresh := table.FindOrInsert(k)
				if _, known := model[k]; fresh == known || fresh && *table.At(h) != 0 {
					t.Fatalf("key %d: fresh %v, value %d", k, fresh, *table.At(h))
				}
				*table.At(h), model[k], handles[k] = v, v, h
			},
			"remove": func(t *rapid.T) {
				k := key.Draw(t, "key")
				h := table.Find(k)
				if _, known := model[k]; known != (h != None) {
					t.Fatalf("key %d: handle %d", k, h)
				}
				if h != None {
					table.Remove(h)
					delete(model, k)
				}
			},
			"": func(t *rapid.T) {
				seen := maps.Clone(model)
				for k, v := range seen {
					if h := table.Find(k); h == None || h != handles[k] || *table.At(h) != v || table.Key(h) != k {
						t.Fatalf("key %d: handle %d", k, h)
					}
				}
				if table.Len() != len(model) {
					t.Fatalf("%d entries, not %d", table.Len(), len(model))
				}
			},
		})
	})
}
