package core

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"spokegw/internal/discovery"
	"spokegw/internal/keyed"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// After hours of ever new ids, keys and endpoints, a service holds at most two halves of ids of its own and of other processes, a
// bounded table of keys without expired ones, and only the endpoints that are listed.
func TestSoakServiceMemory(t *testing.T) {
	const seconds, rate, listed = 4 * 3600, 10, 60
	ids, keys := newRequestIDs(), keyed.New()
	class := &policy.Class{Effect: policy.Keyed, Scope: policy.ScopeCell, DedupWindow: 600 * time.Millisecond, Deadline: 300 * time.Millisecond}
	list := newEndpoints(slog.New(slog.DiscardHandler), []string{"std"}, nil)
	removed := 0
	entry := func(i int) discovery.Entry {
		return discovery.Entry{ID: fmt.Sprint("s-", i), Addr: fmt.Sprint("127.0.0.1:", 1024+i%60000), Cell: i, State: "active"}
	}
	for s := range seconds {
		now := time.Duration(s) * time.Second
		for n := range rate {
			id := fmt.Sprint(s, "-", n)
			open, isNew := ids.begin(id)
			if _, again := ids.begin(id); !isNew || again {
				t.Fatalf("id %s must be new exactly once", id)
			}
			open.end()
			if _, again := ids.begin(id); again {
				t.Fatalf("id %s is new again after its request", id)
			}
			key := open.hash
			ids.adoptOne(ids.hash("another's", id))
			keys.RecordSent(now, key, class, policy.Endpoint{Cell: n}, 0)
			keys.RecordEnded(key, n%2 == 0)
		}
		leaving := entry(s - listed)
		leaving.State = "left"
		list.apply(0, 0, []discovery.Entry{entry(s), leaving}, false, func(upstream.Endpoint) { removed++ })
		if s%3 == 0 {
			list.disabled[entry(s).ID] = true
		}
		if held := len(ids.open) + len(ids.ended.current) + len(ids.ended.previous) + len(ids.others.current) + len(ids.others.previous); held > 4*minIDs {
			t.Fatalf("%d ids are held after %v", held, now)
		}
		if keys.Len() > 2*rate { // a window and a deadline are less than a second
			t.Fatalf("%d keys are held after %v", keys.Len(), now)
		}
		if len(list.byName) > listed || len(list.byID) != len(list.byName) || len(list.disabled) > listed {
			t.Fatalf("%d and %d endpoints, %d of them disabled, after %v", len(list.byName), len(list.byID), len(list.disabled), now)
		}
	}
	if removed != seconds-listed {
		t.Errorf("connections to %d endpoints were closed, of %d that were removed", removed, seconds-listed)
	}
	for n := range 2 * keyed.MaxKeys { // a flood within one window
		keys.RecordSent(seconds*time.Second, uint64(n)+1, class, policy.Endpoint{}, 0)
	}
	if keys.Len() != keyed.MaxKeys {
		t.Errorf("%d keys are held after a flood, the bound is %d", keys.Len(), keyed.MaxKeys)
	}
}

// Zones in a list that the settings do not name must be distinct from each other and from the
// first named zone. Otherwise a repeated key could go to a zone that does not deduplicate it.
func TestUnconfiguredZonesAreDistinct(t *testing.T) {
	list := newEndpoints(slog.New(slog.DiscardHandler), nil, []string{"a", "b"})
	var entries []discovery.Entry
	for i, zone := range []string{"a", "b", "c", "d", "c"} {
		entries = append(entries, discovery.Entry{ID: fmt.Sprint(i), Zone: zone, State: "active"})
	}
	changed := list.apply(0, 0, entries, true, func(upstream.Endpoint) {})
	if changed[0].Zone != 0 || changed[1].Zone != 1 {
		t.Errorf("configured zones: %d and %d", changed[0].Zone, changed[1].Zone)
	}
	if c, d := changed[2].Zone, changed[3].Zone; c < 2 || d < 2 || c == d || changed[4].Zone != c {
		t.Errorf("unconfigured zones: %d, %d and the first again as %d", c, d, changed[4].Zone)
	}
	unzoned := newEndpoints(slog.New(slog.DiscardHandler), nil, nil)
	if z := unzoned.apply(0, 0, []discovery.Entry{{ID: "x", State: "active"}}, true, func(upstream.Endpoint) {})[0].Zone; z != 0 {
		t.Errorf("without zones everything is in zone 0, not %d", z)
	}
}
