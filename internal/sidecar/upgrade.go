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

// upgrade is the state of this process between its predecessor and its successor in a graceful
// restart. handover.Division makes the decisions about it.
type upgrade struct {
	sidecar          *Sidecar
	predecessorEnded chan struct{}         // closed when the predecessor has ended, or if there was none
	predecessor      *handover.Predecessor // nil: there was none
	inherited        *handover.State       // received from the predecessor or saved by it; nil: nothing, or already restored
	offerer          *handover.Offerer     // nil: no successor can connect

	mu       sync.Mutex
	division handover.Division
	resizing sync.Mutex // serializes changes of the division

	relays  chan func()    // each sends a key or an id from one peer process to the other
	openIDs chan struct{}  // the ids of open requests are to be published again
	results chan keyResult // confirmations to send
}

// joinUpgrade asks the serving process, if there is one, to hand over.
func (s *Sidecar) joinUpgrade() *upgrade {
	u := &upgrade{sidecar: s, division: handover.FullDivision(), predecessorEnded: make(chan struct{}), relays: make(chan func(), maxQueuedKeys), openIDs: make(chan struct{}, 1), results: make(chan keyResult, maxQueuedKeys)}
	defer func() {
		if u.predecessor == nil {
			close(u.predecessorEnded)
			u.inherited = s.loadImage()
			s.loadKeys()
		}
	}()
	c := &s.config
	path := handover.Path(c.Folder, c.Listen)
	if path == "" {
		return u
	}
	u.offerer = handover.NewOfferer(path, c.Name, c.Listen, u)
	persistsKeys := s.initialFile != nil && s.initialFile.Keys == operator.KeysBeforeSend
	p, err := handover.Request(path, c.Name, c.Listen, persistsKeys)
	if err != nil {
		if !errors.Is(err, handover.ErrNoProcess) {
			slog.Warn("starting without handed-over state: the predecessor process did not hand over", "error", err)
		}
		return u
	}
	u.predecessor, u.inherited, u.division = p, p.State, handover.SuccessorDivision(p.Share)
	p.State = nil
	return u
}

// listener returns the predecessor's listener; nil if there is none.
func (u *upgrade) listener() *net.TCPListener {
	if u.predecessor == nil {
		return nil
	}
	return u.predecessor.Listener
}

