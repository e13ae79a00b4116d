package compact

import (
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// Compares the table with a map: after any sequence of operations each key has its value,
// at its original handle. The keys are chosen to share slots.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table[int]
		model, handles := map[uint64]int{}, map[uint64]Handle{}
		key := rapid.OneOf(rapid.Uint64Range(0, 40), rapid.Uint64())
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k, v := key.Draw(t, "key"), rapid.IntRange(1, 1000).Draw(t, "value")
				h, inserted := table.FindOrInsert(k)
				if _, known := model[k]; inserted == known || inserted && *table.At(h) != 0 {
					t.Fatalf("key %d: inserted %v, value %d", k, inserted, *table.At(h))
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
				expected := maps.Clone(model)
				for k, v := range expected {
					if h := table.Find(k); h == None || h != handles[k] || *table.At(h) != v || table.Key(h) != k {
						t.Fatalf("key %d: handle %d", k, h)
					}
				}
				if table.Len() != len(model) {
					t.Fatalf("%d entries, want %d", table.Len(), len(model))
				}
			},
		})
	})
}
