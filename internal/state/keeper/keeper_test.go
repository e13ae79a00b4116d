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

const patience = time.Second

func (k *Keeper) saveText(text string) {
	k.Save(func([]byte) ([]byte, error) { return []byte(text), nil })
}

// kept is what another process would find, once this one has left the file.
func kept(t *testing.T, d *disk.Disk, k *Keeper) string {
	t.Helper()
	if k.Close(); !k.Flush(patience) {
		t.Fatal("the file is not left")
	}
	next := New(d, "/state/x", "x")
	last, _ := next.Open(patience)
	next.Close()
	next.Flush(patience)
	return string(last)
}

// Whatever the disk does, nobody waits for it but as long as is said; when it answers
// again the last record is kept, and what came between is not written.
func TestDisks(t *testing.T) {
	full := errors.New("no space left on device")
	for name, course := range map[string]func(t *testing.T, d *disk.Disk, k *Keeper){
		"well": func(t *testing.T, d *disk.Disk, k *Keeper) { k.saveText("last") },
		"hangs at a write": func(t *testing.T, d *disk.Disk, k *Keeper) {
			waits := d.Hang()
			k.saveText("two")
			<-waits
			k.saveText("three")
			begun := time.Now()
			if k.saveText("last"); k.Flush(patience) || time.Since(begun) != patience {
				t.Errorf("waited %v", time.Since(begun))
			}
			k.saveText("last")
			if k.mu.Lock(); k.told != notTaken {
				t.Error("that the disk does not answer is not told")
			}
			k.mu.Unlock()
			d.Answer()
		},
		"hangs while the file is opened": func(t *testing.T, d *disk.Disk, k *Keeper) {
			k.Close()
			k.Flush(patience)
			d.Hang()
			if last, _ := k.Open(patience); string(last) != "one" {
				t.Errorf("%q", last) // it was read before
			}
			k.saveText("last")
			d.Answer()
		},
		"hangs at the end, and this process is to go on": func(t *testing.T, d *disk.Disk, k *Keeper) {
			d.Hang()
			k.saveText("two")
			k.Close()
			k.saveText("not ours")
			k.Open(patience)
			k.saveText("last")
			d.Answer()
		},
		"full for a while": func(t *testing.T, d *disk.Disk, k *Keeper) {
			d.Fail(full)
			k.saveText("last")
			k.Flush(patience)
			d.Fail(nil)
			k.saveText("last")
		},
		"gone while the file is opened": func(t *testing.T, d *disk.Disk, k *Keeper) {
			k.Close()
			k.Flush(patience)
			d.Fail(full)
			k.Open(patience)
			d.Fail(nil)
			k.saveText("last")
		},
		"another process has it for a while": func(t *testing.T, d *disk.Disk, k *Keeper) {
			k.Close()
			k.Flush(patience)
			other := New(d, "/state/x", "x")
			other.Open(patience)
			k.Open(patience)
			k.saveText("two")
			k.Flush(patience)
			other.Close()
			other.Flush(patience)
			k.saveText("last")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := disk.New(1)
				k := New(d, "/state/x", "x")
				if last, _ := k.Open(patience); last != nil {
					t.Errorf("%q in a new file", last)
				}
				k.saveText("one")
				k.Flush(patience)
				course(t, d, k)
				if got := kept(t, d, k); got != "last" {
					t.Errorf("%q is kept", got)
				}
			})
		})
	}
}

// What was found behind the last record is held for who opens the file, and no longer
// than until something younger is written: it may be of 16 MB.
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
		t.Fatalf("a disk that hangs told %q, %q", last, tail)
	}
	<-waits
	k.saveText("two")
	d.Answer()
	if !k.Flush(patience) {
		t.Fatal("it is not written")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if string(k.last) != "two" || k.tail != nil {
		t.Errorf("%q is kept, %q is held", k.last, k.tail)
	}
}
