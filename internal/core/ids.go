package core

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
)

// minIDs is the minimum number of remembered ids of ended requests; the maximum is twice that. This is
// some seconds' worth at the request rates of a sidecar.
const minIDs = 4096

// requestIDs knows the ids of open requests, and remembers those of the most recent ended ones. Every
// request has a new id, so an id that is repeated belongs to a different request: forwarding it while
// the first is open would look like a second copy of that one, and the two answers could be confused.
// A hash collision, about one in 10^15, refuses a valid request.
//
// There are as many open ids as open requests, which the fronts bound.
//
// The hash is keyed, so that clients can't construct collisions. The key can be handed over to
// the successor of this process.
type requestIDs struct {
	key uint64

	mu     sync.Mutex
	open   map[uint64]struct{} // of requests from the end of their heads until their answers are written
	ended  hashSet             // of requests that were sent on
	others hashSet             // of requests to other processes of the sidecar

	sinceAnnounced int // ids that the processes have published among them since open ones were last announced
}

// announceEvery is how many ids the processes of a sidecar publish among them before each announces its
// open ones again. They remember minIDs at least, so that they know of an open one for as long as it
// is open, with up to announceEvery open at once.
const announceEvery = minIDs / 2

// countPublished counts a published id, and reports whether open ones are to be announced again.
func (s *requestIDs) countPublished() (announce bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sinceAnnounced++
	if announce = s.sinceAnnounced >= announceEvery; announce {
		s.sinceAnnounced = 0
	}
	return announce
}

// openHashes returns the hashes of open requests.
func (s *requestIDs) openHashes() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

// endOthers treats the ids of other processes, which have ended, as those of ended requests.
func (s *requestIDs) endOthers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended.previous == nil {
		s.ended.previous = make(map[uint64]struct{})
	}
	maps.Copy(s.ended.previous, s.others.previous)
	maps.Copy(s.ended.previous, s.others.current)
	s.others = hashSet{}
}

// hashSet remembers the most recent hashes, minIDs at least and twice that at most.
type hashSet struct{ current, previous map[uint64]struct{} }

func (s *hashSet) has(h uint64) bool {
	_, inCurrent := s.current[h]
	_, inPrevious := s.previous[h]
	return inCurrent || inPrevious
}

func (s *hashSet) add(h uint64) {
	if len(s.current) >= minIDs {
		s.current, s.previous = s.previous, s.current
		clear(s.current)
	}
	if s.current == nil {
		s.current = make(map[uint64]struct{})
	}
	s.current[h] = struct{}{}
}

// usualOpen is the number of open requests that need no further memory for their ids.
const usualOpen = 128

func newRequestIDs() *requestIDs {
	return &requestIDs{
		key:   rand.Uint64(),
		open:  make(map[uint64]struct{}, usualOpen),
		ended: hashSet{current: make(map[uint64]struct{}, minIDs)},
	}
}

// openID is the id of an open request. The zero value is that of none.
type openID struct {
	ids  *requestIDs
	hash uint64
}

// end records that the request, which may have been sent on, has ended. Nothing happens for the zero
// value.
func (o openID) end() { o.close(true) }

// forget records that the request has ended and was never sent on.
func (o openID) forget() { o.close(false) }

func (o openID) close(remember bool) {
	if o.ids == nil {
		return
	}
	o.ids.mu.Lock()
	defer o.ids.mu.Unlock()
	delete(o.ids.open, o.hash)
	if remember {
		o.ids.ended.add(o.hash)
	}
}

// hash is FNV-1a over terminated texts, seeded and finalized with the key.
func (s *requestIDs) hash(texts ...string) uint64 {
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

// all returns the known hashes, those of open requests first, and their key.
func (s *requestIDs) all() (key uint64, hashes []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range []map[uint64]struct{}{s.open, s.ended.current, s.ended.previous, s.others.current, s.others.previous} {
		for h := range part {
			hashes = append(hashes, h)
		}
	}
	return s.key, hashes[:min(len(hashes), 4*minIDs)]
}

// adopt remembers the hashes of another process, before any request is accepted here. Some may be of
// requests that are open there.
func (s *requestIDs) adopt(key uint64, hashes []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.key, s.others.previous = key, make(map[uint64]struct{}, len(hashes))
	for _, h := range hashes[:min(len(hashes), 4*minIDs)] {
		s.others.previous[h] = struct{}{}
	}
}

// adoptOne remembers the hash of a request to another process.
func (s *requestIDs) adoptOne(hash uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others.add(hash)
}

// begin records the id of a request that opens; it reports false if the id is already known.
func (s *requestIDs) begin(id string) (o openID, isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hash(id)
	if _, isOpen := s.open[h]; isOpen || s.ended.has(h) || s.others.has(h) {
		return openID{}, false
	}
	s.open[h] = struct{}{}
	return openID{s, h}, true
}

// isOthers reports whether a request to another process has this hash.
func (s *requestIDs) isOthers(hash uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.others.has(hash)
}

// IDPeers are the other processes that accept requests from the same clients, as far as ids are
// concerned.
type IDPeers interface {
	// Exist reports whether there are or were other processes.
	Exist() bool
	// PublishID makes the hash of an id known to the other processes. Once it has returned without
	// an error, each of them finds it in its next CatchUp, even if this process ends.
	PublishID(hash uint64) error
	// CatchUp adopts all that the peers have published so far. It does not wait for them.
	CatchUp() error
	// AnnounceOpenIDs has all of Core.OpenIDs published again soon. It does not wait.
	AnnounceOpenIDs()
}

// SetIDPeers sets the other processes. It must be called before the first request.
func (c *Core) SetIDPeers(p IDPeers) { c.idPeers = p }

// AdoptID remembers the hash of the id of a request that another process is about to send.
func (c *Core) AdoptID(hash uint64) {
	c.ids.adoptOne(hash)
	c.countPublishedID()
}

// OpenIDs returns the hashes of the ids of open requests.
func (c *Core) OpenIDs() []uint64 { return c.ids.openHashes() }

// EndIDPeers reports that no other process accepts requests any more.
func (c *Core) EndIDPeers() { c.ids.endOthers() }

// countPublishedID has open ids announced again when the peers might otherwise forget them.
func (c *Core) countPublishedID() {
	if c.ids.countPublished() && c.idPeers != nil {
		c.idPeers.AnnounceOpenIDs()
	}
}

// claimID opens an id, unless another request with it has come to this process or to a peer. Each
// process publishes the id before it reads what the others have published, so that of two requests
// with the same id one at most is sent. After an error, another process may have sent it.
func (c *Core) claimID(id string) (o openID, claimed bool, err error) {
	o, isNew := c.ids.begin(id)
	if !isNew || c.idPeers == nil || !c.idPeers.Exist() {
		return o, isNew, nil
	}
	c.countPublishedID()
	if err := c.idPeers.PublishID(o.hash); err != nil {
		return o, true, err
	}
	if err := c.idPeers.CatchUp(); err != nil {
		return o, true, err
	}
	if c.ids.isOthers(o.hash) {
		o.forget()
		return openID{}, false, nil
	}
	return o, true, nil
}
