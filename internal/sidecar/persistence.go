package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"spokegw/internal/handover"
	"spokegw/internal/journal"
	"spokegw/internal/operator"
	"spokegw/internal/state"
	"spokegw/internal/state/keeper"
	"spokegw/internal/state/keystore"
)

// diskPatience is how long a start, an operator's word and an end wait for the disk:
// one that does not answer holds up nobody for longer.
const diskPatience = 500 * time.Millisecond

func newKeeper(c *Config, what string) *keeper.Keeper {
	d, path := c.Disk, ""
	if d == nil {
		d = journal.OS{}
	}
	if c.Operator != nil && c.Operator.State != "" {
		path = state.Path(c.Operator.State, c.Name, what)
	}
	return keeper.New(d, path, what)
}

// keepMoves keeps where the moves are.
func (s *Sidecar) keepMoves() {
	s.keptMoves.Save(func([]byte) ([]byte, error) {
		var all []state.SavedMoves
		for _, r := range s.running() {
			all = append(all, state.SavedMoves{ServiceRef: r.of, Moves: r.service.MoveRecords()})
		}
		return state.EncodeMoves(all)
	})
}

// imageEvery is how many sweeps there are between two images of what the sidecar
// knows: what it learnt and was told in that time is lost by a kill.
const imageEvery = 2

// keepImage keeps what the sidecar knows. ended tells that nothing is served any more,
// by this process or a successor.
func (s *Sidecar) keepImage(ended bool) {
	s.keptImage.Save(func([]byte) ([]byte, error) { return state.Encode(s.config.Name, s.upgrade.state(), ended) })
}

// lastImage is what a process before this one knew and kept, and is worth something
// still; nil: nothing.
func (s *Sidecar) lastImage() *handover.State {
	image, tail := s.keptImage.Open(diskPatience)
	if image == nil && tail == nil {
		return nil
	}
	at := state.Now().Since
	st, err := state.Decode(s.config.Name, image, tail)
	if err != nil {
		slog.Warn("starting from nothing: what was kept can't be used", "error", err)
		return nil
	}
	st.At = at // its keys are as old as they were then, or some more
	keys := 0
	for i := range st.Services {
		keys += len(st.Services[i].Keys)
	}
	slog.Info("starting from what was kept", "services", len(st.Services), "keys", keys)
	return st
}

// keep begins to keep what is to be kept, and has the moves go on where they were
// last, unless the process before this one has told that.
func (s *Sidecar) keep() {
	last, tail := s.keptMoves.Open(diskPatience)
	s.keptImage.Open(diskPatience)
	s.keepImage(false) // before the first request: a kill from now on is no end in order
	s.keptFile.Open(diskPatience)
	s.mu.Lock()
	s.keepFile()
	s.mu.Unlock()
	s.keptImage.Flush(diskPatience)
	s.adoptKeys()
	if last == nil && tail == nil || s.upgrade.predecessor != nil {
		return
	}
	all, err := state.DecodeMoves(last, tail)
	if err != nil {
		slog.Error("what was kept of moves can't be used", "error", err)
	}
	for i := range all {
		if r := s.find(all[i].ServiceRef); r != nil {
			r.service.AdoptMoves(all[i].Moves)
		}
	}
}

// keys are the keyed requests that are on the disk before they are sent.
type keys struct {
	store  atomic.Pointer[keystore.Store] // nil: they need not be: it is off, or another process has it
	last   []handover.Key                 // that a process before this one kept
	hash   uint64                         // that theirs are made with
	hashed bool                           // there is one

	beginning atomic.Bool // the store is being opened
	unusable  atomic.Bool // it can't be, and is not tried again: each try would leave a mapping of it

	mu    sync.Mutex
	begun bool   // it has been tried to open the store
	told  []told // by the process before this one, until then
}

// openKeys opens the store, where the operator's file wants it. Keyed requests are
// refused for as long as that can't be.
func (s *Sidecar) openKeys() *keystore.Store {
	f := s.begun
	if f == nil || !f.Keys.UsesStore() {
		return nil
	}
	store, err := keystore.Open(state.Path(f.State, s.config.Name, "keys"), state.Now)
	if err != nil {
		slog.Error("the file that keyed requests are to be in can't be opened", "keys", string(f.Keys), "error", err)
		s.keys.unusable.Store(errors.Is(err, keystore.ErrUnusable))
		return nil
	}
	return store
}

// lastKeys reads what a process before this one kept of keys.
func (s *Sidecar) lastKeys() {
	store := s.openKeys()
	if store == nil {
		return
	}
	var err error
	at := state.Now().Since
	if s.keys.last, s.keys.hash, s.keys.hashed, err = store.Load(); err != nil {
		slog.Error("what was kept of keys can't be read", "error", err)
	}
	for i := range s.keys.last {
		s.keys.last[i].At = at // they are as old as they were then, or some more
	}
	slog.Info("starting from what was kept", "what", "keys", "keys", len(s.keys.last))
	s.keys.store.Store(store)
}

