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

// Cut off at any byte a journal tells the last record that is whole before that place,
// and goes on behind it. Spoilt in a record's text it tells the last but that one, in a
// head no less than the last before it.
func TestTornAndSpoilt(t *testing.T) {
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
		torn := bytes.Clone(b[:at])
		spoilt := rapid.Bool().Draw(rt, "spoilt") && at < len(b)
		if spoilt {
			torn = bytes.Clone(b)
			torn[at] ^= 1 << rapid.IntRange(0, 7).Draw(rt, "bit")
		}
		var want []byte // the last before the place
		hit, begin := -1, len(magic)
		for i, end := range ends {
			if end <= at {
				want = records[i]
			} else if hit < 0 && spoilt {
				hit = i
			}
			if hit < 0 {
				begin = end
			}
		}
		found, err := Scan(torn)
		switch {
		case err != nil:
			rt.Fatal(err)
		case hit >= 0 && at >= begin+4 && hit < len(records)-1: // its length is as it was
			if !bytes.Equal(found.Last, records[len(records)-1]) || found.Damaged != 1 || len(found.Tail) > 0 {
				rt.Fatalf("%+v is read where record %d is spoilt", found, hit)
			}
		case hit >= 0 && at < begin+4: // where a length leads is chance
		case !bytes.Equal(found.Last, want):
			rt.Fatalf("%q is read, %q is the last before byte %d", found.Last, want, at)
		}
		if len(torn) != found.ValidSize+len(found.Tail) {
			rt.Fatalf("%d bytes are whole and %d behind them, of %d", found.ValidSize, len(found.Tail), len(torn))
		}
		again, err := Append(torn[:found.ValidSize], []byte("next"))
		if err != nil {
			rt.Fatal(err)
		}
		if f, _ := Scan(again); string(f.Last) != "next" {
			rt.Fatalf("behind a torn tail %q is read", f.Last)
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
		t.Errorf("a new one has %q", last)
	}
	for i := range 3 {
		if err := j.Write(fmt.Append(nil, "record ", i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := j.Write(nil); err == nil {
		t.Error("an empty record was taken")
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path); !errors.Is(err, ErrInUse) {
		t.Errorf("opened twice: %v", err)
	}
	j.Close()
	os.WriteFile(path, whole[:len(whole)-2], 0o600) // a kill in the midst of the last
	j, last = open(t, path)
	if last != "record 1" {
		t.Errorf("torn: %q", last)
	}
	if err := j.Write([]byte("record 3")); err != nil {
		t.Fatal(err)
	}
	j.Close()
	if j, last = open(t, path); last != "record 3" {
		t.Errorf("behind a torn tail: %q", last)
	}
	big := bytes.Repeat([]byte("x"), compactAt/2)
	for range 5 {
		if err := j.Write(big); err != nil {
			t.Fatal(err)
		}
	}
	if info, err := os.Stat(path); err != nil || info.Size() > 2*compactAt {
		t.Errorf("it has %d bytes, %v", info.Size(), err)
	}
	if _, _, err := Open(path); !errors.Is(err, ErrInUse) {
		t.Errorf("opened twice after it was written anew: %v", err)
	}
	j.Close()
	if _, last = open(t, path); last != string(big) {
		t.Errorf("after it was written anew %d bytes are read", len(last))
	}
}

// What is something else is left alone.
func TestForeign(t *testing.T) {
	path := filepath.Join(t.TempDir(), "notes.txt")
	os.WriteFile(path, []byte("somebody's notes"), 0o600)
	if _, _, err := Open(path); !errors.Is(err, ErrForeign) {
		t.Errorf("%v", err)
	}
	if b, _ := os.ReadFile(path); string(b) != "somebody's notes" {
		t.Errorf("%q is left", b)
	}
	if _, _, err := Open(filepath.Join(t.TempDir(), "no", "folder")); err == nil {
		t.Error("a journal in a folder that is not there")
	}
}

// A disk that takes no more leaves the last record as it was. /dev/full fails
// every write with ENOSPC.
func TestFullDisk(t *testing.T) {
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Skip(err)
	}
	j := &File{disk: OS{}, path: filepath.Join(t.TempDir(), "x"), file: osHandle{full}, size: int64(len(magic))}
	defer j.Close()
	if err := j.Write([]byte("x")); err == nil {
		t.Error("it was written")
	}
	if j.size != int64(len(magic)) {
		t.Errorf("it counts %d bytes", j.size)
	}
}

func FuzzScan(f *testing.F) {
	b, _ := Append(nil, []byte("one"))
	f.Add(b)
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, b []byte) {
		found, err := Scan(b)
		if err == nil && (found.ValidSize+len(found.Tail) != len(b) || len(found.Last) > found.ValidSize) {
			t.Errorf("%d of %d bytes are whole, %d are the last", found.ValidSize, len(b), len(found.Last))
		}
	})
}
