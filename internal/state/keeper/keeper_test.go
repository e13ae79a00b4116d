package keeper

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"spokegw/internal/journal"
	"spokegw/internal/lab/disk"
)

const timeout = time.Second

func (k *Keeper) saveText(text string) {
	k.Save(func([]byte) ([]byte, error) { return []byte(text), nil })
}

// storedRecord is what another process would find after this one has released the file.
func storedRecord(t *testing.T, d *disk.Disk, k *Keeper) string {
	t.Helper()
	if k.Close(); !k.Flush(timeout) {
		t.Fatal("the file is not released")
	}
	next := New(d, "/state/x", "x")
	last, _ := next.Open(timeout)
	next.Close()
	next.Flush(timeout)
	return string(last)
}

// Whatever the disk does, no call waits longer than its timeout; when the disk responds
// again the last record is written, and superseded ones are not.
func TestDiskFailures(t *testing.T) {
	full := errors.New("no space left on device")
	for name, fault := range map[string]func(t *testing.T, d *disk.Disk, k *Keeper){
		"no fault": func(t *testing.T, d *disk.Disk, k *Keeper) { k.saveText("last") },
		"hangs at a write": func(t *testing.T, d *disk.Disk, k *Keeper) {
			waits := d.Hang()
			k.saveText("two")
			<-waits
			k.saveText("three")
			start := time.Now()
			if k.saveText("last"); k.Flush(timeout) || time.Since(start) != timeout {
				t.Errorf("waited %v", time.Since(start))
			}
			k.saveText("last")
			if k.mu.Lock(); k.logged != writeFailed {
				t.Error("a disk that does not respond is not reported")
			}
			k.mu.Unlock()
			d.Answer()
		},
		"hangs while the file is opened": func(t *testing.T, d *disk.Disk, k *Keeper) {
			k.Close()
			k.Flush(timeout)
			d.Hang()
			if last, _ := k.Open(timeout); string(last) != "one" {
				t.Errorf("%q", last) // it was read earlier
			}
			k.saveText("last")
			d.Answer()
		},
		"hangs at Close, and the file is reopened": func(t *testing.T, d *disk.Disk, k *Keeper) {
			d.Hang()
			k.saveText("two")
			k.Close()
			k.saveText("not ours")
			k.Open(timeout)
			k.saveText("last")
			d.Answer()
		},
		"full for a while": func(t *testing.T, d *disk.Disk, k *Keeper) {
			d.Fail(full)
			k.saveText("last")
			k.Flush(timeout)
			d.Fail(nil)
			k.saveText("last")
		},
		"unavailable while the file is opened": func(t *testing.T, d *disk.Disk, k *Keeper) {
			k.Close()
			k.Flush(timeout)
			d.Fail(full)
			k.Open(timeout)
			d.Fail(nil)
			k.saveText("last")
		},
		"locked by another process for a while": func(t *testing.T, d *disk.Disk, k *Keeper) {
			k.Close()
			k.Flush(timeout)
			other := New(d, "/state/x", "x")
			other.Open(timeout)
			k.Open(timeout)
			k.saveText("two")
			k.Flush(timeout)
			other.Close()
			other.Flush(timeout)
			k.saveText("last")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := disk.New(1)
				k := New(d, "/state/x", "x")
				if last, _ := k.Open(timeout); last != nil {
					t.Errorf("record %q in a new file", last)
				}
				k.saveText("one")
				k.Flush(timeout)
				fault(t, d, k)
				if got := storedRecord(t, d, k); got != "last" {
					t.Errorf("%q is stored, want the last record", got)
				}
			})
		})
	}
}

// The bytes found after the last record are retained for the caller of Open, and released
// when a newer record is written: they may be up to 16 MB.
func TestTailIsDropped(t *testing.T) {
	d := disk.New(1)
	f, _, err := journal.OpenOn(d, "/state/x")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Write([]byte("one")); err != nil {
		t.Fatal(err)
	}
	f.Close()
	h, err := d.Open("/state/x")
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, h)
	h.Write([]byte("torn"))
	h.Close()
	waits := d.Hang()
	k := New(d, "/state/x", "x")
	if last, tail := k.Open(0); last != nil || tail != nil {
		t.Fatalf("read %q, %q from a disk that hangs", last, tail)
	}
	<-waits
	k.saveText("two")
	d.Answer()
	if !k.Flush(timeout) {
		t.Fatal("the record is not written")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if string(k.stored) != "two" || k.tail != nil {
		t.Errorf("%q is stored, tail %q is retained", k.stored, k.tail)
	}
}
