package handover

import (
	"context"
	"errors"
	"testing"
	"time"

	"spokegw/internal/keyed"
)

// The old process sends a keyed request only after the new process has confirmed that the key is on
// its disk. It does not send it if the key can't be stored, if the new process ends, or if there is
// no confirmation in time. A successor that does not confirm keys is not waited for.
func TestPersistKey(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	o := startOfferer(t, path, h)
	key := Key{ServiceRef: mapsService, Note: keyed.Note{Key: 9}}
	if err := o.PersistKey(t.Context(), key); !errors.Is(err, ErrNotPersisted) {
		t.Errorf("without a successor: %v", err)
	}
	p, numbers := connectSuccessor(t, h, path, true)
	results := make(chan error, 1)
	for _, ok := range []bool{true, false} {
		go func() { results <- o.PersistKey(t.Context(), key) }()
		number := receive(t, "a key with a number", numbers)
		p.ConfirmKey(number+7, ok) // no key waits for this number
		select {
		case err := <-results:
			t.Fatalf("without a confirmation: %v", err)
		default:
		}
		p.ConfirmKey(number, ok)
		p.ConfirmKey(number, !ok) // a repeated confirmation is ignored
		if err := receive(t, "the result", results); ok != (err == nil) || !ok && !errors.Is(err, ErrNotPersisted) {
			t.Errorf("stored %v: %v", ok, err)
		}
	}
	expiring, cancel := context.WithTimeoutCause(t.Context(), time.Millisecond, errors.New("its time is over"))
	defer cancel()
	if err := o.PersistKey(expiring, key); err == nil || err.Error() != "its time is over" {
		t.Errorf("without a confirmation in time: %v", err)
	}
	receive(t, "that key", numbers)
	go func() { results <- o.PersistKey(t.Context(), key) }()
	receive(t, "a key with a number", numbers)
	p.Close()
	if err := receive(t, "the result after the successor's end", results); !errors.Is(err, ErrNotPersisted) {
		t.Errorf("after the successor's end: %v", err)
	}
	receive(t, "the end of the successor", h.ended)

	p, _ = connectSuccessor(t, h, path, false)
	if err := o.PersistKey(t.Context(), key); !errors.Is(err, ErrNoPersistence) {
		t.Errorf("a successor that does not confirm: %v", err)
	}
	p.Close()
	receive(t, "the end of the successor", h.ended)
	if len(o.pendingKeys) > 0 {
		t.Errorf("%d keys are still pending", len(o.pendingKeys))
	}
}

// The number of keys that wait for a successor that never confirms is bounded.
func TestPersistKeyIsBounded(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	o := startOfferer(t, path, h)
	p, numbers := connectSuccessor(t, h, path, true)
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan error, maxPendingKeys+1)
	for range maxPendingKeys {
		go func() { results <- o.PersistKey(ctx, Key{ServiceRef: mapsService, Note: keyed.Note{}}) }()
	}
	for range maxPendingKeys {
		receive(t, "a key", numbers)
	}
	if err := o.PersistKey(t.Context(), Key{ServiceRef: mapsService, Note: keyed.Note{}}); !errors.Is(err, ErrNotPersisted) {
		t.Errorf("one key above the bound: %v", err)
	}
	cancel()
	for range maxPendingKeys {
		receive(t, "the end of a wait", results)
	}
	p.Close()
	receive(t, "the end of the successor", h.ended)
}

// connectSuccessor requests the handover and serves; it passes on the numbers of the keys it
// receives.
func connectSuccessor(t *testing.T, h *host, path string, confirmsKeys bool) (*Predecessor, chan uint64) {
	t.Helper()
	p, err := Request(path, "n0", h.addr(), confirmsKeys)
	if err != nil {
		t.Fatal(err)
	}
	p.Listener.Close()
	numbers, followed := make(chan uint64, maxPendingKeys), make(chan struct{})
	go func() {
		p.Follow(func(Members) {}, func(_ Key, number uint64) { numbers <- number }, func(float64) {})
		close(followed)
	}()
	t.Cleanup(func() { <-followed })
	if err := p.ReportServing(); err != nil {
		t.Fatal(err)
	}
	receive(t, "the report that it serves", h.served)
	return p, numbers
}
