package core

import (
	"hash/fnv"
	"log/slog"
	"slices"
	"time"

	"spokegw/internal/discovery"
	"spokegw/internal/moves"
	"spokegw/internal/permit"
	"spokegw/internal/upstream"
	"spokegw/policy"
)

// endpoints is the list as the registry has told it, with a number for each
// id. It holds what is listed and nothing else, so it is as long as the list.
type endpoints struct {
	log          *slog.Logger // tells the service
	kinds, zones []string
	byName       map[string]*endpoint
	byID         map[policy.EndpointID]*endpoint
	disabled     map[string]bool // by an operator; of those listed
	starts       starts
}

type endpoint struct {
	policy.Endpoint
	listing    *listing
	name, addr string
	entry      discovery.Entry // as it was told
	first      time.Duration   // when it was first sent something since it started; 0: not yet
	pools      moves.Pools     // that it is in
}

func (e *endpoint) upstream() upstream.Endpoint { return upstream.Endpoint{ID: e.name, Addr: e.addr} }

func newEndpoints(log *slog.Logger, kinds, zones []string) *endpoints {
	return &endpoints{log: log, kinds: kinds, zones: zones, byName: map[string]*endpoint{}, byID: map[policy.EndpointID]*endpoint{}, disabled: map[string]bool{}}
}

// number gives an id its number: a hash, since the module's choice by key has
// to fall on the same endpoints at every sidecar. The next free one is taken
// where two ids meet.
func (t *endpoints) number(name string) policy.EndpointID {
	h := fnv.New32a()
	h.Write([]byte(name))
	id := policy.EndpointID(h.Sum32())
	for t.byID[id] != nil {
		id++
	}
	return id
}

// zone gives a zone its number: its place in the settings, or beyond them one made of its
// name, the same in every process. What it guards against: a list names more zones than the
// settings do, and a keyed repeat that is dropped within the first zone goes to another
// that was taken for it. Two names whose hashes meet, one pair in 2^32, stay one zone.
func (t *endpoints) zone(name string) int {
	i := slices.Index(t.zones, name)
	if i >= 0 || len(t.zones) == 0 && name == "" {
		return max(i, 0)
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return len(t.zones) + int(h.Sum32())
}

// apply takes a list, or changes, and returns what the module is to be told. It
// calls forget for the endpoints that are to get nothing new from now on. since is how long ago
// the list that was known before was current; 0: that is not known.
func (t *endpoints) apply(now, since time.Duration, entries []discovery.Entry, full bool, forget func(upstream.Endpoint)) []policy.Endpoint {
	told := make([]policy.Endpoint, 0, len(entries))
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		p := policy.Endpoint{
			Kind: max(slices.Index(t.kinds, e.Kind), 0), Zone: t.zone(e.Zone), Cell: e.Cell,
			NominalSize: e.Weight,
		}
		switch e.State {
		case "leaving":
			p.Readiness = policy.Draining
		case "left":
			p.Readiness = policy.Removed
		}
		if t.disabled[e.ID] && p.Readiness == policy.Ready {
			p.Readiness = policy.Draining
		}
		known := t.byName[e.ID]
		switch {
		case known != nil:
			p.ID = known.ID
		case p.Readiness == policy.Removed:
			continue
		default:
			p.ID = t.number(e.ID)
		}
		restarted := known == nil || known.entry.StartedMS != e.StartedMS
		if p.Started = t.starts.of(now, e.ID, e.StartedMS, since).at; !restarted {
			p.Started = known.Started
		}
		if restarted || known.Readiness != p.Readiness {
			t.log.Info("endpoint", "id", e.ID, "addr", e.Addr, "state", e.State, "started_ms", e.StartedMS)
		}
		told = append(told, p)
		stays := known != nil && known.addr == e.Addr && !restarted
		if known != nil && (p.Readiness != policy.Ready || !stays) {
			forget(known.upstream())
		}
		if p.Readiness == policy.Removed {
			t.drop(now, known)
			continue
		}
		l := &listing{}
		if stays {
			l = known.listing
		} else if known != nil {
			known.listing.becomes(permit.Replaced, now)
		}
		l.becomes(listings[p.Readiness], now)
		listed[e.ID] = true
		first := time.Duration(0)
		if !restarted {
			first = known.first
		}
		known = &endpoint{Endpoint: p, listing: l, name: e.ID, addr: e.Addr, entry: e, first: first}
		t.byName[e.ID], t.byID[p.ID] = known, known
	}
	if full {
		for name, e := range t.byName {
			if !listed[name] {
				t.log.Info("endpoint is no longer listed", "id", name)
				forget(e.upstream())
				t.drop(now, e)
			}
		}
	}
	return told
}

func (t *endpoints) drop(now time.Duration, e *endpoint) {
	e.listing.becomes(permit.Removed, now)
	t.starts.leave(e.name, start{e.entry.StartedMS, e.Started})
	delete(t.byName, e.name)
	delete(t.disabled, e.name)
	delete(t.byID, e.ID)
}
