package journal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"pgregory.net/rapid"
)

// A journal truncated at any byte yields the last record that ends before it, and can be
// appended to. With a bit flipped in a record's payload only that record is lost; with
// one flipped in its header, no record before it.
func TestScanCorrupted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		records := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 40), 1, 6).Draw(rt, "records")
		var b []byte
		var ends []int
		for _, r := range records {
			var err error
			if b, err = Append(b, r); err != nil {
				rt.Fatal(err)
			}
			ends = append(ends, len(b))
		}
		at := rapid.IntRange(len(magic), len(b)).Draw(rt, "at")
		damaged := bytes.Clone(b[:at])
		flipped := rapid.Bool().Draw(rt, "spoilt") && at < len(b)
		if flipped {
			damaged = bytes.Clone(b)
			damaged[at] ^= 1 << rapid.IntRange(0, 7).Draw(rt, "bit")
		}
		var want []byte // the last record before the fault
		corrupted, begin := -1, len(magic)
		for i, end := range ends {
			if end <= at {
				want = records[i]
			} else if corrupted < 0 && flipped {
				corrupted = i
			}
			if corrupted < 0 {
				begin = end
			}
		}
		found, err := Scan(damaged)
		switch {
		case err != nil:
			rt.Fatal(err)
		case corrupted >= 0 && at >= begin+4 && corrupted < len(records)-1: // its length is intact
			if !bytes.Equal(found.Last, records[len(records)-1]) || found.Damaged != 1 || len(found.Tail) > 0 {
				rt.Fatalf("read %+v with record %d corrupted", found, corrupted)
			}
		case corrupted >= 0 && at < begin+4: // a corrupted length leads to an arbitrary offset
		case !bytes.Equal(found.Last, want):
			rt.Fatalf("read %q, want %q, the last before byte %d", found.Last, want, at)
		}
		if len(damaged) != found.ValidSize+len(found.Tail) {
			rt.Fatalf("%d valid bytes and a tail of %d do not add up to %d", found.ValidSize, len(found.Tail), len(damaged))
		}
		extended, err := Append(damaged[:found.ValidSize], []byte("next"))
		if err != nil {
			rt.Fatal(err)
		}
		if f, _ := Scan(extended); string(f.Last) != "next" {
			rt.Fatalf("after appending to a truncated file: read %q", f.Last)
		}
	})
}

func open(t *testing.T, path string) (*File, string) {
	t.Helper()
	j, found, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	return j, string(found.Last)
}

func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.journal")
	j, last := open(t, path)
	if last != "" {
		t.Errorf("new journal contains %q", last)
	}
	for i := range 3 {
		if err := j.Write(fmt.Append(nil, "record ", i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := j.Write(nil); err == nil {
		t.Error("empty record was accepted")
	}
	contents, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path); !errors.Is(err, ErrInUse) {
		t.Errorf("second open: %v", err)
	}
	j.Close()
	os.WriteFile(path, contents[:len(contents)-2], 0o600) // a kill while the last record was written
	j, last = open(t, path)
	if last != "record 1" {
		t.Errorf("after a torn write: %q", last)
	}
	if err := j.Write([]byte("record 3")); err != nil {
		t.Fatal(err)
	}
	j.Close()
	if j, last = open(t, path); last != "record 3" {
		t.Errorf("after appending to a truncated file: %q", last)
	}
	big := bytes.Repeat([]byte("x"), compactSize/2)
	for range 5 {
		if err := j.Write(big); err != nil {
			t.Fatal(err)
		}
	}
	if info, err := os.Stat(path); err != nil || info.Size() > 2*compactSize {
		t.Errorf("file has %d bytes, %v", info.Size(), err)
	}
	if _, _, err := Open(path); !errors.Is(err, ErrInUse) {
		t.Errorf("second open after compaction: %v", err)
	}
	j.Close()
	if _, last = open(t, path); last != string(big) {
		t.Errorf("after compaction: read %d bytes", len(last))
	}
}

// A file that is not a journal is left unchanged.
func TestOpenForeign(t *testing.T) {
	path := filepath.Join(t.TempDir(), "notes.txt")
	os.WriteFile(path, []byte("somebody's notes"), 0o600)
	if _, _, err := Open(path); !errors.Is(err, ErrForeign) {
		t.Errorf("%v", err)
	}
	if b, _ := os.ReadFile(path); string(b) != "somebody's notes" {
		t.Errorf("file now contains %q", b)
	}
	if _, _, err := Open(filepath.Join(t.TempDir(), "no", "folder")); err == nil {
		t.Error("opened a journal in a missing directory")
	}
}

// A full disk leaves the last record intact. /dev/full fails every write with ENOSPC.
func TestFullDisk(t *testing.T) {
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Skip(err)
	}
	j := &File{disk: OS{}, path: filepath.Join(t.TempDir(), "x"), file: osHandle{full}, size: int64(len(magic))}
	defer j.Close()
	if err := j.Write([]byte("x")); err == nil {
		t.Error("write to a full disk succeeded")
	}
	if j.size != int64(len(magic)) {
		t.Errorf("size is %d bytes after a failed write", j.size)
	}
}

func FuzzScan(f *testing.F) {
	b, _ := Append(nil, []byte("one"))
	f.Add(b)
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, b []byte) {
		found, err := Scan(b)
		if err == nil && (found.ValidSize+len(found.Tail) != len(b) || len(found.Last) > found.ValidSize) {
			t.Errorf("%d of %d bytes valid, last record has %d", found.ValidSize, len(b), len(found.Last))
		}
	})
}
