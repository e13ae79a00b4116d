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

// diskTimeout bounds how long a start, an operator's command and a shutdown wait for a disk
// that does not answer.
const diskTimeout = 500 * time.Millisecond

func newKeeper(c *Config, kind string) *keeper.Keeper {
	d, path := c.Disk, ""
	if d == nil {
		d = journal.OS{}
	}
	if c.Operator != nil && c.Operator.State != "" {
		path = state.Path(c.Operator.State, c.Name, kind)
	}
	return keeper.New(d, path, kind)
}

// saveMoves saves the progress of the moves.
func (s *Sidecar) saveMoves() {
	s.movesKeeper.Save(func([]byte) ([]byte, error) {
		var all []state.SavedMoves
		for _, r := range s.currentServices() {
			all = append(all, state.SavedMoves{ServiceRef: r.ref, Moves: r.service.MoveRecords()})
		}
		return state.EncodeMoves(all)
	})
}

// sweepsPerImage is the number of sweeps between two images of the sidecar's state. A kill
// loses what was learned or received since the last one.
const sweepsPerImage = 2

// saveImage saves an image of the sidecar's state. ended reports that neither this process nor
// a successor serves any more.
func (s *Sidecar) saveImage(ended bool) {
	s.imageKeeper.Save(func([]byte) ([]byte, error) { return state.Encode(s.config.Name, s.upgrade.state(), ended) })
}

// loadImage returns the usable part of the state that an earlier process saved; nil if there is
// none.
func (s *Sidecar) loadImage() *handover.State {
	image, tail := s.imageKeeper.Open(diskTimeout)
	if image == nil && tail == nil {
		return nil
	}
	at := state.Now().Since
	st, err := state.Decode(s.config.Name, image, tail)
	if err != nil {
		slog.Warn("starting without saved state: it can't be used", "error", err)
		return nil
	}
	st.At = at // the ages of its keys are at least those at that time
	keys := 0
	for i := range st.Services {
		keys += len(st.Services[i].Keys)
	}
	slog.Info("starting from what was kept", "services", len(st.Services), "keys", keys)
	return st
}

// startPersistence starts saving the state, and restores the progress of the moves unless the
// predecessor process has sent it.
func (s *Sidecar) startPersistence() {
	last, tail := s.movesKeeper.Open(diskTimeout)
	s.imageKeeper.Open(diskTimeout)
	s.saveImage(false) // before the first request: from now on the image shows a kill as an unclean end
	s.fileKeeper.Open(diskTimeout)
	s.mu.Lock()
	s.saveOperatorFile()
	s.mu.Unlock()
	s.imageKeeper.Flush(diskTimeout)
	s.restoreKeys()
	if last == nil && tail == nil || s.upgrade.predecessor != nil {
		return
	}
	all, err := state.DecodeMoves(last, tail)
	if err != nil {
		slog.Error("saved moves can't be used", "error", err)
	}
	for i := range all {
		if r := s.findService(all[i].ServiceRef); r != nil {
			r.service.AdoptMoves(all[i].Moves)
		}
	}
}

// keyState is the state of keyed requests whose keys are persisted.
type keyState struct {
	store   atomic.Pointer[keystore.Store] // nil: persistence is off, or another process has the file
	loaded  []handover.Key                 // loaded from an earlier process's file
	hash    uint64                         // key of the hash function in that file
	hasHash bool                           // hash is set

	opening  atomic.Bool // the store is being opened
	unusable atomic.Bool // it can't be opened and is not retried: each attempt would leak a mapping of the file

	mu        sync.Mutex
	openTried bool             // opening the store has been attempted
	pending   []predecessorKey // received from the predecessor before that
}

// openKeyStore opens the store if the operator's file enables it. Keyed requests are refused
// until it is open.
func (s *Sidecar) openKeyStore() *keystore.Store {
	f := s.initialFile
	if f == nil || !f.Keys.UsesStore() {
		return nil
	}
	store, err := keystore.Open(state.Path(f.State, s.config.Name, "keys"), state.Now)
	if err != nil {
		slog.Error("the file of keys can't be opened", "keys", string(f.Keys), "error", err)
		s.keys.unusable.Store(errors.Is(err, keystore.ErrUnusable))
		return nil
	}
	return store
}

// loadKeys reads the keys that an earlier process persisted.
func (s *Sidecar) loadKeys() {
	store := s.openKeyStore()
	if store == nil {
		return
	}
	var err error
	at := state.Now().Since
	if s.keys.loaded, s.keys.hash, s.keys.hasHash, err = store.Load(); err != nil {
		slog.Error("what was kept of keys can't be read", "error", err)
	}
	for i := range s.keys.loaded {
		s.keys.loaded[i].At = at // their ages are at least those at that time
	}
	slog.Info("starting from what was kept", "what", "keys", "keys", len(s.keys.loaded))
	s.keys.store.Store(store)
}

// restoreKeys restores the persisted keys, and starts persisting those known now.
func (s *Sidecar) restoreKeys() {
	hash, _ := s.core.RecentIDs()
	if s.keys.hasHash && s.keys.hash == hash {
		for _, k := range s.keys.loaded {
			if r := s.findService(k.ServiceRef); r != nil {
				r.service.AdoptKey(k.Aged(state.Now().Since).Note)
			}
		}
	}
	s.keys.loaded = nil
	s.startKeyStore()
	s.persistPending()
}

