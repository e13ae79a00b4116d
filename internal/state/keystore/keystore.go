// Package keystore persists keyed requests before they are sent, for installations whose
// servers remember a key for longer than a restart takes. Concurrent notes are written in
// one batch, with one sync.
package keystore

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"spokegw/internal/handover"
	"spokegw/internal/state/plan"
)

const (
	// maxPending bounds the notes that wait for the disk. Further ones are rejected at
	// once, since the disk is slower than the requests arrive.
	maxPending = 1024
	// maxBatch bounds the notes of one write.
	maxBatch = 256
	// slotDuration is the time covered by a slot. Its notes are stored together, and
	// deleted together when the last of them expires.
	slotDuration = 10 * time.Second
	// slotNameSize is the length of the name of a slot, in bytes.
	slotNameSize = 8
	// maxRead bounds the notes that are read at a start, so that a file of millions from
	// another boot of the machine does not delay it. Those that expire last are read
	// first.
	maxRead = 8 * handover.MaxKeys
	// openTimeout is how long Open waits for another process to release the file.
	openTimeout = 300 * time.Millisecond
	// retryDelay is how long writes are rejected after one has failed.
	retryDelay = 500 * time.Millisecond
)

var (
	metaBucket = []byte("meta")
	hashName   = []byte("hash")
	bootName   = []byte("boot") // boot id that the times of the slots refer to

	// ErrBusy reports that too many notes are pending, ErrFailed that the disk rejects
	// them. The request must not be sent.
	ErrBusy   = errors.New("keystore: too many keys are waiting to be written")
	ErrFailed = errors.New("keystore: writing keys to the disk failed")
	// ErrUnusable reports corruption that can't be skipped: the file needs inspection,
	// and retries are of no use.
	ErrUnusable = errors.New("keystore: the file is corrupted; no key is persisted until it is removed")
	errClosed   = errors.New("keystore: store is closed")
)

// database stores the notes: a bbolt database, or one that fails in a test.
type database interface {
	Update(func(*bbolt.Tx) error) error
	View(func(*bbolt.Tx) error) error
	Close() error
}

// Store is an open file of notes. Its methods are safe for concurrent use.
type Store struct {
	db        database
	now       func() plan.Clock
	queue     chan *pendingNote
	closing   chan struct{}
	stopped   chan struct{}
	closeOnce sync.Once
	closeMu   sync.RWMutex // locked while closing is closed; read-locked to queue a write that must be completed

	mu       sync.Mutex
	failedAt time.Duration // boot clock of the last failed write; 0: the last write succeeded
}

type pendingNote struct {
	record []byte
	slot   uint64 // by which it has expired
	key    uint64
	done   chan error // buffered; nil: then is called by the writer
	then   func(error)
}

// complete reports the result.
func (w *pendingNote) complete(err error) {
	if w.then != nil {
		w.then(err)
		return
	}
	w.done <- err
}

// storedKey is a note as it is stored.
type storedKey struct {
	At  plan.Clock
	Key handover.Key
}

// Open opens the file at path, and creates it if missing. now is the clock.
func Open(path string, now func() plan.Clock) (*Store, error) {
	var db *bbolt.DB
	var file *os.File
	err := recoverPanic(func(func(*bbolt.Tx) error) (err error) {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{
			// NoFreelistSync is off: with it a corrupted page panics in a goroutine of
			// bbolt, where it can't be recovered.
			Timeout: openTimeout,
			OpenFile: func(name string, flag int, mode os.FileMode) (f *os.File, err error) {
				f, err = os.OpenFile(name, flag, mode)
				file = f
				return f, err
			},
		})
		return err
	}, nil)
	if err != nil {
		if file != nil {
			// After a panic bbolt has left the file open, and its mapping keeps the lock.
			unix.Flock(int(file.Fd()), unix.LOCK_UN)
			file.Close()
		}
		return nil, fmt.Errorf("keystore: %w", err)
	}
	return open(db, now), nil
}

func open(d database, now func() plan.Clock) *Store {
	s := &Store{db: d, now: now, queue: make(chan *pendingNote, maxPending), closing: make(chan struct{}), stopped: make(chan struct{})}
	go s.writeLoop() // stops at Close
	return s
}

// Close writes pending notes and closes the file.
func (s *Store) Close() error {
	s.closeOnce.Do(func() {
		s.closeMu.Lock()
		defer s.closeMu.Unlock()
		close(s.closing)
	})
	<-s.stopped
	return s.db.Close()
}

