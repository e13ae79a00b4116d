package route

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestFind(t *testing.T) {
	table := New()
	for i, prefix := range []string{"/map-tile", "/forecast", "/forecast/alpine", "/a/b/c"} {
		if err := table.Add(prefix, Destination{Service: i}); err != nil {
			t.Fatal(err)
		}
	}
	for path, want := range map[string]int{ // -1: none
		"/map-tile": 0, "/map-tile/": 0, "/map-tile/3/4/5/6/7": 0, "/map-tiles": -1, "/map-til": -1,
		"/forecast/alp": 1, "/forecast/alpine": 2, "/forecast/alpine/x": 2, "/forecast/alpines": 1,
		"/a/b": -1, "/a/b/c": 3, "/a/b/c/d": 3, "/a/b/cd": -1, "/": -1, "": -1,
	} {
		got, ok := table.Find(path)
		if ok != (want >= 0) || ok && got.Service != want {
			t.Errorf("%q leads to %v, %v, want %d", path, got, ok, want)
		}
	}
	for _, bad := range []string{"", "/", "forecast", "/x/", "/forecast", strings.Repeat("/a", MaxDepth+1)} {
		if table.Add(bad, Destination{}) == nil {
			t.Errorf("%q was added", bad)
		}
	}
}

// Compares Find with a search over all prefixes.
func TestFindIsLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.StringMatching(`(/[ab]{1,2}){1,4}`)
		prefixes := rapid.SliceOfNDistinct(prefix, 1, 8, rapid.ID).Draw(t, "prefixes")
		path := rapid.StringMatching(`(/[ab]{1,2}){0,6}/?`).Draw(t, "path")
		table, best := New(), ""
		for i, p := range prefixes {
			if err := table.Add(p, Destination{Service: i}); err != nil {
				t.Fatal(err)
			}
			if (path == p || strings.HasPrefix(path, p+"/")) && len(p) > len(best) {
				best = p
			}
		}
		got, ok := table.Find(path)
		if ok != (best != "") || ok && prefixes[got.Service] != best {
			t.Fatalf("%q in %q leads to %v, want %q", path, prefixes, got, best)
		}
	})
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 10000} {
		table := New()
		for i := range n {
			table.Add(fmt.Sprintf("/service-%d/class", i), Destination{Service: i})
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Find("/service-7/class/of/some/depth")
			}
		})
	}
}