func (u *upgrade) adoptIDs(c *core.Core) {
	c.SetIDPeers(processes{u})
	if u.inherited != nil {
		if ids := &u.inherited.IDs; ids.Key != 0 { // 0: lost from a saved state; without a secret key, anybody could search for ids with equal hashes
			c.AdoptIDs(ids.Key, ids.Hashes)
			return
		}
	}
	if k := &u.sidecar.keys; k.hasHash {
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

// run restores the state received from the predecessor, offers the same to a successor, and
// notifies the predecessor that this process serves. It does not wait: what runs until watchCtx
// ends is added to goroutines.
func (u *upgrade) run(watchCtx context.Context, goroutines *sync.WaitGroup) {
	if inherited := u.inherited; inherited != nil {
		for _, r := range u.sidecar.currentServices() {
			if k := inherited.Find(r.ref); k != nil {
				for i, n := range k.Keys { // the start took time
					k.Keys[i] = handover.AgeNote(n, inherited.At, state.Now().Since)
				}
				r.service.Adopt(core.Snapshot{Classes: k.Classes, Learnt: k.Learnt, ContractUsage: k.Standing, Keys: k.Keys, Disabled: k.Disabled, Moves: k.Moves})
			}
		}
		if inherited.Drained {
			u.sidecar.drain(true)
		}
		u.inherited = nil // no longer needed, and some 100 KB
	}
	if u.offerer != nil {
		if err := u.offerer.Offer(watchCtx, goroutines); err != nil {
			slog.Warn("no further process can take over from this one", "error", err)
			u.offerer = nil
		}
	}
	if u.offerer != nil || u.predecessor != nil {
		goroutines.Go(func() { u.relayAll(watchCtx) })
	}
	if u.predecessor != nil {
		goroutines.Go(func() { u.follow(watchCtx) })
		goroutines.Go(func() { u.confirmKeys(watchCtx) })
		if err := u.predecessor.ReportServing(); err != nil {
			slog.Warn("the predecessor process could not be notified that this one serves", "error", err)
		}
		slog.Info("taken over", "part", u.share())
	}
}

// follow handles the predecessor's messages until it ends.
func (u *upgrade) follow(watchCtx context.Context) {
	p := u.predecessor
	stop := context.AfterFunc(watchCtx, p.Close)
	defer stop()
	p.HandleIDs(func(hash uint64) {
		u.sidecar.core.AdoptID(hash)
		u.relay(u.offerer != nil && u.offerer.HasSuccessor(), func() { u.offerer.SendID(hash) })
	})
	p.Follow(func(m handover.Members) {
		if r := u.sidecar.findService(m.ServiceRef); r != nil && r.watcher != nil {
			r.service.UpdateEndpoints(m.Entries, m.Full)
			r.watcher.SetKnownVersion(m.Version)
			u.relayMembers(m) // there may already be a successor
		}
	}, func(k handover.Key, number uint64) {
		k = k.Aged(state.Now().Since)
		if r := u.sidecar.findService(k.ServiceRef); r != nil {
			r.keys.publish(nil, k.Note)
			u.relay(u.offerer != nil && u.offerer.HasSuccessor(), func() { u.sendKeyToSuccessor(k) })
		}
		u.sidecar.persistPredecessorKey(predecessorKey{k, number})
	}, func(share float64) { u.redivide(false, func(d *handover.Division) { d.SetPredecessorShare(share) }) })
	close(u.predecessorEnded)
	if watchCtx.Err() != nil {
		return
	}
	u.endIDPeers()
	u.redivide(false, (*handover.Division).PredecessorEnded)
	slog.Info("the process before this one has ended", "part", u.share())
	for _, r := range u.sidecar.currentServices() {
		if r.watcher != nil {
			r.watcher.Subscribe() // the predecessor's watch has ended
		}
	}
}

// keyResult is the confirmation of a key that the predecessor waits for, by its number.
type keyResult struct {
	number uint64
	ok     bool
}

// maxQueuedKeys bounds the keys and ids that wait to be relayed. Further ones are dropped:
// the receiver then hangs, and its connection is abandoned soon.
const maxQueuedKeys = 1024

// processes are those before and after this one.
type processes struct{ upgrade *upgrade }

// peers are the processes before and after this one, and the other services of the same name in it, for
// the keys of one service.
type peers struct {
	processes
	of *runningService
}

// Exist reports whether there are, or were, other processes, or there are other services.
func (p peers) Exist() bool { return p.processes.Exist() || p.of.keys.hasOthers() }

// CatchUp waits until all that other processes have sent has been received.
func (p peers) CatchUp() error {
	if !p.processes.Exist() {
		return nil
	}
	return p.processes.CatchUp()
}

// Exist reports whether there are, or were, others.
func (p processes) Exist() bool {
	u := p.upgrade
	return u.predecessor != nil || u.offerer != nil && u.offerer.HadSuccessor()
}

// Publish notifies the other services and both other processes of a key.
func (p peers) Publish(n keyed.Note) error {
	p.of.keys.publish(p.of.service, n)
	if !p.processes.Exist() {
		return nil
	}
	u, k := p.upgrade, handover.Key{ServiceRef: p.of.ref, Note: n, At: state.Now().Since}
	if err := u.sendKeyToPredecessor(k); err != nil {
		return err
	}
	return u.sendKeyToSuccessor(k.Aged(state.Now().Since))
}

// PublishID notifies both other processes of the hash of an id.
func (p processes) PublishID(hash uint64) error {
	u := p.upgrade
	if u.hasPredecessor() {
		if err := u.predecessor.SendID(hash); err != nil {
			return err
		}
	}
	if u.offerer == nil {
		return nil
	}
	return u.offerer.SendID(hash)
}

// CatchUp waits until all keys and ids sent by the others have been received.
func (p processes) CatchUp() error {
	u := p.upgrade
	if u.hasPredecessor() {
		if err := u.predecessor.CatchUp(); err != nil {
			return err
		}
	}
	if u.offerer == nil {
		return nil
	}
	return u.offerer.CatchUp()
}

// AnnounceOpenIDs has the ids of open requests published again by relayAll.
func (p processes) AnnounceOpenIDs() {
	select {
	case p.upgrade.openIDs <- struct{}{}:
	default: // it is to happen already
	}
}

// publishOpenIDs publishes the ids of open requests again.
func (u *upgrade) publishOpenIDs() {
	if !u.hasPeer() {
		return
	}
	for _, hash := range u.sidecar.core.OpenIDs() {
		if err := (processes{u}).PublishID(hash); err != nil {
			return // the peer is lost; requests that it may have sent are refused
		}
	}
}

// endIDPeers has the ids of other processes count as those of ended requests, if none is left.
func (u *upgrade) endIDPeers() {
	if !u.hasPeer() {
		u.sidecar.core.EndIDPeers()
	}
}

// hasPeer reports whether there is a process before or after this one.
func (u *upgrade) hasPeer() bool {
	return u.hasPredecessor() || u.offerer != nil && u.offerer.HasSuccessor()
}

// hasPredecessor reports whether there is a predecessor that may still send messages.
func (u *upgrade) hasPredecessor() bool {
	select {
	case <-u.predecessorEnded:
		return false
	default:
		return u.predecessor != nil
	}
}

// SuccessorKey is called when the successor is about to send a keyed request.
func (u *upgrade) SuccessorKey(k handover.Key) {
	if r := u.sidecar.findService(k.ServiceRef); r != nil {
		k = k.Aged(state.Now().Since)
		r.keys.publish(nil, k.Note)
		u.relay(u.hasPredecessor(), func() { u.sendKeyToPredecessor(k) })
	}
}

// SuccessorID is called when the successor is about to send a request with an id.
func (u *upgrade) SuccessorID(hash uint64) {
	u.sidecar.core.AdoptID(hash)
	u.relay(u.hasPredecessor(), func() { u.predecessor.SendID(hash) })
}

// relay queues what is to be sent to the peer process on the other side, if there is one. It does
// not wait.
func (u *upgrade) relay(connected bool, send func()) {
	if !connected {
		return
	}
	select {
	case u.relays <- send:
	default:
	}
}

func (u *upgrade) sendKeyToPredecessor(k handover.Key) error {
	if !u.hasPredecessor() {
		return nil
	}
	return u.predecessor.SendKey(k)
}

func (u *upgrade) sendKeyToSuccessor(k handover.Key) error {
	if u.offerer == nil {
		return nil
	}
	return u.offerer.SendKey(k)
}

// confirmKeys sends the predecessor the results of persisting keys until ctx ends.
func (u *upgrade) confirmKeys(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case k := <-u.results:
			u.predecessor.ConfirmKey(k.number, k.ok)
		}
	}
}