// Persist returns when the note is durable or can't be: in that case the request must not
// be sent, since after a kill its key would be unknown.
func (s *Store) Persist(ctx context.Context, k handover.Key) error {
	at := s.now()
	if s.recentlyFailed(at) {
		return ErrFailed
	}
	record, err := encode(storedKey{at, k})
	if err != nil {
		return err
	}
	w := &pendingNote{record: record, slot: slotOf(at.Since + k.Left), key: k.Key, done: make(chan error, 1)}
	select {
	case <-s.closing:
		return errClosed
	case s.queue <- w:
	default:
		return ErrBusy
	}
	select {
	case err := <-w.done:
		return err
	case <-s.stopped: // queued while the store was closed; possibly in the last batch
		select {
		case err := <-w.done:
			return err
		default:
			return errClosed
		}
	case <-ctx.Done():
		return context.Cause(ctx) // it may still be written, which is harmless
	}
}

// PersistAsync queues the note without waiting. It is dropped if too many are pending or
// the disk fails.
func (s *Store) PersistAsync(k handover.Key) { s.PersistThen(k, func(error) {}) }

// PersistThen queues the note without waiting, and calls then once it is durable or can't
// be. then must not block.
func (s *Store) PersistThen(k handover.Key, then func(error)) {
	at := s.now()
	if s.recentlyFailed(at) {
		then(ErrFailed)
		return
	}
	record, err := encode(storedKey{at, k})
	if err != nil {
		then(err)
		return
	}
	s.closeMu.RLock() // ensures that a queued note is written
	defer s.closeMu.RUnlock()
	select {
	case <-s.closing:
		then(errClosed)
		return
	default:
	}
	select {
	case s.queue <- &pendingNote{record: record, slot: slotOf(at.Since + k.Left), key: k.Key, then: then}:
	default:
		then(ErrBusy)
	}
}

// recordVersion is the first byte of a record; a CRC-32C follows. A record of the first
// version is plain JSON, which begins with another byte, and is still read.
const recordVersion = 2

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encode(k storedKey) ([]byte, error) {
	text, err := json.Marshal(k)
	if err != nil {
		return nil, fmt.Errorf("keystore: %w", err)
	}
	b := binary.BigEndian.AppendUint32([]byte{recordVersion}, crc32.Checksum(text, castagnoli))
	return append(b, text...), nil
}

func decode(b []byte) (k storedKey, err error) {
	const head = 5
	switch {
	case len(b) > 0 && b[0] == '{':
	case len(b) < head || b[0] != recordVersion || crc32.Checksum(b[head:], castagnoli) != binary.BigEndian.Uint32(b[1:]):
		return storedKey{}, ErrDamaged
	default:
		b = b[head:]
	}
	if err := json.Unmarshal(b, &k); err != nil {
		return storedKey{}, fmt.Errorf("keystore: %w", err)
	}
	return k, nil
}

// recoverPanic runs an operation on the file, whose pages have no checksums: bbolt panics
// on a corrupted page, and a truncated file raises a memory fault. Both become an error
// instead of ending the process.
func recoverPanic(run func(func(*bbolt.Tx) error) error, fn func(*bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w (%v)", ErrUnusable, p)
		}
	}()
	return run(fn)
}

func slotOf(at time.Duration) uint64 { return uint64(max(at, 0)/slotDuration) + 1 }

// recentlyFailed reports whether a write has failed less than retryDelay ago.
func (s *Store) recentlyFailed(at plan.Clock) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failedAt != 0 && at.Since < s.failedAt+retryDelay
}

func (s *Store) recordResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt = 0
	if err != nil {
		s.failedAt = max(s.now().Since, 1)
	}
}

// writeLoop writes pending notes in batches.
func (s *Store) writeLoop() {
	defer close(s.stopped)
	for {
		var batch []*pendingNote
		select {
		case w := <-s.queue:
			batch = append(batch, w)
		case <-s.closing:
			select {
			case w := <-s.queue:
				batch = append(batch, w)
			default:
				return
			}
		}
		for more := true; more && len(batch) < maxBatch; {
			select {
			case w := <-s.queue:
				batch = append(batch, w)
			default:
				more = false
			}
		}
		err := recoverPanic(s.db.Update, func(tx *bbolt.Tx) error { return writeBatch(tx, batch, slotOf(s.now().Since)) })
		if s.recordResult(err); err != nil {
			err = fmt.Errorf("%w: %w", ErrFailed, err)
		}
		for _, w := range batch {
			w.complete(err)
		}
	}
}

