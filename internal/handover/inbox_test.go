package handover

import (
	"testing"

	"spokegw/internal/keyed"
)

func noteWithKey(key uint64) keyed.Note { return keyed.Note{Key: key} }

// CatchUp finds each key that was sent, even if the goroutine that follows the sender is blocked
// and even if the sender has ended. It does not wait for the rest of an incomplete record.
func TestCatchUp(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	o := startOfferer(t, path, h)
	p, err := Request(path, "n0", h.addr(), false)
	if err != nil {
		t.Fatal(err)
	}
	p.Listener.Close()
	if p.CatchUp() == nil {
		t.Error("CatchUp succeeded without a key handler")
	}
	busy, keys, followed := make(chan struct{}), make(chan uint64, 8), make(chan struct{})
	go func() {
		defer close(followed)
		p.Follow(func(Members) { <-busy }, func(k Key, _ uint64) { keys <- k.Key }, func(float64) {})
	}()
	if err := p.ReportServing(); err != nil {
		t.Fatal(err)
	}
	o.SendMembers(Members{})
	for key := range uint64(3) {
		if err := o.SendKey(Key{ServiceRef: mapsService, Note: noteWithKey(key)}); err != nil || p.CatchUp() != nil {
			t.Fatal(err)
		}
		select {
		case got := <-keys:
			if got != key {
				t.Errorf("key %d was received, %d was sent", got, key)
			}
		default:
			t.Fatalf("key %d was sent, and is not found", key)
		}
	}
	if err := p.SendKey(Key{ServiceRef: mapsService, Note: noteWithKey(7)}); err != nil || o.CatchUp() != nil {
		t.Fatal(err)
	}
	select {
	case <-h.keys:
	default:
		t.Error("the old process does not find a key that its successor sent")
	}
	record, err := Encode(&Record{Kind: KindKey, Key: &Key{Note: noteWithKey(8)}})
	if err != nil {
		t.Fatal(err)
	}
	o.peer().conn.Write(record[:len(record)-1])
	if err := p.CatchUp(); err != nil || len(keys) > 0 {
		t.Errorf("%v, %d keys of an incomplete record", err, len(keys))
	}
	o.peer().conn.Write(record[len(record)-1:])
	o.peer().conn.Close()
	if err := p.CatchUp(); err != nil || len(keys) != 1 {
		t.Errorf("%v, %d keys of a process that has ended, 1 was sent", err, len(keys))
	}
	close(busy)
	<-followed
}

// A process that reads nothing receives as many keys as the socket buffer holds: each key that was
// sent without an error is found when the process continues.
func TestSendKeyToStalledPeer(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	o := startOfferer(t, path, h)
	p, err := Request(path, "n0", h.addr(), false)
	if err != nil {
		t.Fatal(err)
	}
	p.Listener.Close()
	sent, found := 0, 0
	for ; ; sent++ {
		if o.SendKey(Key{ServiceRef: mapsService, Note: noteWithKey(9)}) != nil {
			break
		}
	}
	p.Follow(func(Members) {}, func(Key, uint64) { found++ }, func(float64) {})
	if found != sent || sent == 0 {
		t.Errorf("%d keys were sent, %d are found", sent, found)
	}
	receive(t, "the end of the successor", h.ended)
}

// Records are decoded completely however the stream is split.
func TestInboxFragmentedRecords(t *testing.T) {
	var all []byte
	for _, r := range []*Record{{Kind: KindServing}, {Kind: KindKey, Key: &Key{Note: noteWithKey(1)}}, {Kind: KindShare, Part: 0.5}, {Kind: KindConfirmation, Number: 3}} {
		b, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, b...)
	}
	for size := 1; size < len(all); size += 7 {
		in := &inbox{others: make(chan *Record, maxQueued)}
		keyRecords := 0
		in.setKeyHandler(func(*Record) { keyRecords++ })
		for from := 0; from < len(all); from += size {
			in.buffered = append(in.buffered, all[from:min(from+size, len(all))]...)
			if err := in.dispatch(); err != nil {
				t.Fatal(err)
			}
		}
		if keyRecords != 2 || len(in.others) != 2 || len(in.buffered) > 0 {
			t.Errorf("in pieces of %d: %d key records, %d others, %d bytes left", size, keyRecords, len(in.others), len(in.buffered))
		}
	}
	for name, b := range map[string][]byte{"something else": []byte("HTTP/1.1 200 OK"), "another version": frame(Version+1, 0, nil, 0), "too long": frame(Version, MaxRecord+1, nil, 0)} {
		if r, n, err := parseNext(b); err == nil {
			t.Errorf("%s: %v of %d bytes is a record", name, r, n)
		}
	}
}
