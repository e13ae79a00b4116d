package core

import (
	"math/rand/v2"
	"sync"
)

// minIDs is the minimum number of remembered ids; the maximum is twice that. This is some
// seconds' worth at the request rates of a sidecar, and far more than can be open at once.
const minIDs = 4096

// recentIDs remembers the ids of the most recent requests. Every request has a new id, so an id
// that is repeated belongs to a different request: forwarding it while the first is open would
// look like a second copy of that one, and the two answers could be confused. A hash collision,
// about one in 10^15, refuses a valid request.
//
// The hash is keyed, so that clients can't construct collisions. The key can be handed over to
// the successor of this process.
type recentIDs struct {
	key uint64

	mu                sync.Mutex
	current, previous map[uint64]struct{}
}

func newRecentIDs() *recentIDs {
	return &recentIDs{key: rand.Uint64(), current: make(map[uint64]struct{}, minIDs)}
}

// hash is FNV-1a over terminated texts, seeded and finalized with the key.
func (s *recentIDs) hash(texts ...string) uint64 {
	const offset, prime, end = 14695981039346656037, 1099511628211, 256
	h := s.key ^ offset
	for _, text := range texts {
		for i := range len(text) {
			h = (h ^ uint64(text[i])) * prime
		}
		h = (h ^ end) * prime
	}
	h ^= h >> 32
	h = (h ^ s.key) * 0xd6e8feb86659fd93
	return h ^ h>>32
}

// all returns the remembered hashes, the newer half first, and their key.
func (s *recentIDs) all() (key uint64, hashes []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, half := range []map[uint64]struct{}{s.current, s.previous} {
		for h := range half {
			hashes = append(hashes, h)
		}
	}
	return s.key, hashes
}

// adopt remembers the hashes of another process, before any request is accepted here.
func (s *recentIDs) adopt(key uint64, hashes []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.key, s.previous = key, make(map[uint64]struct{}, minIDs)
	for _, h := range hashes[:min(len(hashes), 2*minIDs)] {
		s.previous[h] = struct{}{}
	}
}

// add records an id; it reports false if the id is already known.
func (s *recentIDs) add(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hash(id)
	_, inCurrent := s.current[h]
	_, inPrevious := s.previous[h]
	if inCurrent || inPrevious {
		return false
	}
	if len(s.current) >= minIDs {
		s.current, s.previous = s.previous, s.current
		if s.current == nil {
			s.current = make(map[uint64]struct{}, minIDs)
		}
		clear(s.current)
	}
	s.current[h] = struct{}{}
	return true
}
