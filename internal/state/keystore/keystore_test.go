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

// clock is set by a test.
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

// What was kept is there after the process has ended, for as long as it is worth
// something, and of another key of hashes or another run of the machine as is safe.
func TestKeepAndLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	var c clock
	c.set("a", 100*time.Second)
	again := func(old *Store) *Store {
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
			t.Fatalf("%+v, hash %d, %v, %v; %v are expected", all, got, ok, err, keys)
		}
		slices.SortFunc(all, func(a, b handover.Key) int { return cmp.Compare(a.Key, b.Key) })
		for i := range keys {
			if all[i].Key != keys[i] {
				t.Errorf("key %d, %d is expected", all[i].Key, keys[i])
			}
		}
		return all
	}
	s := again(nil)
	if _, err := Open(path, c.now); err == nil {
		t.Error("opened twice")
	}
	if err := s.Replace(7, nil); err != nil {
		t.Fatal(err)
	}
	var keeping sync.WaitGroup
	const many = handover.MaxKeys - 1
	for client := range uint64(256) {
		keeping.Go(func() {
			for i := client; i < many; i += 256 {
				if err := s.Persist(t.Context(), note(i, time.Second)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	keeping.Wait()
	s.PersistAsync(note(1000, time.Hour))
	s = again(s) // what was to be soon is there at the end
	if all, _, _, _ := s.Load(); len(all) != many+1 {
		t.Errorf("%d keys", len(all))
	}
	c.set("a", 130*time.Second) // those of a second are over
	if all := load(s, 7, 1000); all[0].Age != 30*time.Second || all[0].Left != time.Hour-30*time.Second {
		t.Errorf("%+v", all[0])
	}
	s.Persist(t.Context(), note(1001, time.Hour))
	s.disk.View(func(tx *bbolt.Tx) error {
		if n := tx.Cursor().Bucket().Inspect(); len(n.Children) > 3 {
			t.Errorf("%d slots are there: those that are over are not dropped", len(n.Children))
		}
		return nil
	})
	c.set("b", 5*time.Second) // another run of the machine: how long it is is not sure
	all := load(s, 7, 1000, 1001)
	if all[0].Age < all[0].Window {
		t.Errorf("a repeat may go where it may not be dropped: %+v", all[0])
	}
	if err := s.Replace(8, all[:1]); err != nil {
		t.Fatal(err)
	}
	s = again(s)
	load(s, 8, 1000)
	s.Close()
	if err := s.Persist(t.Context(), note(1, time.Second)); !errors.Is(err, errClosed) {
		t.Errorf("closed: %v", err)
	}
}

// sick is a disk that fails, or hangs.
type sick struct {
	err   error
	hangs chan struct{}
}

func (d *sick) Update(func(*bbolt.Tx) error) error {
	if d.hangs != nil {
		<-d.hangs
	}
	return d.err
}
func (d *sick) View(func(*bbolt.Tx) error) error { return d.err }
func (d *sick) Close() error                     { return nil }

// A disk that is full refuses keys at once, and is tried again after a while; one that
// hangs holds a request no longer than its time, and no more wait than may.
func TestSickDisks(t *testing.T) {
	var c clock
	c.set("a", time.Second)
	full := &sick{err: errors.New("no space left on device")}
	s := open(full, c.now)
	if err := s.Persist(t.Context(), note(1, time.Second)); !errors.Is(err, ErrFailed) {
		t.Errorf("full: %v", err)
	}
	full.err = nil // nothing of it is asked until the pause is over
	if err := s.Persist(t.Context(), note(1, time.Second)); !errors.Is(err, ErrFailed) {
		t.Errorf("right after that: %v", err)
	}
	c.set("a", time.Second+failPause)
	if err := s.Persist(t.Context(), note(1, time.Second)); err != nil {
		t.Errorf("with room again: %v", err)
	}
	s.Close()

	hung := &sick{hangs: make(chan struct{})}
	s = open(hung, c.now)
	ctx, cancel := context.WithCancelCause(t.Context())
	ended := make(chan error, mostWaiting+mostTogether+1)
	for range cap(ended) {
		go func() { ended <- s.Persist(ctx, note(1, time.Second)) }()
	}
	if err := <-ended; !errors.Is(err, ErrBusy) { // the first that ends had no place
		t.Errorf("too many: %v", err)
	}
	for range 2 * mostWaiting { // more than there are places for, none of which waits
		s.PersistAsync(note(1, time.Second))
	}
	late := errors.New("late")
	cancel(late)
	for range cap(ended) - 1 {
		if err := <-ended; !errors.Is(err, ErrBusy) && !errors.Is(err, late) {
			t.Errorf("hung: %v", err)
		}
	}
	close(hung.hangs)
	s.Close()
}

// What it costs to have a key on the disk, alone and beside others.
// Of more keys than can be remembered those are used whose window is open longest, and
// a file of another run of the machine, all over, is not read to its end.
func TestLoadIsBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	var c clock
	c.set("a", time.Hour)
	s, err := Open(path, c.now)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	all := make([]handover.Key, mostRead+handover.MaxKeys)
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
			t.Fatalf("key %d of %d is used before younger ones", k.Key, len(all))
		}
	}
	c.set("a", 3*time.Hour)
	l := loading{now: c.now(), sameRun: true, left: mostRead}
	if keys, _, _, err := s.Load(); err != nil || len(keys) > 0 || !l.over([]byte{0, 0, 0, 0, 0, 0, 0, 99}) {
		t.Errorf("%d keys that are over, %v", len(keys), err)
	}
	c.set("b", 3*time.Hour)
	c.at.Wall = c.at.Wall.Add(30 * 24 * time.Hour)
	if keys, _, _, err := s.Load(); err != nil || len(keys) > 0 {
		t.Errorf("%d keys of another time, %v", len(keys), err)
	}
}

// A file in which bits have changed, or that was cut, at any place: no key comes back as
// another than was kept, and nothing panics. What is damaged alone is left out alone.
func TestBitRot(t *testing.T) {
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
	whole, e := os.ReadFile(path)
	if err = errors.Join(err, e); err != nil {
		t.Fatal(err)
	}
	random, alone := rand.New(rand.NewPCG(1, 1)), 0
	for round := range 400 {
		b := bytes.Clone(whole)
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
			continue // told
		}
		keys, _, _, err := s.Load()
		if errors.Is(err, ErrDamaged) && len(keys) == len(all)-1 {
			alone++
		}
		for _, k := range keys {
			if i := int(k.Key); i >= len(all) || k != all[i] {
				t.Fatalf("round %d: %+v was never kept", round, k)
			}
		}
		s.Replace(1, keys)
		s.Close()
	}
	if alone == 0 {
		t.Error("no record was left out alone")
	}
}

// Records of the first version are read.
func TestOlderRecords(t *testing.T) {
	text, _ := json.Marshal(kept{plan.Clock{Boot: "a"}, note(7, time.Hour)})
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
