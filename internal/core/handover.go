package core

import (
	"slices"

	"spokegw/internal/broker"
	"spokegw/internal/keyed"
	"spokegw/internal/learnt"
	"spokegw/internal/moves"
)

// Snapshot is what a service knows that the one which takes its place should.
type Snapshot struct {
	Classes       []string // names, by the places that the rest knows; "": none
	Learnt        learnt.Record
	ContractUsage *broker.Snapshot // nil: there are no contracts
	Keys          []keyed.Note
	Disabled      []string // endpoints, by operators
	Moves         []moves.Record
}

// Snapshot tells what the service knows, with at most so many keys.
func (s *Service) Snapshot(keys int) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	k := Snapshot{Classes: s.settled.names(), Learnt: learnt.Snapshot(now, s.balancer), Keys: s.keys.Notes(now, keys)}
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

// Adopt takes over what the service of another process knows, before the first
// request and once the endpoints are listed.
func (s *Service) Adopt(k Snapshot) {
	s.mu.Lock()
	now, names := s.now(), s.settled.names()
	k.Learnt.Apply(now, s.balancer, match(names, k.Classes))
	if s.broker != nil && k.ContractUsage != nil {
		s.broker.Restore(now, *k.ContractUsage, match(k.Classes, names))
	}
	for _, n := range k.Keys {
		s.keys.Adopt(now, n)
	}
	s.adoptMoves(k.Moves)
	s.mu.Unlock()
	for _, id := range k.Disabled {
		s.Disable(id) // one that is gone needs it no more
	}
}

// match tells for each of some names where it stands among others: -1, nowhere.
func match(names, among []string) []int {
	at := make([]int, len(names))
	for i, name := range names {
		if at[i] = -1; name != "" {
			at[i] = slices.Index(among, name)
		}
	}
	return at
}
