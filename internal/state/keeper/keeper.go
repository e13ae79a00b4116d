// Package keeper keeps the latest of something on a disk, for the process that is
// started after this one. What the disk does, it does to a goroutine of the keeper:
// nobody who serves waits for a disk that is slow, or does not answer at all.
package keeper

import (
	"bytes"
	"errors"
	"log/slog"
	"sync"
	"time"

	"spokegw/internal/journal"
)

// Keeper keeps the last record that it was given. Its methods may be called by several
// goroutines; none waits for the disk but Open and Flush, as long as they are told.
type Keeper struct {
	disk       journal.Disk
	path, what string // path "": nothing is kept

	mu     sync.Mutex
	wanted bool          // this process is to write
	open   bool          // to be opened
	file   *journal.File // nil: it is not open. The working goroutine's
	last   []byte        // what is on the disk
	tail   []byte        // that was found behind it, torn or spoilt
	next   []byte        // what is to be; nil: nothing waits
	idle   chan struct{} // closed when the working goroutine has ended; nil: there is none
	asked  time.Time     // when the disk was asked for what it does now; 0: nothing
	told   trouble       // in the log
}

// silence is how long a disk may take before that is told.
const silence = time.Second

type trouble int

const (
	none trouble = iota
	notOpen
	notTaken
)

// New makes a keeper of a file at path, "": of nothing. what names it in the log.
func New(d journal.Disk, path, what string) *Keeper {
	return &Keeper{disk: d, path: path, what: what}
}

// Open begins to keep, and returns what was kept last, and what was found behind it,
// torn or spoilt; nil: nothing, or what there is can't be read, which is left as it is,
// or the disk has not answered in time. A file
// that can't be opened is tried again whenever there is something to be kept, unless it
// is something else.
func (k *Keeper) Open(patience time.Duration) (last, tail []byte) {
	k.mu.Lock()
	if k.path == "" {
		k.mu.Unlock()
		return nil, nil
	}
	k.wanted, k.open = true, true
	k.work()
	k.mu.Unlock()
	k.Flush(patience)
	k.mu.Lock()
	defer k.mu.Unlock()
	tail, k.tail = k.tail, nil // told once: it is cut off
	return k.last, tail
}

// Close ends keeping, once what waits is written: another process does it from now on,
// or nobody.
func (k *Keeper) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wanted = false
	k.work()
}

// Flush waits until nothing is to be written, patience at most; it reports whether that
// is so.
func (k *Keeper) Flush(patience time.Duration) bool {
	k.mu.Lock()
	idle := k.idle
	k.mu.Unlock()
	if idle == nil {
		return true
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-idle:
		return true
	case <-timer.C:
		return false
	}
}

// Save keeps a record if it is not kept already; what waited before it is not written
// any more. encode is given what was kept last. That the disk does not take it is told
// once, and again when it does: the sidecar goes on without.
func (k *Keeper) Save(encode func(last []byte) ([]byte, error)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.wanted {
		return
	}
	record, err := encode(k.last)
	if err != nil {
		k.taken(err)
		return
	}
	if k.next == nil && bytes.Equal(record, k.last) {
		return
	}
	if !k.asked.IsZero() && time.Since(k.asked) >= silence {
		k.taken(errSilent)
	}
	k.next, k.open = record, k.file == nil
	k.work()
}

var errSilent = errors.New("it does not answer")

// work has a goroutine do what is to be done; it ends when nothing is.
func (k *Keeper) work() {
	if k.idle != nil || !k.due() {
		return
	}
	idle := make(chan struct{})
	k.idle = idle
	go func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		for k.due() {
			k.step()
		}
		k.idle = nil
		close(idle)
	}()
}

// due reports whether something is to be done with the disk.
func (k *Keeper) due() bool {
	if k.file == nil {
		return k.open && (k.wanted || k.next != nil)
	}
	return k.next != nil || !k.wanted
}

// step does one thing with the disk, without the lock meanwhile.
func (k *Keeper) step() {
	file, next, err := k.file, k.next, error(nil)
	switch {
	case file == nil:
		var found journal.Found
		k.open = false
		k.away(func() { file, found, err = journal.OpenOn(k.disk, k.path) })
		if err == nil {
			k.file, k.last, k.tail = file, bytes.Clone(found.Last), bytes.Clone(found.Tail)
			if found.Damaged > 0 || len(found.Tail) > 0 {
				slog.Warn("what was kept is damaged in part, and the rest is used", "what", k.what, "records", found.Damaged, "bytes_at_end", len(found.Tail))
			}
		}
		k.opened(err)
	case next != nil:
		k.next = nil
		k.away(func() { err = file.Write(next) })
		if err == nil {
			k.last, k.tail = next, nil // what is younger stands in the file now; nobody may have asked for the tail
		}
		k.taken(err)
	default:
		k.file = nil
		k.away(func() { err = file.Close() })
		if err != nil {
			slog.Error("what was kept was not closed", "what", k.what, "error", err)
		}
	}
}

func (k *Keeper) away(do func()) {
	k.asked = time.Now()
	k.mu.Unlock()
	do()
	k.mu.Lock()
	k.asked = time.Time{}
}

// opened tells what came of opening.
func (k *Keeper) opened(err error) {
	if err == nil {
		if k.told == notOpen {
			k.told = none
			slog.Info("the disk takes what is to be kept again", "what", k.what)
		}
		return
	}
	if k.next = nil; errors.Is(err, journal.ErrForeign) {
		k.wanted = false
	}
	if k.told != notOpen {
		k.told = notOpen
		slog.Error("what was kept can't be used, and nothing is kept", "what", k.what, "error", err)
	}
}

// taken tells what came of writing.
func (k *Keeper) taken(err error) {
	switch {
	case err != nil && k.told == none:
		k.told = notTaken
		slog.Error("the disk does not take what is to be kept: the next process starts from what was kept last", "what", k.what, "error", err)
	case err == nil && k.told != none:
		k.told = none
		slog.Info("the disk takes what is to be kept again", "what", k.what)
	}
}
