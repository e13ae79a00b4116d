// Package keystore has keyed requests on a disk before they are sent, where an
// installation's servers remember a key for longer than a restart takes. Notes that
// come together are written together, with one wait for the disk.
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
	// mostWaiting bounds the notes that wait for the disk. More are refused at once: the
	// disk is not as fast as the requests come.
	mostWaiting = 1024
	// mostTogether bounds those of one write.
	mostTogether = 256
	// slot is the span of time whose notes stand together: they are dropped together
	// too, when the last of them is worth nothing.
	slot = 10 * time.Second
	// slotName is the length of a slot's name, in bytes.
	slotName = 8
	// mostRead bounds the notes that a start looks at: a file of millions, all of another
	// run of the machine, is not to keep it waiting. Those that are over last come first.
	mostRead = 8 * handover.MaxKeys
	// openPatience is for another process to leave the file.
	openPatience = 300 * time.Millisecond
	// failPause is how long nothing is tried after the disk has failed.
	failPause = 500 * time.Millisecond
)

var (
	metaBucket = []byte("meta")
	hashName   = []byte("hash")
	bootName   = []byte("boot") // the run of the machine that the slots' times are of

	// ErrBusy tells that too many notes wait already, ErrFailed that the disk does not
	// take them. The request is not to be sent.
	ErrBusy   = errors.New("keystore: too many keys wait for the disk")
	ErrFailed = errors.New("keystore: the disk does not take keys")
	// ErrUnusable tells that the file is damaged where it can't be read around: it is to be
	// looked at, and not to be tried again.
	ErrUnusable = errors.New("keystore: the file is damaged; while it stands there no key is kept")
	errClosed   = errors.New("keystore: it is closed")
)

// disk is what notes are written to: the store, or one that fails in a test.
type disk interface {
	Update(func(*bbolt.Tx) error) error
	View(func(*bbolt.Tx) error) error
	Close() error
}

// Store is the file. Its methods may be called by several goroutines.
type Store struct {
	disk    disk
	now     func() plan.Clock
	waiting chan *waiting
	ending  chan struct{}
	ended   chan struct{}
	once    sync.Once
	ends    sync.RWMutex // held while ending is closed, and by who puts something into waiting that has to be told

	mu       sync.Mutex
	failedAt time.Duration // on the machine's clock; 0: the last write was taken
}

type waiting struct {
	record []byte
	slot   uint64 // by when it is worth nothing
	key    uint64
	done   chan error // takes one; nil: then is called, by who writes
	then   func(error)
}

// tell tells what came of it.
func (w *waiting) tell(err error) {
	if w.then != nil {
		w.then(err)
		return
	}
	w.done <- err
}

// kept is a note as it is kept.
type kept struct {
	At  plan.Clock
	Key handover.Key
}