// adoptKeys takes over the keys that were on the disk, and begins to keep those that
// are known now.
func (s *Sidecar) adoptKeys() {
	hash, _ := s.core.RecentIDs()
	if s.keys.hashed && s.keys.hash == hash {
		for _, k := range s.keys.last {
			if r := s.find(k.ServiceRef); r != nil {
				r.service.AdoptKey(k.Aged(state.Now().Since).Note)
			}
		}
	}
	s.keys.last = nil
	s.beginKeys()
	s.keepWaiting()
}

// beginKeys has the keys that are known now on the disk, and those that are sent from
// now on.
func (s *Sidecar) beginKeys() {
	store := s.keys.store.Load()
	if store == nil {
		if store = s.openKeys(); store == nil {
			return
		}
	}
	hash, _ := s.core.RecentIDs()
	var all []handover.Key
	for _, r := range s.running() {
		for _, n := range r.service.Snapshot(handover.MaxKeys).Keys {
			all = append(all, handover.Key{ServiceRef: r.of, Note: n})
		}
	}
	if err := store.Replace(hash, all); err != nil {
		slog.Error("the keys that are known are not on the disk", "error", err)
	}
	if s.keys.store.Store(store); s.yielded.Load() {
		s.closeKeys() // the disk took its time
	}
}

// retryKeys opens the store again where it could not be: it is to be called now and
// then.
func (s *Sidecar) retryKeys() {
	if s.begun != nil && s.begun.Keys.UsesStore() && s.keys.store.Load() == nil && !s.keys.unusable.Load() && !s.yielded.Load() {
		if s.keys.beginning.CompareAndSwap(false, true) {
			go func() { // until the disk answers: nobody waits for it here
				defer s.keys.beginning.Store(false)
				s.beginKeys()
			}()
		}
	}
}

// errNoKeys tells that keyed requests can't be kept.
var errNoKeys = errors.New("there is no file to keep keys in")

// keepKey has a keyed request on the disk before it is sent, or soon.
func (s *Sidecar) keepKey(ctx context.Context, k handover.Key) error {
	if s.yielded.Load() {
		return s.keepElsewhere(ctx, k)
	}
	store := s.keys.store.Load()
	switch {
	case s.begun.Keys == operator.KeysAsync:
		if store != nil {
			store.PersistAsync(k)
		}
		return nil
	case store == nil:
		return errNoKeys
	}
	return store.Persist(ctx, k)
}

// keepElsewhere has a keyed request on the disk by the process that took over, which has
// the file. Where that has ended, and this one has not the file yet, it is refused.
func (s *Sidecar) keepElsewhere(ctx context.Context, k handover.Key) error {
	if s.begun.Keys != operator.KeysBeforeSend {
		return nil // the successor is told, and keeps
	}
	if err := s.upgrade.offerer.PersistKey(ctx, k.Aged(state.Now().Since)); !errors.Is(err, handover.ErrNoPersistence) {
		return err
	}
	return nil
}

// told is a key that the process before this one told; a number has it wait for a word.
type told struct {
	handover.Key
	number uint64
}

// mostTold bounds the keys that wait until the file is open.
const mostTold = 1024

// keepTold has a keyed request that the process before this one has sent, or is to send
// once that is told, on the disk, with those that come meanwhile: that one has no file
// any more.
func (s *Sidecar) keepTold(t told) {
	s.keys.mu.Lock()
	store := s.keys.store.Load()
	waits := store == nil && !s.keys.begun && len(s.keys.told) < mostTold
	if waits {
		s.keys.told = append(s.keys.told, t)
	}
	s.keys.mu.Unlock()
	if !waits {
		s.keepThen(store, t)
	}
}

func (s *Sidecar) keepThen(store *keystore.Store, t told) {
	if store == nil {
		s.upgrade.keptKey(t.number, false)
		return
	}
	store.PersistThen(t.Key, func(err error) { s.upgrade.keptKey(t.number, err == nil) })
}

// keepWaiting does so for the keys that were told before the file was open, or could not
// be opened.
func (s *Sidecar) keepWaiting() {
	s.keys.mu.Lock()
	all := s.keys.told
	s.keys.told, s.keys.begun = nil, true
	s.keys.mu.Unlock()
	for _, t := range all {
		s.keepThen(s.keys.store.Load(), t)
	}
}

// closeKeys leaves the file to another process, or to nobody. It does not wait for a
// disk that does not answer.
func (s *Sidecar) closeKeys() {
	store := s.keys.store.Swap(nil)
	if store == nil {
		return
	}
	closed := make(chan error, 1)
	go func() { closed <- store.Close() }() // until the disk answers
	timer := time.NewTimer(diskPatience)
	defer timer.Stop()
	var err error
	select {
	case err = <-closed:
	case <-timer.C:
		err = errors.New("the disk does not answer")
	}
	if err != nil {
		slog.Error("the file of keys was not closed", "error", err)
	}
}

// keepNoMore keeps what is known a last time: another process does it from now on,
// or nobody.
func (s *Sidecar) keepNoMore() {
	s.keepImage(!s.yielded.Load())
	all := []*keeper.Keeper{s.keptImage, s.keptMoves, s.keptFile}
	for _, k := range all {
		k.Close()
	}
	until := time.Now().Add(diskPatience)
	for _, k := range all {
		k.Flush(time.Until(until))
	}
	s.closeKeys()
}
