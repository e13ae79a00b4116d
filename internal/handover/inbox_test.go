package handover

import (
	"testing"

	"spokegw/internal/keyed"
)

func noteOf(key uint64) keyed.Note { return keyed.Note{Key: key} }

// A key that has been told is found, whatever who follows that process is busy with, and whether
// it has ended since; a record of which a part has come is not waited for.
func TestCatchUp(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	o := offer(t, path, h)
	p, err := Request(path, "n0", h.addr(), false)
	if err != nil {
		t.Fatal(err)
	}
	p.Listener.Close()
	if p.CatchUp() == nil {
		t.Error("there is nobody to hand a key on to")
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
		if err := o.SendKey(Key{ServiceRef: maps, Note: noteOf(key)}); err != nil || p.CatchUp() != nil {
			t.Fatal(err)
		}
		select {
		case got := <-keys:
			if got != key {
				t.Errorf("key %d, %d was told", got, key)
			}
		default:
			t.Fatalf("key %d was told, and is not found", key)
		}
	}
	if err := p.SendKey(Key{ServiceRef: maps, Note: noteOf(7)}); err != nil || o.CatchUp() != nil {
		t.Fatal(err)
	}
	select {
	case <-h.keys:
	default:
		t.Error("the old process does not find a key of its successor's")
	}
	part, err := Encode(&Record{Kind: KindKey, Key: &Key{Note: noteOf(8)}})
	if err != nil {
		t.Fatal(err)
	}
	o.peer().conn.Write(part[:len(part)-1])
	if err := p.CatchUp(); err != nil || len(keys) > 0 {
		t.Errorf("%v, %d keys of a part of one", err, len(keys))
	}
	o.peer().conn.Write(part[len(part)-1:])
	o.peer().conn.Close()
	if err := p.CatchUp(); err != nil || len(keys) != 1 {
		t.Errorf("%v, %d keys of a process that has ended, 1 was told", err, len(keys))
	}
	close(busy)
	<-followed
}

// A process that reads nothing is told what fits, and found to: what was told without an error
// is there when it goes on.
func TestTellKeyToOneThatHangs(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	o := offer(t, path, h)
	p, err := Request(path, "n0", h.addr(), false)
	if err != nil {
		t.Fatal(err)
	}
	p.Listener.Close()
	told, found := 0, 0
	for ; ; told++ {
		if o.SendKey(Key{ServiceRef: maps, Note: noteOf(9)}) != nil {
			break
		}
	}
	p.Follow(func(Members) {}, func(Key, uint64) { found++ }, func(float64) {})
	if found != told || told == 0 {
		t.Errorf("%d keys were told, %d are found", told, found)
	}
	await(t, "the end of the successor", h.ended)
}

// Records of any kind are read whole, however they come.
func TestInboxReadsAnyPieces(t *testing.T) {
	var all []byte
	for _, r := range []*Record{{Kind: KindServing}, {Kind: KindKey, Key: &Key{Note: noteOf(1)}}, {Kind: KindPart, Part: 0.5}, {Kind: KindKept, Number: 3}} {
		b, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, b...)
	}
	for size := 1; size < len(all); size += 7 {
		in := &inbox{others: make(chan *Record, mostWaiting)}
		keys := 0
		in.onKey(func(*Record) { keys++ })
		for from := 0; from < len(all); from += size {
			in.come = append(in.come, all[from:min(from+size, len(all))]...)
			if err := in.handle(); err != nil {
				t.Fatal(err)
			}
		}
		if keys != 2 || len(in.others) != 2 || len(in.come) > 0 {
			t.Errorf("in pieces of %d: %d on keys, %d others, %d bytes left", size, keys, len(in.others), len(in.come))
		}
	}
	for name, b := range map[string][]byte{"something else": []byte("HTTP/1.1 200 OK"), "another version": frame(Version+1, 0, nil, 0), "too long": frame(Version, MaxRecord+1, nil, 0)} {
		if r, n, err := next(b); err == nil {
			t.Errorf("%s: %v of %d bytes is a record", name, r, n)
		}
	}
}
