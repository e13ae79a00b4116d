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

// What a service remembers of hours with ever new ids, keys and endpoints: two halves of
// ids, a bounded table of keys of which none is left once nobody asks again, and of
// endpoints the ones that are listed and nothing of those before.
func TestSoakOfWhatAServiceRemembers(t *testing.T) {
	const seconds, rate, listed = 4 * 3600, 10, 60
	seen, keys := newIDs(), keyed.New()
	class := &policy.Class{Effect: policy.Keyed, Scope: policy.ScopeCell, DedupWindow: 600 * time.Millisecond, Deadline: 300 * time.Millisecond}
	list := newEndpoints(slog.New(slog.DiscardHandler), []string{"std"}, nil)
	forgotten := 0
	entry := func(i int) discovery.Entry {
		return discovery.Entry{ID: fmt.Sprint("s-", i), Addr: fmt.Sprint("127.0.0.1:", 1024+i%60000), Cell: i, State: "active"}
	}
	for s := range seconds {
		now := time.Duration(s) * time.Second
		for n := range rate {
			id := fmt.Sprint(s, "-", n)
			if !seen.take(id) || seen.take(id) {
				t.Fatalf("id %s was new once, and not twice", id)
			}
			key := seen.hash(id)
			keys.RecordSent(now, key, class, policy.Endpoint{Cell: n}, 0)
			keys.RecordEnded(key, n%2 == 0)
		}
		gone := entry(s - listed)
		gone.State = "left"
		list.apply(0, 0, []discovery.Entry{entry(s), gone}, false, func(upstream.Endpoint) { forgotten++ })
		if s%3 == 0 {
			list.disabled[entry(s).ID] = true
		}
		if held := len(seen.now) + len(seen.old); held > 2*idsKept {
			t.Fatalf("%d ids are held after %v", held, now)
		}
		if keys.Len() > 2*rate { // a window and a deadline are less than a second
			t.Fatalf("%d keys are held after %v", keys.Len(), now)
		}
		if len(list.byName) > listed || len(list.byID) != len(list.byName) || len(list.disabled) > listed {
			t.Fatalf("%d and %d endpoints, %d of them disabled, after %v", len(list.byName), len(list.byID), len(list.disabled), now)
		}
	}
	if forgotten != seconds-listed {
		t.Errorf("connections to %d endpoints were given up, of %d that left", forgotten, seconds-listed)
	}
	for n := range 2 * keyed.MaxKeys { // a flood within one window
		keys.RecordSent(seconds*time.Second, uint64(n)+1, class, policy.Endpoint{}, 0)
	}
	if keys.Len() != keyed.MaxKeys {
		t.Errorf("%d keys are held of a flood, the bound is %d", keys.Len(), keyed.MaxKeys)
	}
}

// A list may name more zones than the settings do. Two of them are not one, and none is
// the first that the settings name: a key's repeat would go to where nobody drops it.
func TestZonesThatNoSettingNamesStayApart(t *testing.T) {
	list := newEndpoints(slog.New(slog.DiscardHandler), nil, []string{"a", "b"})
	var entries []discovery.Entry
	for i, zone := range []string{"a", "b", "c", "d", "c"} {
		entries = append(entries, discovery.Entry{ID: fmt.Sprint(i), Zone: zone, State: "active"})
	}
	told := list.apply(0, 0, entries, true, func(upstream.Endpoint) {})
	if told[0].Zone != 0 || told[1].Zone != 1 {
		t.Errorf("zones that are named: %d and %d", told[0].Zone, told[1].Zone)
	}
	if c, d := told[2].Zone, told[3].Zone; c < 2 || d < 2 || c == d || told[4].Zone != c {
		t.Errorf("zones that are not: %d, %d and %d again", c, d, told[4].Zone)
	}
	alone := newEndpoints(slog.New(slog.DiscardHandler), nil, nil)
	if z := alone.apply(0, 0, []discovery.Entry{{ID: "x", State: "active"}}, true, func(upstream.Endpoint) {})[0].Zone; z != 0 {
		t.Errorf("without zones everything is in zone 0, not %d", z)
	}
}