// Open opens the file at path, and makes it where there is none. now is the clock.
func Open(path string, now func() plan.Clock) (*Store, error) {
	var db *bbolt.DB
	var file *os.File
	err := guarded(func(func(*bbolt.Tx) error) (err error) {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{
			// No NoFreelistSync: with it a damaged page panics in a goroutine of the store's.
			Timeout: openPatience,
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
			// The store that panicked has left it open, and its mapping keeps the lock.
			unix.Flock(int(file.Fd()), unix.LOCK_UN)
			file.Close()
		}
		return nil, fmt.Errorf("keystore: %w", err)
	}
	return open(db, now), nil
}

func open(d disk, now func() plan.Clock) *Store {
	s := &Store{disk: d, now: now, waiting: make(chan *waiting, mostWaiting), ending: make(chan struct{}), ended: make(chan struct{})}
	go s.write() // until Close
	return s
}

// Close writes what waits, and closes the file.
func (s *Store) Close() error {
	s.once.Do(func() {
		s.ends.Lock()
		defer s.ends.Unlock()
		close(s.ending)
	})
	<-s.ended
	return s.disk.Close()
}

// Persist returns when the note is on the disk, or can't be: then the request is not to
// be sent, since nobody would know of it after a kill.
func (s *Store) Persist(ctx context.Context, k handover.Key) error {
	at := s.now()
	if s.failing(at) {
		return ErrFailed
	}
	record, err := encode(kept{at, k})
	if err != nil {
		return err
	}
	w := &waiting{record: record, slot: slotOf(at.Since + k.Left), key: k.Key, done: make(chan error, 1)}
	select {
	case <-s.ending:
		return errClosed
	case s.waiting <- w:
	default:
		return ErrBusy
	}
	select {
	case err := <-w.done:
		return err
	case <-s.ended: // it came as the store was closed, and may have been the last that was written
		select {
		case err := <-w.done:
			return err
		default:
			return errClosed
		}
	case <-ctx.Done():
		return context.Cause(ctx) // it may be written yet: that does no harm
	}
}

// PersistAsync has the note on the disk with those that come meanwhile, and does not wait.
// Where too many wait, or the disk does not take them, it is not kept.
func (s *Store) PersistAsync(k handover.Key) { s.PersistThen(k, func(error) {}) }

// PersistThen has the note on the disk with those that come meanwhile, and does not wait:
// then is called once it is there, or can't be. It must not wait for anything.
func (s *Store) PersistThen(k handover.Key, then func(error)) {
	at := s.now()
	if s.failing(at) {
		then(ErrFailed)
		return
	}
	record, err := encode(kept{at, k})
	if err != nil {
		then(err)
		return
	}
	s.ends.RLock() // so that what is put there is written
	defer s.ends.RUnlock()
	select {
	case <-s.ending:
		then(errClosed)
		return
	default:
	}
	select {
	case s.waiting <- &waiting{record: record, slot: slotOf(at.Since + k.Left), key: k.Key, then: then}:
	default:
		then(ErrBusy)
	}
}

// recordVersion begins a record, and its checksum (CRC-32C) follows. A record of the
// first version is JSON alone, which begins otherwise; it is read still.
const recordVersion = 2

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encode(k kept) ([]byte, error) {
	text, err := json.Marshal(k)
	if err != nil {
		return nil, fmt.Errorf("keystore: %w", err)
	}
	b := binary.BigEndian.AppendUint32([]byte{recordVersion}, crc32.Checksum(text, castagnoli))
	return append(b, text...), nil
}

func decode(b []byte) (k kept, err error) {
	const head = 5
	switch {
	case len(b) > 0 && b[0] == '{':
	case len(b) < head || b[0] != recordVersion || crc32.Checksum(b[head:], castagnoli) != binary.BigEndian.Uint32(b[1:]):
		return kept{}, ErrDamaged
	default:
		b = b[head:]
	}
	if err := json.Unmarshal(b, &k); err != nil {
		return kept{}, fmt.Errorf("keystore: %w", err)
	}
	return k, nil
}

// guarded does something with the file, whose pages have no checksums: where one is
// damaged the store panics, and where the file is cut the machine's fault comes as one.
// It is an error here, and no end of the process.
func guarded(do func(func(*bbolt.Tx) error) error, what func(*bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w (%v)", ErrUnusable, p)
		}
	}()
	return do(what)
}

func slotOf(at time.Duration) uint64 { return uint64(max(at, 0)/slot) + 1 }

// failing reports whether the disk failed a moment ago.
func (s *Store) failing(at plan.Clock) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failedAt != 0 && at.Since < s.failedAt+failPause
}

func (s *Store) failed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt = 0
	if err != nil {
		s.failedAt = max(s.now().Since, 1)
	}
}

// write writes what waits, as much at once as there is.
func (s *Store) write() {
	defer close(s.ended)
	for {
		var batch []*waiting
		select {
		case w := <-s.waiting:
			batch = append(batch, w)
		case <-s.ending:
			select {
			case w := <-s.waiting:
				batch = append(batch, w)
			default:
				return
			}
		}
		for more := true; more && len(batch) < mostTogether; {
			select {
			case w := <-s.waiting:
				batch = append(batch, w)
			default:
				more = false
			}
		}
		err := guarded(s.disk.Update, func(tx *bbolt.Tx) error { return put(tx, batch, slotOf(s.now().Since)) })
		if s.failed(err); err != nil {
			err = fmt.Errorf("%w: %w", ErrFailed, err)
		}
		for _, w := range batch {
			w.tell(err)
		}
	}
}

