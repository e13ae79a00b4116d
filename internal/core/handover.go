package core

import (
	"slices"

	"spokegw/internal/broker"
	"spokegw/internal/keyed"
	"spokegw/internal/learnt"
	"spokegw/internal/moves"
)

// Snapshot is the state of a service that is handed over to its successor process.
type Snapshot struct {
	Classes       []string // by the slots that the other fields use; "": none
	Learnt        learnt.Record
	ContractUsage *broker.Snapshot // nil: there are no contracts
	Keys          []keyed.Note
	Disabled      []string // endpoint ids, disabled by an operator
	Moves         []moves.Record
}

// Snapshot returns the state of the service, with at most the given number of keys.
func (s *Service) Snapshot(keys int) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	k := Snapshot{Classes: s.settings.classNames(), Learnt: learnt.Snapshot(now, s.balancer), Keys: s.keys.Notes(now, keys)}
	if s.broker != nil {
		st := s.broker.Snapshot(now)
		k.ContractUsage = &st
	}
	k.Moves = s.moveRecords()
	for id := range s.endpoints.disabled {
		k.Disabled = append(k.Disabled, id)
	}
	return k
}

// Adopt takes over the state of the service of another process. It must be called before the
// first request and after the endpoints are listed.
func (s *Service) Adopt(k Snapshot) {
	s.mu.Lock()
	now, names := s.now(), s.settings.classNames()
	k.Learnt.Apply(now, s.balancer, positions(names, k.Classes))
	if s.broker != nil && k.ContractUsage != nil {
		s.broker.Restore(now, *k.ContractUsage, positions(k.Classes, names))
	}
	for _, n := range k.Keys {
		s.keys.Adopt(now, n)
	}
	s.adoptMoves(k.Moves)
	s.mu.Unlock()
	for _, id := range k.Disabled {
		s.Disable(id) // fails for one that was removed, which needs no disabling
	}
}

// positions returns the index of each name in among; -1: it is not there.
func positions(names, among []string) []int {
	index := make([]int, len(names))
	for i, name := range names {
		if index[i] = -1; name != "" {
			index[i] = slices.Index(among, name)
		}
	}
	return index
}