// writeBatch writes notes and deletes expired slots.
func writeBatch(tx *bbolt.Tx, batch []*pendingNote, now uint64) error {
	var expired [][]byte
	c := tx.Cursor()
	for name, _ := c.First(); name != nil; name, _ = c.Next() {
		if len(name) == slotNameSize && binary.BigEndian.Uint64(name) < now {
			expired = append(expired, append([]byte(nil), name...))
		}
	}
	for _, name := range expired {
		if err := tx.DeleteBucket(name); err != nil {
			return err
		}
	}
	for _, w := range batch {
		b, err := tx.CreateBucketIfNotExists(binary.BigEndian.AppendUint64(nil, w.slot))
		if err != nil {
			return err
		}
		if err := b.Put(binary.BigEndian.AppendUint64(nil, w.key), w.record); err != nil {
			return err
		}
	}
	return nil
}

// ErrDamaged reports that corrupted records were skipped.
var ErrDamaged = errors.New("keystore: corrupted records skipped")

// Load returns the notes that are still valid, ready to be adopted, and the key that
// their hashes were made with; ok is false if there is none. If there are more than can
// be remembered, those that expire first are left out. Corrupted records are skipped one
// by one and reported by ErrDamaged along with the others.
func (s *Store) Load() (keys []handover.Key, hash uint64, ok bool, err error) {
	l := loader{now: s.now(), remaining: maxRead}
	err = recoverPanic(s.db.View, func(tx *bbolt.Tx) error {
		if b := tx.Bucket(metaBucket); b != nil {
			if v := b.Get(hashName); len(v) == 8 {
				hash, ok = binary.BigEndian.Uint64(v), true
			}
			l.sameBoot = l.now.Boot != "" && string(b.Get(bootName)) == l.now.Boot
		}
		c := tx.Cursor()
		for name, _ := c.Last(); name != nil && !l.finished(name); name, _ = c.Prev() {
			if b := tx.Bucket(name); b != nil && len(name) == slotNameSize {
				l.readSlot(b)
			}
		}
		return nil
	})
	switch {
	case err != nil:
		err = fmt.Errorf("keystore: %w", err)
	case l.damaged > 0:
		err = fmt.Errorf("%w: %d", ErrDamaged, l.damaged)
	}
	return l.keys, hash, ok, err
}

// loader is the state of a Load, which starts from the slot that expires last.
type loader struct {
	now       plan.Clock
	sameBoot  bool // the file was written during the current boot
	remaining int  // records that may still be read
	keys      []handover.Key
	damaged   int // corrupted records skipped
}

// finished reports whether this slot and all earlier ones can be skipped.
func (l *loader) finished(name []byte) bool {
	return l.full() || l.sameBoot && len(name) == slotNameSize && binary.BigEndian.Uint64(name) < slotOf(l.now.Since)
}

func (l *loader) full() bool { return l.remaining == 0 || len(l.keys) >= handover.MaxKeys }

func (l *loader) readSlot(b *bbolt.Bucket) {
	c := b.Cursor()
	for _, v := c.First(); v != nil && !l.full(); _, v = c.Next() {
		l.remaining--
		k, err := decode(v)
		if err != nil {
			l.damaged++
			continue
		}
		elapsed, exact := plan.Elapsed(k.At, l.now)
		if note, valid := plan.UsableKey(k.Key.Note, elapsed, exact); valid {
			k.Key.Note = note
			l.keys = append(l.keys, k.Key)
		}
	}
}

// Replace replaces all stored notes by the given ones, and the key that their hashes are
// made with: slots of another boot are in another time base, and notes hashed with
// another key are useless.
func (s *Store) Replace(hash uint64, known []handover.Key) error {
	at := s.now()
	var batch []*pendingNote
	for _, k := range known {
		record, err := encode(storedKey{at, k})
		if err != nil {
			return err
		}
		batch = append(batch, &pendingNote{record: record, slot: slotOf(at.Since + k.Left), key: k.Key})
	}
	err := recoverPanic(s.db.Update, func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(metaBucket)
		if err == nil {
			err = deleteSlots(tx)
		}
		if err == nil {
			err = b.Put(hashName, binary.BigEndian.AppendUint64(nil, hash))
		}
		if err == nil {
			err = b.Put(bootName, []byte(at.Boot))
		}
		if err != nil {
			return err
		}
		return writeBatch(tx, batch, 0)
	})
	if err != nil {
		return fmt.Errorf("keystore: %w", err)
	}
	return nil
}

func deleteSlots(tx *bbolt.Tx) error {
	var names [][]byte
	err := tx.ForEach(func(name []byte, _ *bbolt.Bucket) error {
		if len(name) == slotNameSize {
			names = append(names, append([]byte(nil), name...))
		}
		return nil
	})
	for _, name := range names {
		err = errors.Join(err, tx.DeleteBucket(name))
	}
	return err
}
