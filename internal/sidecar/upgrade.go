package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"spokegw/internal/core"
	"spokegw/internal/discovery"
	"spokegw/internal/handover"
	"spokegw/internal/keyed"
	"spokegw/internal/operator"
	"spokegw/internal/state"
)

// upgrade is the standing of this process between the one before it and the one
// after it. What is decided about it is handover.Division's.
type upgrade struct {
	sidecar     *Sidecar
	ended       chan struct{}         // closed when the predecessor has ended, or there was none
	predecessor *handover.Predecessor // nil: there was none
	before      *handover.State       // what it told, or what was kept of it; nil: nothing, or it has been taken over
	offerer     *handover.Offerer     // nil: no successor can ask

	mu       sync.Mutex
	division handover.Division
	resize   sync.Mutex // one division is applied at a time

	keys chan handedOn // that wait to be told
	kept chan keptKey  // words on keys that wait to be told
}

// join asks the process that serves, if there is one, to hand over.
func (s *Sidecar) join() *upgrade {
	u := &upgrade{sidecar: s, division: handover.FullDivision(), ended: make(chan struct{}), keys: make(chan handedOn, keysWaiting), kept: make(chan keptKey, keysWaiting)}
	defer func() {
		if u.predecessor == nil {
			close(u.ended)
			u.before = s.lastImage()
			s.lastKeys()
		}
	}()
	c := &s.config
	path := handover.Path(c.Folder, c.Listen)
	if path == "" {
		return u
	}
	u.offerer = handover.NewOfferer(path, c.Name, c.Listen, u)
	keeps := s.begun != nil && s.begun.Keys == operator.KeysBeforeSend
	p, err := handover.Request(path, c.Name, c.Listen, keeps)
	if err != nil {
		if !errors.Is(err, handover.ErrNoProcess) {
			slog.Warn("starting from nothing: the process before this one hands nothing over", "error", err)
		}
		return u
	}
	u.predecessor, u.before, u.division = p, p.State, handover.SuccessorDivision(p.Share)
	p.State = nil
	return u
}

// listener is the predecessor's; nil: it gave none.
func (u *upgrade) listener() *net.TCPListener {
	if u.predecessor == nil {
		return nil
	}
	return u.predecessor.Listener
}

func (u *upgrade) adoptIDs(c *core.Core) {
	if u.before != nil {
		if ids := &u.before.IDs; ids.Key != 0 { // of what was kept it may be lost; anybody could look for ids that meet under none
			c.AdoptIDs(ids.Key, ids.Hashes)
			return
		}
	}
	if k := &u.sidecar.keys; k.hashed {
		c.AdoptIDs(k.hash, nil)
	}
}

// abandon ends the connection to the predecessor: this process can't serve.
func (u *upgrade) abandon() {
	if u.predecessor != nil {
		u.predecessor.Listener.Close()
		u.predecessor.Close()
	}
}

// run takes over what the predecessor has told, offers the same to a successor,
// and tells the predecessor that this process serves. It does not wait: what goes
// on until watching ends is in goroutines of going.
func (u *upgrade) run(watching context.Context, going *sync.WaitGroup) {
	if before := u.before; before != nil {
		for _, r := range u.sidecar.running() {
			if k := before.Find(r.of); k != nil {
				for i, n := range k.Keys { // the start has taken some time
					k.Keys[i] = handover.AgeNote(n, before.At, state.Now().Since)
				}
				r.service.Adopt(core.Snapshot{Classes: k.Classes, Learnt: k.Learnt, ContractUsage: k.Standing, Keys: k.Keys, Disabled: k.Disabled, Moves: k.Moves})
			}
		}
		if before.Drained {
			u.sidecar.drain(true)
		}
		u.before = nil // it is of no more use, and some 100 KB
	}
	if u.offerer != nil {
		if err := u.offerer.Offer(watching, going); err != nil {
			slog.Warn("no further process can take over from this one", "error", err)
			u.offerer = nil
		} else {
			going.Go(func() { u.handOnKeys(watching) })
		}
	}
	if u.predecessor != nil {
		going.Go(func() { u.follow(watching) })
		going.Go(func() { u.tellKept(watching) })
		if err := u.predecessor.ReportServing(); err != nil {
			slog.Warn("the process before this one was not told that this one serves", "error", err)
		}
		slog.Info("taken over", "part", u.part())
	}
}