// put writes notes, and drops the slots that are over.
func put(tx *bbolt.Tx, batch []*waiting, now uint64) error {
	var over [][]byte
	c := tx.Cursor()
	for name, _ := c.First(); name != nil; name, _ = c.Next() {
		if len(name) == slotName && binary.BigEndian.Uint64(name) < now {
			over = append(over, append([]byte(nil), name...))
		}
	}
	for _, name := range over {
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

// ErrDamaged tells that some of what was kept is left out.
var ErrDamaged = errors.New("keystore: records are damaged and left out")

// Load returns the notes that are worth something now, each as it is to be adopted,
// and the key that their hashes were made with; ok is false where there is none. Of more
// than can be remembered those are left out that are over first. What is
// damaged is left out, alone, and told by ErrDamaged beside the others.
func (s *Store) Load() (keys []handover.Key, hash uint64, ok bool, err error) {
	l := loading{now: s.now(), left: mostRead}
	err = guarded(s.disk.View, func(tx *bbolt.Tx) error {
		if b := tx.Bucket(metaBucket); b != nil {
			if v := b.Get(hashName); len(v) == 8 {
				hash, ok = binary.BigEndian.Uint64(v), true
			}
			l.sameRun = l.now.Boot != "" && string(b.Get(bootName)) == l.now.Boot
		}
		c := tx.Cursor()
		for name, _ := c.Last(); name != nil && !l.over(name); name, _ = c.Prev() {
			if b := tx.Bucket(name); b != nil && len(name) == slotName {
				l.slot(b)
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

// loading is a Load under way, from the slot that is over last.
type loading struct {
	now     plan.Clock
	sameRun bool // of the machine, as what was kept
	left    int  // records that may be looked at yet
	keys    []handover.Key
	damaged int // records that were left out
}

// over reports whether a slot and all before it tell nothing.
func (l *loading) over(name []byte) bool {
	return l.full() || l.sameRun && len(name) == slotName && binary.BigEndian.Uint64(name) < slotOf(l.now.Since)
}

func (l *loading) full() bool { return l.left == 0 || len(l.keys) >= handover.MaxKeys }

func (l *loading) slot(b *bbolt.Bucket) {
	c := b.Cursor()
	for _, v := c.First(); v != nil && !l.full(); _, v = c.Next() {
		l.left--
		k, err := decode(v)
		if err != nil {
			l.damaged++
			continue
		}
		elapsed, sure := plan.Elapsed(k.At, l.now)
		if note, usable := plan.UsableKey(k.Key.Note, elapsed, sure); usable {
			k.Key.Note = note
			l.keys = append(l.keys, k.Key)
		}
	}
}

// Replace puts the notes that are known now in the place of all that was kept, with the
// key that their hashes are made with: slots of another run of the machine tell nothing
// of this one's time, and notes of another key nothing at all.
func (s *Store) Replace(hash uint64, known []handover.Key) error {
	at := s.now()
	var batch []*waiting
	for _, k := range known {
		record, err := encode(kept{at, k})
		if err != nil {
			return err
		}
		batch = append(batch, &waiting{record: record, slot: slotOf(at.Since + k.Left), key: k.Key})
	}
	err := guarded(s.disk.Update, func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(metaBucket)
		if err == nil {
			err = dropAll(tx)
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
		return put(tx, batch, 0)
	})
	if err != nil {
		return fmt.Errorf("keystore: %w", err)
	}
	return nil
}

func dropAll(tx *bbolt.Tx) error {
	var names [][]byte
	err := tx.ForEach(func(name []byte, _ *bbolt.Bucket) error {
		if len(name) == slotName {
			names = append(names, append([]byte(nil), name...))
		}
		return nil
	})
	for _, name := range names {
		err = errors.Join(err, tx.DeleteBucket(name))
	}
	return err
}
