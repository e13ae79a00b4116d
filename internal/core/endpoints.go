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

// endpoints is the endpoint list of the registry, with a numeric id for each name. It holds
// only endpoints that are currently listed, so its size is bounded by the list.
type endpoints struct {
	log          *slog.Logger // with the service's name
	kinds, zones []string
	byName       map[string]*endpoint
	byID         map[policy.EndpointID]*endpoint
	disabled     map[string]bool // by an operator; listed endpoints only
	starts       starts
	addresses    addresses
}

type endpoint struct {
	policy.Endpoint
	status       *listStatus
	name, addr   string
	entry        discovery.Entry // as received from discovery
	firstSent    time.Duration   // when a request was first sent to it since its start; 0: not yet
	addressSince uint64          // the update that first listed it at its address
	pools        moves.Pools     // the pools of moves that it belongs to
}

func (e *endpoint) upstream() upstream.Endpoint { return upstream.Endpoint{ID: e.name, Addr: e.addr} }

func newEndpoints(log *slog.Logger, kinds, zones []string) *endpoints {
	return &endpoints{log: log, kinds: kinds, zones: zones, byName: map[string]*endpoint{}, byID: map[policy.EndpointID]*endpoint{}, disabled: map[string]bool{}, addresses: newAddresses()}
}

// newID returns the numeric id of an endpoint. It is a hash of the name, since the decision
// module's choice by key has to be the same at every sidecar. A collision is resolved by taking
// the next free number.
func (t *endpoints) newID(name string) policy.EndpointID {
	h := fnv.New32a()
	h.Write([]byte(name))
	id := policy.EndpointID(h.Sum32())
	for t.byID[id] != nil {
		id++
	}
	return id
}

// zoneNumber returns the number of a zone: its index in the settings or, for other zones, a
// number made of the hash of its name, which is the same in every process. If all unknown zones
// had one number, a keyed repeat that only the first zone deduplicates could go to another one.
// Two names with the same hash, one pair in 2^32, are still treated as one zone.
func (t *endpoints) zoneNumber(name string) int {
	i := slices.Index(t.zones, name)
	if i >= 0 || len(t.zones) == 0 && name == "" {
		return max(i, 0)
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return len(t.zones) + int(h.Sum32())
}

// apply takes a full list or changes and returns the endpoints to pass to the decision module.
// It calls forget for the endpoints that get no new requests from now on. since is the age of
// the previous list; 0: unknown.
func (t *endpoints) apply(now, since time.Duration, entries []discovery.Entry, full bool, forget func(upstream.Endpoint)) []policy.Endpoint {
	changed := make([]policy.Endpoint, 0, len(entries))
	listed := make(map[string]bool, len(entries))
	t.addresses.update++
	for _, e := range entries {
		p := policy.Endpoint{
			Kind: max(slices.Index(t.kinds, e.Kind), 0), Zone: t.zoneNumber(e.Zone), Cell: e.Cell,
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
		current := t.byName[e.ID]
		if p.Readiness == policy.Removed {
			t.addresses.unlisted(e.ID)
		} else if rival, replaces := t.addresses.rival(&e, current); rival != nil {
			gone := rival
			if !replaces {
				gone = current
			}
			if gone != nil {
				changed = append(changed, t.replace(now, gone, forget))
			}
			if !replaces {
				continue
			}
		}
		switch {
		case current != nil:
			p.ID = current.ID
		case p.Readiness == policy.Removed:
			continue
		default:
			p.ID = t.newID(e.ID)
		}
		restarted := current == nil || current.entry.StartedMS != e.StartedMS
		if p.Started = t.starts.startOf(now, e.ID, e.StartedMS, since).at; !restarted {
			p.Started = current.Started
		}
		if restarted || current.Readiness != p.Readiness {
			t.log.Info("endpoint", "id", e.ID, "addr", e.Addr, "state", e.State, "started_ms", e.StartedMS)
		}
		changed = append(changed, p)
		unchanged := current != nil && current.addr == e.Addr && !restarted
		if current != nil && (p.Readiness != policy.Ready || !unchanged) {
			forget(current.upstream())
		}
		if p.Readiness == policy.Removed {
			t.drop(now, current)
			continue
		}
		status := &listStatus{}
		if unchanged {
			status = current.status
		} else if current != nil {
			current.status.set(permit.Replaced, now)
		}
		status.set(endpointStatuses[p.Readiness], now)
		listed[e.ID] = true
		firstSent := time.Duration(0)
		if !restarted {
			firstSent = current.firstSent
		}
		current = &endpoint{Endpoint: p, status: status, name: e.ID, addr: e.Addr, entry: e, firstSent: firstSent}
		t.addresses.add(current, t.byName[e.ID])
		t.byName[e.ID], t.byID[p.ID] = current, current
	}
	if full {
		t.addresses.keepNamed(entries)
		for name, e := range t.byName {
			if !listed[name] {
				t.log.Info("endpoint is no longer listed", "id", name)
				forget(e.upstream())
				t.drop(now, e)
			}
		}
	}
	return changed
}

// replace drops an endpoint at whose address another one is listed, and returns what to pass to the
// decision module.
func (t *endpoints) replace(now time.Duration, e *endpoint, forget func(upstream.Endpoint)) policy.Endpoint {
	t.log.Info("endpoint has been replaced at its address", "id", e.name, "addr", e.addr)
	forget(e.upstream())
	t.addresses.replace(e)
	t.drop(now, e)
	e.status.set(permit.Replaced, now)
	removed := e.Endpoint
	removed.Readiness = policy.Removed
	return removed
}

func (t *endpoints) drop(now time.Duration, e *endpoint) {
	e.status.set(permit.Removed, now)
	t.addresses.remove(e)
	t.starts.remember(e.name, start{e.entry.StartedMS, e.Started})
	delete(t.byName, e.name)
	delete(t.disabled, e.name)
	delete(t.byID, e.ID)
}