// follow hears the predecessor until it ends.
func (u *upgrade) follow(watching context.Context) {
	p := u.predecessor
	stop := context.AfterFunc(watching, p.Close)
	defer stop()
	p.Follow(func(m handover.Members) {
		if r := u.sidecar.find(m.ServiceRef); r != nil && r.watcher != nil {
			r.service.UpdateEndpoints(m.Entries, m.Full)
			r.watcher.SetKnownVersion(m.Version)
			u.tell(m) // a successor may be there already
		}
	}, func(k handover.Key, number uint64) {
		k = k.Aged(state.Now().Since)
		if r := u.sidecar.find(k.ServiceRef); r != nil {
			r.service.AdoptKey(k.Note)
			u.handOnKey(k, u.offerer != nil && u.offerer.HasSuccessor(), u.tellSuccessor)
		}
		u.sidecar.keepTold(told{k, number})
	}, func(part float64) { u.change(false, func(d *handover.Division) { d.SetPredecessorShare(part) }) })
	close(u.ended)
	if watching.Err() != nil {
		return
	}
	u.change(false, (*handover.Division).PredecessorEnded)
	slog.Info("the process before this one has ended", "part", u.part())
	for _, r := range u.sidecar.running() {
		if r.watcher != nil {
			r.watcher.Subscribe() // nobody watches for this one any more
		}
	}
}

// keptKey is a word on a key that the predecessor waits for, by its number.
type keptKey struct {
	number uint64
	ok     bool
}

// keysWaiting bounds the notes of keyed requests that wait to be handed on. What comes
// while so many wait is not: who is to be told hangs then, and is given up soon.
const keysWaiting = 1024

// peers are the processes before and after this one, for a service.
type peers struct {
	upgrade *upgrade
	of      handover.ServiceRef
}

// Exist reports whether there are some, or were.
func (p peers) Exist() bool {
	u := p.upgrade
	return u.predecessor != nil || u.offerer != nil && u.offerer.HadSuccessor()
}

// Publish has both know of a key.
func (p peers) Publish(n keyed.Note) error {
	u, k := p.upgrade, handover.Key{ServiceRef: p.of, Note: n, At: state.Now().Since}
	if err := u.tellPredecessor(k); err != nil {
		return err
	}
	return u.tellSuccessor(k.Aged(state.Now().Since))
}

// CatchUp has all adopted that they have told of keys.
func (p peers) CatchUp() error {
	u := p.upgrade
	if u.hearsPredecessor() {
		if err := u.predecessor.CatchUp(); err != nil {
			return err
		}
	}
	if u.offerer == nil {
		return nil
	}
	return u.offerer.CatchUp()
}

// hearsPredecessor reports whether there is a predecessor that may tell something yet.
func (u *upgrade) hearsPredecessor() bool {
	select {
	case <-u.ended:
		return false
	default:
		return u.predecessor != nil
	}
}

// SuccessorKey is called when the successor is to send a keyed request.
func (u *upgrade) SuccessorKey(k handover.Key) {
	if r := u.sidecar.find(k.ServiceRef); r != nil {
		k = k.Aged(state.Now().Since)
		r.service.AdoptKey(k.Note)
		u.handOnKey(k, u.hearsPredecessor(), u.tellPredecessor)
	}
}

// handedOn is a key that one of the processes beside this one has told, for the other.
type handedOn struct {
	key  handover.Key
	tell func(handover.Key) error
}

