// Package keeper persists the latest record of something for the process that is started
// after this one. All I/O is done by a goroutine of the keeper: no request waits for a
// disk that is slow or does not respond.
package keeper

import (
	"bytes"
	"errors"
	"log/slog"
	"sync"
	"time"

	"spokegw/internal/journal"
)

// Keeper persists the last record that it was given. Its methods are safe for concurrent
// use; only Open and Flush wait for the disk, up to their timeout.
type Keeper struct {
	disk       journal.Disk
	path, what string // path "": nothing is persisted

	mu         sync.Mutex
	active     bool          // this process is to write the file
	openNeeded bool          // the file is to be opened
	file       *journal.File // nil: not open. Used by the worker goroutine only
	stored     []byte        // the record on the disk
	tail       []byte        // torn or corrupted bytes found after it
	pending    []byte        // to be written; nil: nothing pending
	done       chan struct{} // closed when the worker goroutine ends; nil: no worker
	opStarted  time.Time     // start of the disk operation in progress; 0: none
	logged     failure       // the failure that was logged last
}

// slowOperation is how long a disk operation may take before it is logged.
const slowOperation = time.Second

type failure int

const (
	noFailure failure = iota
	openFailed
	writeFailed
)

// New returns a keeper of the file at path; "": of none. what names it in the log.
func New(d journal.Disk, path, what string) *Keeper {
	return &Keeper{disk: d, path: path, what: what}
}

// Open starts persisting and returns the last record, and the torn or corrupted bytes
// after it. Both are nil if there is none, if the file can't be read, which leaves it
// unchanged, or if the disk did not respond in time. Each Save retries a file that can't
// be opened, unless it is not a journal.
func (k *Keeper) Open(timeout time.Duration) (stored, tail []byte) {
	k.mu.Lock()
	if k.path == "" {
		k.mu.Unlock()
		return nil, nil
	}
	k.active, k.openNeeded = true, true
	k.startWorker()
	k.mu.Unlock()
	k.Flush(timeout)
	k.mu.Lock()
	defer k.mu.Unlock()
	tail, k.tail = k.tail, nil // reported once: it is truncated
	return k.stored, tail
}

// Close stops persisting after pending writes: from now on another process owns the file,
// or none.
func (k *Keeper) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.active = false
	k.startWorker()
}

// Flush waits up to the timeout for pending writes and reports whether none is left.
func (k *Keeper) Flush(timeout time.Duration) bool {
	k.mu.Lock()
	done := k.done
	k.mu.Unlock()
	if done == nil {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// Save persists a record if it has changed, and replaces one that is pending. encode is
// given the last persisted record. A write failure is logged once, and so is the
// recovery: the sidecar continues without persistence.
func (k *Keeper) Save(encode func(last []byte) ([]byte, error)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.active {
		return
	}
	record, err := encode(k.stored)
	if err != nil {
		k.reportWrite(err)
		return
	}
	if k.pending == nil && bytes.Equal(record, k.stored) {
		return
	}
	if !k.opStarted.IsZero() && time.Since(k.opStarted) >= slowOperation {
		k.reportWrite(errNotResponding)
	}
	k.pending, k.openNeeded = record, k.file == nil
	k.startWorker()
}

var errNotResponding = errors.New("the disk does not respond")

// startWorker starts the worker goroutine if there is work; it ends when none is left.
func (k *Keeper) startWorker() {
	if k.done != nil || !k.hasWork() {
		return
	}
	done := make(chan struct{})
	k.done = done
	go func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		for k.hasWork() {
			k.step()
		}
		k.done = nil
		close(done)
	}()
}

// hasWork reports whether a disk operation is due.
func (k *Keeper) hasWork() bool {
	if k.file == nil {
		return k.openNeeded && (k.active || k.pending != nil)
	}
	return k.pending != nil || !k.active
}

// step performs one disk operation, with the lock released meanwhile.
func (k *Keeper) step() {
	file, next, err := k.file, k.pending, error(nil)
	switch {
	case file == nil:
		var found journal.Found
		k.openNeeded = false
		k.runUnlocked(func() { file, found, err = journal.OpenOn(k.disk, k.path) })
		if err == nil {
			k.file, k.stored, k.tail = file, bytes.Clone(found.Last), bytes.Clone(found.Tail)
			if found.Damaged > 0 || len(found.Tail) > 0 {
				slog.Warn("what was kept is damaged in part, and the rest is used", "what", k.what, "records", found.Damaged, "bytes_at_end", len(found.Tail))
			}
		}
		k.reportOpen(err)
	case next != nil:
		k.pending = nil
		k.runUnlocked(func() { err = file.Write(next) })
		if err == nil {
			k.stored, k.tail = next, nil // a newer record is in the file now; possibly nobody has asked for the tail
		}
		k.reportWrite(err)
	default:
		k.file = nil
		k.runUnlocked(func() { err = file.Close() })
		if err != nil {
			slog.Error("closing the state file failed", "what", k.what, "error", err)
		}
	}
}

func (k *Keeper) runUnlocked(do func()) {
	k.opStarted = time.Now()
	k.mu.Unlock()
	do()
	k.mu.Lock()
	k.opStarted = time.Time{}
}

// reportOpen logs the result of opening.
func (k *Keeper) reportOpen(err error) {
	if err == nil {
		if k.logged == openFailed {
			k.logged = noFailure
			slog.Info("the state is persisted again", "what", k.what)
		}
		return
	}
	if k.pending = nil; errors.Is(err, journal.ErrForeign) {
		k.active = false
	}
	if k.logged != openFailed {
		k.logged = openFailed
		slog.Error("the state file can't be used: nothing is persisted", "what", k.what, "error", err)
	}
}

// reportWrite logs the result of writing.
func (k *Keeper) reportWrite(err error) {
	switch {
	case err != nil && k.logged == noFailure:
		k.logged = writeFailed
		slog.Error("persisting the state failed: the next process starts from the last persisted state", "what", k.what, "error", err)
	case err == nil && k.logged != noFailure:
		k.logged = noFailure
		slog.Info("the state is persisted again", "what", k.what)
	}
}