// confirmKey queues the result of persisting a key that the predecessor waits for. It does not
// wait; a dropped result means that the request is refused at its timeout.
func (u *upgrade) confirmKey(number uint64, ok bool) {
	if number == 0 {
		return
	}
	select {
	case u.results <- keyResult{number, ok}:
	default:
	}
}

// relayAll sends each peer process the keys and ids received from the other, and announces open ids,
// until ctx ends.
func (u *upgrade) relayAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case send := <-u.relays:
			send()
		case <-u.openIDs:
			u.publishOpenIDs()
		}
	}
}

func (u *upgrade) share() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.division.Share()
}

// redivide changes the division, applies it and notifies the processes concerned. A
// successor that the limits are split for receives its share with the state.
func (u *upgrade) redivide(split bool, apply func(*handover.Division)) {
	u.resizing.Lock()
	defer u.resizing.Unlock()
	oldShare := u.share()
	u.mu.Lock()
	hasSuccessor := u.division.HasSuccessor()
	apply(&u.division)
	successorChanged := hasSuccessor != u.division.HasSuccessor()
	hasSuccessor = u.division.HasSuccessor()
	u.mu.Unlock()
	newShare := u.share()
	if u.predecessor != nil && (newShare != oldShare || successorChanged) {
		u.predecessor.SendShare(newShare, hasSuccessor)
	}
	if newShare == oldShare {
		return
	}
	u.sidecar.resize(newShare)
	if u.offerer != nil && !split {
		u.offerer.SendShare(newShare)
	}
}

// Offer is called when a successor connects.
func (u *upgrade) Offer() (*handover.State, float64, *os.File, error) {
	file, err := u.sidecar.front.File()
	if err != nil {
		return nil, 0, nil, err
	}
	st := u.state()
	u.redivide(true, func(d *handover.Division) { d.Split() })
	slog.Info("another process takes over", "part", u.share())
	return st, u.share(), file, nil
}

// state returns the state to hand over to the next process.
func (u *upgrade) state() *handover.State {
	st := &handover.State{At: state.Now().Since, Drained: u.sidecar.drained.Load()}
	st.IDs.Key, st.IDs.Hashes = u.sidecar.core.RecentIDs()
	for _, r := range u.sidecar.currentServices() {
		svc := handover.Service{ServiceRef: r.ref}
		if r.watcher != nil {
			// The version is read first: the entries are then at least as new.
			svc.Members = handover.Members{Version: r.watcher.Version(), Full: true, Entries: r.service.DiscoveryEntries()}
		}
		k := r.service.Snapshot(handover.MaxKeys)
		svc.Classes, svc.Learnt, svc.Standing, svc.Keys, svc.Disabled, svc.Moves = k.Classes, k.Learnt, k.ContractUsage, k.Keys, k.Disabled, k.Moves
		st.Services = append(st.Services, svc)
	}
	return st
}