// handOnKey has a key told to the process on the other side, if that is there. It does not wait.
func (u *upgrade) handOnKey(k handover.Key, there bool, tell func(handover.Key) error) {
	if !there {
		return
	}
	select {
	case u.keys <- handedOn{k, tell}:
	default:
	}
}

func (u *upgrade) tellPredecessor(k handover.Key) error {
	if !u.hearsPredecessor() {
		return nil
	}
	return u.predecessor.SendKey(k)
}

func (u *upgrade) tellSuccessor(k handover.Key) error {
	if u.offerer == nil {
		return nil
	}
	return u.offerer.SendKey(k)
}

// tellKept tells the predecessor which of the keys that it waits for are on the disk,
// until ctx ends.
func (u *upgrade) tellKept(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case k := <-u.kept:
			u.predecessor.ConfirmKey(k.number, k.ok)
		}
	}
}

// keptKey has the predecessor told what came of a key that it waits for. It does not
// wait; a word that is left out is a request that is refused when its time is over.
func (u *upgrade) keptKey(number uint64, ok bool) {
	if number == 0 {
		return
	}
	select {
	case u.kept <- keptKey{number, ok}:
	default:
	}
}

// handOnKeys tells each of the processes beside this one what the other told of keys, until ctx ends.
func (u *upgrade) handOnKeys(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case k := <-u.keys:
			k.tell(k.key)
		}
	}
}

func (u *upgrade) part() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.division.Share()
}

// change changes the division, applies it and tells those whom it concerns. A
// successor that it is split for is told with the state.
func (u *upgrade) change(splits bool, how func(*handover.Division)) {
	u.resize.Lock()
	defer u.resize.Unlock()
	before := u.part()
	u.mu.Lock()
	handed := u.division.HasSuccessor()
	how(&u.division)
	toldAnew := handed != u.division.HasSuccessor()
	handed = u.division.HasSuccessor()
	u.mu.Unlock()
	part := u.part()
	if u.predecessor != nil && (part != before || toldAnew) {
		u.predecessor.SendShare(part, handed)
	}
	if part == before {
		return
	}
	u.sidecar.resize(part)
	if u.offerer != nil && !splits {
		u.offerer.SendShare(part)
	}
}

// Offer is called when a successor asks.
func (u *upgrade) Offer() (*handover.State, float64, *os.File, error) {
	file, err := u.sidecar.front.File()
	if err != nil {
		return nil, 0, nil, err
	}
	state := u.state()
	u.change(true, func(d *handover.Division) { d.Split() })
	slog.Info("another process takes over", "part", u.part())
	return state, u.part(), file, nil
}

// state is what this process knows that the next should.
func (u *upgrade) state() *handover.State {
	st := &handover.State{At: state.Now().Since, Drained: u.sidecar.drained.Load()}
	st.IDs.Key, st.IDs.Hashes = u.sidecar.core.RecentIDs()
	for _, r := range u.sidecar.running() {
		of := handover.Service{ServiceRef: r.of}
		if r.watcher != nil {
			// The version first: entries are then as new as it, or newer.
			of.Members = handover.Members{Version: r.watcher.Version(), Full: true, Entries: r.service.DiscoveryEntries()}
		}
		k := r.service.Snapshot(handover.MaxKeys)
		of.Classes, of.Learnt, of.Standing, of.Keys, of.Disabled, of.Moves = k.Classes, k.Learnt, k.ContractUsage, k.Keys, k.Disabled, k.Moves
		st.Services = append(st.Services, of)
	}
	return st
}

// SuccessorReady is called when the successor takes all that is new.
func (u *upgrade) SuccessorReady() {
	slog.Info("another process has taken over")
	u.sidecar.yielded.Store(true)
	u.sidecar.keepNoMore() // the successor does
	u.sidecar.yieldFleet()
	u.sidecar.front.StopAccepting()
}

// SuccessorShareChanged is called when the successor's part of the limits has changed.
func (u *upgrade) SuccessorShareChanged(part float64, handed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.division.SetSuccessorShare(part, handed)
}

