package keystore

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.uber.org/goleak"

	"spokegw/internal/handover"
	"spokegw/internal/keyed"
	"spokegw/internal/state/plan"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func note(key uint64, left time.Duration) handover.Key {
	return handover.Key{ServiceRef: handover.ServiceRef{Platform: true}, Note: keyed.Note{Key: key, Cell: 4, Window: left, Left: left}}
}

// clock is a clock that a test sets.
type clock struct {
	mu sync.Mutex
	at plan.Clock
}

func (c *clock) now() plan.Clock {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

func (c *clock) set(boot string, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = plan.Clock{Boot: boot, Since: since, Wall: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)}
}

// Stored notes are read after the process has ended, until they expire, and as far as
// safe with another hash key or after a reboot.
func TestKeepAndLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	var c clock
	c.set("a", 100*time.Second)
	reopen := func(old *Store) *Store {
		t.Helper()
		if old != nil {
			if err := old.Close(); err != nil {
				t.Fatal(err)
			}
		}
		s, err := Open(path, c.now)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	load := func(s *Store, hash uint64, keys ...uint64) []handover.Key {
		t.Helper()
		all, got, ok, err := s.Load()
		if err != nil || !ok || got != hash || len(all) != len(keys) {
			t.Fatalf("got %+v, hash %d, %v, %v; want keys %v", all, got, ok, err, keys)
		}
		slices.SortFunc(all, func(a, b handover.Key) int { return cmp.Compare(a.Key, b.Key) })
		for i := range keys {
			if all[i].Key != keys[i] {
				t.Errorf("got key %d, want %d", all[i].Key, keys[i])
			}
		}
		return all
	}
	s := reopen(nil)
	if _, err := Open(path, c.now); err == nil {
		t.Error("second Open succeeded")
	}
	if err := s.Replace(7, nil); err != nil {
		t.Fatal(err)
	}
	var writers sync.WaitGroup
	const many = handover.MaxKeys - 1
	for client := range uint64(256) {
		writers.Go(func() {
			for i := client; i < many; i += 256 {
				if err := s.Persist(t.Context(), note(i, time.Second)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	writers.Wait()
	s.PersistAsync(note(1000, time.Hour))
	s = reopen(s) // asynchronous writes complete before Close returns
	if all, _, _, _ := s.Load(); len(all) != many+1 {
		t.Errorf("%d keys", len(all))
	}
	c.set("a", 130*time.Second) // those of one second have expired
	if all := load(s, 7, 1000); all[0].Age != 30*time.Second || all[0].Left != time.Hour-30*time.Second {
		t.Errorf("%+v", all[0])
	}
	s.Persist(t.Context(), note(1001, time.Hour))
	s.db.View(func(tx *bbolt.Tx) error {
		if n := tx.Cursor().Bucket().Inspect(); len(n.Children) > 3 {
			t.Errorf("%d slots: expired ones are not deleted", len(n.Children))
		}
		return nil
	})
	c.set("b", 5*time.Second) // another boot: the elapsed time is uncertain
	all := load(s, 7, 1000, 1001)
	if all[0].Age < all[0].Window {
		t.Errorf("a retry is allowed where it may not be deduplicated: %+v", all[0])
	}
	if err := s.Replace(8, all[:1]); err != nil {
		t.Fatal(err)
	}
	s = reopen(s)
	load(s, 8, 1000)
	s.Close()
	if err := s.Persist(t.Context(), note(1, time.Second)); !errors.Is(err, errClosed) {
		t.Errorf("closed: %v", err)
	}
}

// faultyDB is a database that fails or hangs.
type faultyDB struct {
	err   error
	hangs chan struct{}
}

func (d *faultyDB) Update(func(*bbolt.Tx) error) error {
	if d.hangs != nil {
		<-d.hangs
	}
	return d.err
}
func (d *faultyDB) View(func(*bbolt.Tx) error) error { return d.err }
func (d *faultyDB) Close() error                     { return nil }

// A full disk rejects keys at once and is retried after a delay. One that hangs delays a
// request no longer than its deadline, and the number of waiting notes is bounded.
func TestFaultyDisks(t *testing.T) {
	var c clock
	c.set("a", time.Second)
	full := &faultyDB{err: errors.New("no space left on device")}
	s := open(full, c.now)
	if err := s.Persist(t.Context(), note(1, time.Second)); !errors.Is(err, ErrFailed) {
		t.Errorf("full: %v", err)
	}
	full.err = nil // the disk is not used until the delay is over
	if err := s.Persist(t.Context(), note(1, time.Second)); !errors.Is(err, ErrFailed) {
		t.Errorf("during the retry delay: %v", err)
	}
	c.set("a", time.Second+retryDelay)
	if err := s.Persist(t.Context(), note(1, time.Second)); err != nil {
		t.Errorf("with space available again: %v", err)
	}
	s.Close()

	hung := &faultyDB{hangs: make(chan struct{})}
	s = open(hung, c.now)
	ctx, cancel := context.WithCancelCause(t.Context())
	ended := make(chan error, maxPending+maxBatch+1)
	for range cap(ended) {
		go func() { ended <- s.Persist(ctx, note(1, time.Second)) }()
	}
	if err := <-ended; !errors.Is(err, ErrBusy) { // the first to end was rejected
		t.Errorf("too many: %v", err)
	}
	for range 2 * maxPending { // more than the queue holds; none of them waits
		s.PersistAsync(note(1, time.Second))
	}
	errDeadline := errors.New("late")
	cancel(errDeadline)
	for range cap(ended) - 1 {
		if err := <-ended; !errors.Is(err, ErrBusy) && !errors.Is(err, errDeadline) {
			t.Errorf("hung: %v", err)
		}
	}
	close(hung.hangs)
	s.Close()
}

// Of more keys than can be remembered, those that expire last are loaded, and an expired
// file of another boot is not read to its end.
func TestLoadIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	var c clock
	c.set("a", time.Hour)
	s, err := Open(path, c.now)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	all := make([]handover.Key, maxRead+handover.MaxKeys)
	for i := range all {
		all[i] = note(uint64(i), 10*time.Minute+time.Duration(i)*time.Millisecond)
	}
	if err := s.Replace(1, all); err != nil {
		t.Fatal(err)
	}
	keys, _, _, err := s.Load()
	if err != nil || len(keys) != handover.MaxKeys {
		t.Fatalf("%d keys, %v", len(keys), err)
	}
	for _, k := range keys {
		if int(k.Key) < len(all)-2*handover.MaxKeys {
			t.Fatalf("key %d of %d was loaded instead of later ones", k.Key, len(all))
		}
	}
	c.set("a", 3*time.Hour)
	l := loader{now: c.now(), sameBoot: true, remaining: maxRead}
	if keys, _, _, err := s.Load(); err != nil || len(keys) > 0 || !l.finished([]byte{0, 0, 0, 0, 0, 0, 0, 99}) {
		t.Errorf("%d expired keys, %v", len(keys), err)
	}
	c.set("b", 3*time.Hour)
	c.at.Wall = c.at.Wall.Add(30 * 24 * time.Hour)
	if keys, _, _, err := s.Load(); err != nil || len(keys) > 0 {
		t.Errorf("%d keys of an earlier boot, %v", len(keys), err)
	}
}

// With bits flipped or the file truncated at any place, no key is read back altered, and
// nothing panics. A single corrupted record is skipped alone.
func TestCorruption(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	var c clock
	c.set("a", time.Hour)
	var all []handover.Key
	for i := range 200 {
		all = append(all, note(uint64(i), time.Hour))
	}
	s, err := Open(path, c.now)
	if err == nil {
		err = errors.Join(s.Replace(1, all), s.Close())
	}
	contents, e := os.ReadFile(path)
	if err = errors.Join(err, e); err != nil {
		t.Fatal(err)
	}
	random, skippedOne := rand.New(rand.NewPCG(1, 1)), 0
	for round := range 400 {
		b := bytes.Clone(contents)
		if round%8 == 0 {
			b = b[:random.IntN(len(b))]
		} else {
			b[random.IntN(len(b))] ^= 1 << random.IntN(8)
		}
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Open(path, c.now)
		if err != nil {
			continue // the corruption is reported
		}
		keys, _, _, err := s.Load()
		if errors.Is(err, ErrDamaged) && len(keys) == len(all)-1 {
			skippedOne++
		}
		for _, k := range keys {
			if i := int(k.Key); i >= len(all) || k != all[i] {
				t.Fatalf("round %d: %+v was never stored", round, k)
			}
		}
		s.Replace(1, keys)
		s.Close()
	}
	if skippedOne == 0 {
		t.Error("no run skipped exactly one record")
	}
}

// Records of version 1 are still read.
func TestOlderRecords(t *testing.T) {
	text, _ := json.Marshal(storedKey{plan.Clock{Boot: "a"}, note(7, time.Hour)})
	if k, err := decode(text); err != nil || k.Key.Key != 7 {
		t.Errorf("%+v, %v", k, err)
	}
	if _, err := decode([]byte("\x03abcd" + string(text))); err == nil {
		t.Error("a record of a later version was read")
	}
}

func BenchmarkKeep(b *testing.B) {
	for _, together := range []int{1, 16, 128} {
		b.Run(fmt.Sprint("clients=", 4*together), func(b *testing.B) {
			s, err := Open(filepath.Join(b.TempDir(), "keys"), func() plan.Clock { return plan.Clock{Boot: "a", Since: time.Second} })
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			b.SetParallelism(together)
			b.RunParallel(func(pb *testing.PB) {
				for i := uint64(0); pb.Next(); i++ {
					if err := s.Persist(context.Background(), note(i, time.Minute)); err != nil {
						b.Fatal(err)
					}
				}
			})
		})
	}
}