// SuccessorReady is called when the successor accepts all new connections.
func (u *upgrade) SuccessorReady() {
	slog.Info("another process has taken over")
	u.sidecar.handedOver.Store(true)
	u.sidecar.stopPersistence() // the successor saves the state now
	u.sidecar.yieldFleet()
	u.sidecar.front.StopAccepting()
}

// SuccessorShareChanged is called when the successor's share of the limits has changed.
func (u *upgrade) SuccessorShareChanged(share float64, hasSuccessor bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.division.SetSuccessorShare(share, hasSuccessor)
}

// SuccessorEnded is called when the successor has ended: this process serves alone again.
func (u *upgrade) SuccessorEnded() {
	u.sidecar.front.ResumeAccepting()
	u.endIDPeers()
	if s := u.sidecar.membership; s != nil {
		select {
		case <-s.yield: // not handled yet
		default:
		}
	}
	if u.sidecar.serving.Load() {
		u.sidecar.reopenConsole()
		u.sidecar.movesKeeper.Open(diskTimeout)
		u.sidecar.imageKeeper.Open(diskTimeout)
		u.sidecar.saveImage(false)
		u.sidecar.handedOver.Store(false)
		u.sidecar.retryKeyStore() // keyed requests are refused until the store is open
		u.sidecar.fileKeeper.Open(diskTimeout)
		u.sidecar.mu.Lock()
		u.sidecar.saveOperatorFile()
		u.sidecar.mu.Unlock()
	}
	u.redivide(false, (*handover.Division).SuccessorEnded)
	slog.Warn("the process that was to take over has ended", "part", u.share())
}

// relayMembers relays a list from discovery to the successor.
func (u *upgrade) relayMembers(m handover.Members) {
	if u.offerer != nil {
		u.offerer.SendMembers(m)
	}
}

// inheritedList returns the predecessor's list of a service, if it has one.
func (u *upgrade) inheritedList(ref handover.ServiceRef) (list discovery.List, ok bool) {
	if u.inherited == nil {
		return list, false
	}
	k := u.inherited.Find(ref)
	if k == nil || len(k.Members.Entries) == 0 {
		return list, false
	}
	return discovery.List{Version: k.Members.Version, Full: true, Servers: k.Members.Entries}, true
}

// currentServices returns the services in force.
func (s *Sidecar) currentServices() []*runningService {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services
}

// findService returns the service with a reference; nil if there is none.
func (s *Sidecar) findService(ref handover.ServiceRef) *runningService {
	for _, r := range s.currentServices() {
		if r.ref.Is(ref) {
			return r
		}
	}
	return nil
}

// clientLimits returns, for a share of the limits, the limit of client connections and the number
// of those above which clients are asked to disconnect with their first answer.
func (s *Sidecar) clientLimits(share float64) (limit, busy int) {
	l := &s.config.Limits
	return l.clients(share), int(l.sockets(share * busyFraction))
}

// resizeBudgets divides a share of the limits among the budgets.
func (s *Sidecar) resizeBudgets(share float64) {
	l := &s.config.Limits
	s.budgets.slots.Resize(l.sockets(share * upstreamFraction))
	s.budgets.requests.Resize(l.sockets(share * clientFraction))
	s.budgets.longAnswers.Resize(l.memoryBytes(longAnswerFraction, share))
	s.budgets.bodies.Resize(l.memoryBytes(bodyFraction, share))
}

// resize makes the sidecar use a share of its limits from now on.
func (s *Sidecar) resize(share float64) {
	s.resizeBudgets(share)
	if s.front != nil {
		s.front.Resize(s.clientLimits(share))
	}
	if s.config.OwnProcess {
		limitMemory(s.config.Limits, share)
	}
	s.shrinkPools()
}

// shrinkPools closes idle connections to endpoints in excess of the budget.
func (s *Sidecar) shrinkPools() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.services {
		for s.budgets.slots.Overcommitted() && r.pool.EvictIdle() {
		}
	}
}

// EndpointsUpdated passes entries from discovery to the service, and relays them to the
// successor.
func (r *runningService) EndpointsUpdated(entries []discovery.Entry, full bool) {
	r.service.UpdateEndpointsAfter(entries, full, r.watcher.SinceCurrent())
	if len(entries) > 0 || full {
		r.upgrade.relayMembers(handover.Members{ServiceRef: r.ref, Version: r.watcher.Version(), Full: full, Entries: entries})
	}
}

// DiscoveryLost notifies the service that discovery is unavailable.
func (r *runningService) DiscoveryLost(current time.Time, overloaded bool) {
	r.service.DiscoveryLost(current, overloaded)
}