// SuccessorEnded is called when the successor has ended: this process is what
// there is.
func (u *upgrade) SuccessorEnded() {
	u.sidecar.front.ResumeAccepting()
	if s := u.sidecar.shared; s != nil {
		select {
		case <-s.yields: // not taken yet
		default:
		}
	}
	if u.sidecar.serving.Load() {
		u.sidecar.retakeConsole()
		u.sidecar.keptMoves.Open(diskPatience)
		u.sidecar.keptImage.Open(diskPatience)
		u.sidecar.keepImage(false)
		u.sidecar.yielded.Store(false)
		u.sidecar.retryKeys() // until it has them on the disk keyed requests are refused
		u.sidecar.keptFile.Open(diskPatience)
		u.sidecar.mu.Lock()
		u.sidecar.keepFile()
		u.sidecar.mu.Unlock()
	}
	u.change(false, (*handover.Division).SuccessorEnded)
	slog.Warn("the process that was to take over has ended", "part", u.part())
}

// tell relays what discovery told.
func (u *upgrade) tell(m handover.Members) {
	if u.offerer != nil {
		u.offerer.SendMembers(m)
	}
}

// known is the list that the predecessor has of a service, if it has any.
func (u *upgrade) known(of handover.ServiceRef) (list discovery.List, ok bool) {
	if u.before == nil {
		return list, false
	}
	k := u.before.Find(of)
	if k == nil || len(k.Members.Entries) == 0 {
		return list, false
	}
	return discovery.List{Version: k.Members.Version, Full: true, Servers: k.Members.Entries}, true
}

// running are the services that there are now.
func (s *Sidecar) running() []*running {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services
}

// find is a service by its name; nil where there is none.
func (s *Sidecar) find(of handover.ServiceRef) *running {
	for _, r := range s.running() {
		if r.of.Is(of) {
			return r
		}
	}
	return nil
}

// places is how many connections clients may hold, and how many of those may
// stay, with a part of the limits.
func (s *Sidecar) places(part float64) (limit, crowd int) {
	l := &s.config.Limits
	return int(l.sockets(part * clientPart)), int(l.sockets(part * crowdPart))
}

// resizeBudgets divides a part of the limits among what needs it.
func (s *Sidecar) resizeBudgets(part float64) {
	l := &s.config.Limits
	bytes := func(p float64) int64 { return int64(part * p * float64(l.MemoryMB<<20)) }
	s.budgets.slots.Resize(l.sockets(part * upstreamPart))
	s.budgets.places.Resize(l.sockets(part * clientPart))
	s.budgets.long.Resize(bytes(longPart))
	s.budgets.bodies.Resize(bytes(bodyPart))
}

// resize has the sidecar use a part of its limits from now on.
func (s *Sidecar) resize(part float64) {
	s.resizeBudgets(part)
	if s.front != nil {
		s.front.Resize(s.places(part))
	}
	if s.config.OwnProcess {
		limitMemory(s.config.Limits, part)
	}
	s.shrinkPools()
}

// shrinkPools closes idle connections to endpoints that are over the budget.
func (s *Sidecar) shrinkPools() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.services {
		for s.budgets.slots.Overcommitted() && r.pool.EvictIdle() {
		}
	}
}

// EndpointsUpdated takes entries of the service from discovery, and relays them.
func (r *running) EndpointsUpdated(entries []discovery.Entry, full bool) {
	r.service.UpdateEndpointsAfter(entries, full, r.watcher.SinceCurrent())
	if len(entries) > 0 || full {
		r.upgrade.tell(handover.Members{ServiceRef: r.of, Version: r.watcher.Version(), Full: full, Entries: entries})
	}
}

// DiscoveryLost tells the service.
func (r *running) DiscoveryLost(current time.Time, crowded bool) {
	r.service.DiscoveryLost(current, crowded)
}
