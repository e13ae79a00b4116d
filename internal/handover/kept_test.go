package handover

import (
	"context"
	"errors"
	"testing"
	"time"

	"spokegw/internal/keyed"
)

// A key is sent by the old process when the new one has said that it is on its disk, and
// not before; where that can't be, where the new one ends, or in no time, it is not sent.
// One that does not say so is not waited for.
func TestKeepKey(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	o := offer(t, path, h)
	key := Key{ServiceRef: maps, Note: keyed.Note{Key: 9}}
	if err := o.PersistKey(t.Context(), key); !errors.Is(err, ErrNotPersisted) {
		t.Errorf("without a successor: %v", err)
	}
	p, numbers := successor(t, h, path, true)
	words := make(chan error, 1)
	for _, ok := range []bool{true, false} {
		go func() { words <- o.PersistKey(t.Context(), key) }()
		number := await(t, "a key with a number", numbers)
		p.ConfirmKey(number+7, ok) // nobody waits for that
		select {
		case err := <-words:
			t.Fatalf("without a word on it: %v", err)
		default:
		}
		p.ConfirmKey(number, ok)
		p.ConfirmKey(number, !ok) // once more is no matter
		if err := await(t, "the word", words); ok != (err == nil) || !ok && !errors.Is(err, ErrNotPersisted) {
			t.Errorf("kept %v: %v", ok, err)
		}
	}
	late, cancel := context.WithTimeoutCause(t.Context(), time.Millisecond, errors.New("its time is over"))
	defer cancel()
	if err := o.PersistKey(late, key); err == nil || err.Error() != "its time is over" {
		t.Errorf("with no word in time: %v", err)
	}
	await(t, "that key", numbers)
	go func() { words <- o.PersistKey(t.Context(), key) }()
	await(t, "a key with a number", numbers)
	p.Close()
	if err := await(t, "the word after the end", words); !errors.Is(err, ErrNotPersisted) {
		t.Errorf("of one that has ended: %v", err)
	}
	await(t, "the end of the successor", h.ended)

	p, _ = successor(t, h, path, false)
	if err := o.PersistKey(t.Context(), key); !errors.Is(err, ErrNoPersistence) {
		t.Errorf("of one that says nothing: %v", err)
	}
	p.Close()
	await(t, "the end of the successor", h.ended)
	if len(o.unkept) > 0 {
		t.Errorf("%d keys are waited for still", len(o.unkept))
	}
}

// A successor that never says anything has no more wait for it than the bound.
func TestKeepKeyIsBounded(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	o := offer(t, path, h)
	p, numbers := successor(t, h, path, true)
	ctx, cancel := context.WithCancel(t.Context())
	words := make(chan error, mostUnkept+1)
	for range mostUnkept {
		go func() { words <- o.PersistKey(ctx, Key{ServiceRef: maps, Note: keyed.Note{}}) }()
	}
	for range mostUnkept {
		await(t, "a key", numbers)
	}
	if err := o.PersistKey(t.Context(), Key{ServiceRef: maps, Note: keyed.Note{}}); !errors.Is(err, ErrNotPersisted) {
		t.Errorf("one more: %v", err)
	}
	cancel()
	for range mostUnkept {
		await(t, "the end of a wait", words)
	}
	p.Close()
	await(t, "the end of the successor", h.ended)
}

// successor asks at a path and serves; it hands on the numbers of the keys that it is told.
func successor(t *testing.T, h *host, path string, keeps bool) (*Predecessor, chan uint64) {
	t.Helper()
	p, err := Request(path, "n0", h.addr(), keeps)
	if err != nil {
		t.Fatal(err)
	}
	p.Listener.Close()
	numbers, followed := make(chan uint64, mostUnkept), make(chan struct{})
	go func() {
		p.Follow(func(Members) {}, func(_ Key, number uint64) { numbers <- number }, func(float64) {})
		close(followed)
	}()
	t.Cleanup(func() { <-followed })
	if err := p.ReportServing(); err != nil {
		t.Fatal(err)
	}
	await(t, "the word that it serves", h.served)
	return p, numbers
}