// startKeyStore persists the keys known now, and those sent from now on.
func (s *Sidecar) startKeyStore() {
	store := s.keys.store.Load()
	if store == nil {
		if store = s.openKeyStore(); store == nil {
			return
		}
	}
	hash, _ := s.core.RecentIDs()
	var all []handover.Key
	for _, r := range s.currentServices() {
		for _, n := range r.service.Snapshot(handover.MaxKeys).Keys {
			all = append(all, handover.Key{ServiceRef: r.ref, Note: n})
		}
	}
	if err := store.Replace(hash, all); err != nil {
		slog.Error("the known keys could not be written to the file of keys", "error", err)
	}
	if s.keys.store.Store(store); s.handedOver.Load() {
		s.closeKeyStore() // the successor took over while the disk was slow
	}
}

// retryKeyStore opens the store if that failed before. It is called periodically.
func (s *Sidecar) retryKeyStore() {
	if s.initialFile != nil && s.initialFile.Keys.UsesStore() && s.keys.store.Load() == nil && !s.keys.unusable.Load() && !s.handedOver.Load() {
		if s.keys.opening.CompareAndSwap(false, true) {
			go func() { // blocks until the disk answers
				defer s.keys.opening.Store(false)
				s.startKeyStore()
			}()
		}
	}
}

// errNoKeyStore reports that keys can't be persisted.
var errNoKeyStore = errors.New("the file of keys is not open")

// persistKey persists a keyed request before it is sent or, by the operator's setting,
// asynchronously.
func (s *Sidecar) persistKey(ctx context.Context, k handover.Key) error {
	if s.handedOver.Load() {
		return s.persistKeyAtSuccessor(ctx, k)
	}
	store := s.keys.store.Load()
	switch {
	case s.initialFile.Keys == operator.KeysAsync:
		if store != nil {
			store.PersistAsync(k)
		}
		return nil
	case store == nil:
		return errNoKeyStore
	}
	return store.Persist(ctx, k)
}

// persistKeyAtSuccessor has the successor, which has the file, persist a keyed request. If the
// successor has ended and this process has not reopened the file, the request is refused.
func (s *Sidecar) persistKeyAtSuccessor(ctx context.Context, k handover.Key) error {
	if s.initialFile.Keys != operator.KeysBeforeSend {
		return nil // the successor receives the key and persists it
	}
	if err := s.upgrade.offerer.PersistKey(ctx, k.Aged(state.Now().Since)); !errors.Is(err, handover.ErrNoPersistence) {
		return err
	}
	return nil
}

// predecessorKey is a key received from the predecessor; if number is not 0, the predecessor
// waits for a confirmation.
type predecessorKey struct {
	handover.Key
	number uint64
}

// maxPendingKeys bounds the keys that wait until the file is open.
const maxPendingKeys = 1024

// persistPredecessorKey persists a keyed request that the predecessor has sent, or will send
// once that is confirmed: the predecessor no longer has the file. Keys that arrive before the
// file is open wait for it.
func (s *Sidecar) persistPredecessorKey(k predecessorKey) {
	s.keys.mu.Lock()
	store := s.keys.store.Load()
	queued := store == nil && !s.keys.openTried && len(s.keys.pending) < maxPendingKeys
	if queued {
		s.keys.pending = append(s.keys.pending, k)
	}
	s.keys.mu.Unlock()
	if !queued {
		s.persistThenConfirm(store, k)
	}
}

func (s *Sidecar) persistThenConfirm(store *keystore.Store, k predecessorKey) {
	if store == nil {
		s.upgrade.confirmKey(k.number, false)
		return
	}
	store.PersistThen(k.Key, func(err error) { s.upgrade.confirmKey(k.number, err == nil) })
}

// persistPending persists the keys that were received before the file was open, or fails them
// if it could not be opened.
func (s *Sidecar) persistPending() {
	s.keys.mu.Lock()
	all := s.keys.pending
	s.keys.pending, s.keys.openTried = nil, true
	s.keys.mu.Unlock()
	for _, k := range all {
		s.persistThenConfirm(s.keys.store.Load(), k)
	}
}

// closeKeyStore releases the file, without waiting for a disk that does not answer.
func (s *Sidecar) closeKeyStore() {
	store := s.keys.store.Swap(nil)
	if store == nil {
		return
	}
	closed := make(chan error, 1)
	go func() { closed <- store.Close() }() // blocks until the disk answers
	timer := time.NewTimer(s.timeToSave())
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

// stopPersistence saves the state a last time: from now on a successor saves it, or nobody.
func (s *Sidecar) stopPersistence() {
	s.saveImage(!s.handedOver.Load())
	all := []*keeper.Keeper{s.imageKeeper, s.movesKeeper, s.fileKeeper}
	for _, k := range all {
		k.Close()
	}
	deadline := time.Now().Add(s.timeToSave())
	for _, k := range all {
		k.Flush(time.Until(deadline))
	}
	s.closeKeyStore()
}
