// Package journal keeps the latest of some values in a file that survives a kill
// at any instant: each is appended with its length and checksum, and the last that is
// whole counts. Scan and Append are pure; File is the shell.
//
// It guards against a kill and a torn write. A disk that loses what it has said to
// be written, or changes it, is found by the checksum: such a record is left out alone
// where its length still leads to the next, else what is behind it is left out too.
package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"path/filepath"
)

const (
	// MaxRecord bounds one record, MaxFile what is read of a file, in bytes.
	MaxRecord = 4 << 20
	MaxFile   = 16 << 20
	// compactAt is the size at which a file is written anew with its last record.
	compactAt = 1 << 20

	magic    = "spokegw journal 1\n"
	headSize = 8 // length and checksum, big-endian
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends a record to what a file holds. A record is not empty: the zeros
// that some file systems leave behind a crash would be any number of those.
func Append(dst, record []byte) ([]byte, error) {
	if len(record) == 0 || len(record) > MaxRecord {
		return dst, fmt.Errorf("journal: a record of %d bytes, 1 to %d are expected", len(record), MaxRecord)
	}
	if len(dst) == 0 {
		dst = append(dst, magic...)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(record)))
	dst = binary.BigEndian.AppendUint32(dst, crc32.Checksum(record, castagnoli))
	return append(dst, record...), nil
}

// ErrForeign tells that a file is something else.
var ErrForeign = errors.New("journal: this is no journal, or of another version")

// Found is what is in a file.
type Found struct {
	Last      []byte // the last whole record; nil: there is none
	ValidSize int    // how many bytes there are to its end
	Damaged   int    // records before it that are not whole
	Tail      []byte // what is behind it: a record that is torn or spoilt, or more of them
}

// Scan reads the last whole record. A beginning that was cut in the magic is a torn
// tail.
func Scan(b []byte) (f Found, err error) {
	if n := min(len(b), len(magic)); string(b[:n]) != magic[:n] {
		return f, ErrForeign
	}
	if len(b) < len(magic) {
		f.Tail = b
		return f, nil
	}
	f.ValidSize = len(magic)
	damaged := 0
	for at := f.ValidSize; ; {
		rest := b[at:]
		if len(rest) < headSize {
			break
		}
		length, sum := int(binary.BigEndian.Uint32(rest)), binary.BigEndian.Uint32(rest[4:])
		if length == 0 || length > MaxRecord || length > len(rest)-headSize {
			break
		}
		record := rest[headSize : headSize+length]
		at += headSize + length
		if crc32.Checksum(record, castagnoli) != sum {
			damaged++ // if what follows is whole; else a tail begins here
			continue
		}
		f.Last, f.ValidSize, f.Damaged = record, at, damaged
	}
	f.Tail = b[f.ValidSize:]
	return f, nil
}

// Disk is what files are on.
type Disk interface {
	Open(path string) (Handle, error) // for reading and writing, from its beginning; made where there is none
	Create(path string) (Handle, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(path string) error // has what was made and renamed in a folder written
}

// Handle is a file that is open.
type Handle interface {
	io.ReadWriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
	Lock() error // for this process, until it is closed or the process ends; ErrInUse
}

// File is a journal in a file. It is for one goroutine, and one process at a time.
type File struct {
	disk Disk
	path string
	file Handle
	size int64
}

// ErrInUse tells that another process writes the journal.
var ErrInUse = errors.New("journal: another process has it")

// Open opens a journal, makes it where there is none, and cuts a torn tail off. It
// returns what was in it. Who has it has it alone.
func Open(path string) (*File, Found, error) { return OpenOn(OS{}, path) }

// OpenOn is Open on another disk.
func OpenOn(d Disk, path string) (*File, Found, error) {
	f, err := d.Open(path)
	if err != nil {
		return nil, Found{}, fmt.Errorf("journal: %w", err)
	}
	var found Found
	var size int64
	if err = f.Lock(); err == nil {
		found, size, err = restore(f)
	}
	if err == nil && size == 0 { // it may have been made just now: what is written to a file without a name is lost
		err = d.SyncFolder(filepath.Dir(path))
	}
	if err != nil {
		f.Close()
		return nil, Found{}, fmt.Errorf("%s: %w", filepath.Base(path), err)
	}
	return &File{disk: d, path: path, file: f, size: size}, found, nil
}

func restore(f Handle) (found Found, size int64, err error) {
	b, err := io.ReadAll(io.LimitReader(f, MaxFile+1))
	if err != nil {
		return Found{}, 0, fmt.Errorf("journal: %w", err)
	}
	if len(b) > MaxFile {
		return Found{}, 0, fmt.Errorf("journal: more than %d bytes", MaxFile)
	}
	if found, err = Scan(b); err != nil {
		return Found{}, 0, err
	}
	if len(found.Tail) > 0 {
		if err := f.Truncate(int64(found.ValidSize)); err != nil {
			return Found{}, 0, fmt.Errorf("journal: a torn tail is not cut off: %w", err)
		}
	}
	if _, err := f.Seek(int64(found.ValidSize), io.SeekStart); err != nil {
		return Found{}, 0, fmt.Errorf("journal: %w", err)
	}
	return found, int64(found.ValidSize), nil
}

// Write writes a record, and returns when it is on the disk. On an error the file
// is as it was, as far as the disk lets it.
func (j *File) Write(record []byte) error {
	if j.size >= compactAt {
		return j.Compact(record)
	}
	var before []byte
	if j.size > 0 {
		before = []byte(magic)
	}
	b, err := Append(before, record)
	if err != nil {
		return err
	}
	b = b[len(before):]
	if _, err = j.file.Write(b); err == nil {
		err = j.file.Sync()
	}
	if err != nil { // half a record would hide those behind it
		err = errors.Join(err, j.file.Truncate(j.size))
		if _, seekErr := j.file.Seek(j.size, io.SeekStart); seekErr != nil {
			err = errors.Join(err, seekErr)
		}
		return fmt.Errorf("journal: %w", err)
	}
	j.size += int64(len(b))
	return nil
}

// Compact writes the file anew with one record, in the place of the old one at
// one instant.
func (j *File) Compact(record []byte) error {
	b, err := Append(nil, record)
	if err != nil {
		return err
	}
	temporary := j.path + ".new"
	// One that a crash left may be the file itself, where a rename was written by half:
	// made empty it would empty both.
	if err := j.disk.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("journal: %w", err)
	}
	f, err := j.disk.Create(temporary)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if err = f.Lock(); err == nil {
		_, err = f.Write(b)
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = j.disk.Rename(temporary, j.path)
	}
	if err != nil {
		f.Close()
		if rmErr := j.disk.Remove(temporary); rmErr != nil && !errors.Is(rmErr, fs.ErrNotExist) {
			err = errors.Join(err, rmErr)
		}
		return fmt.Errorf("journal: %w", err)
	}
	// From here on the new file has the name, whether or not that is written yet: what
	// is appended belongs into it.
	j.file.Close()
	j.file, j.size = f, int64(len(b))
	if err := j.disk.SyncFolder(filepath.Dir(j.path)); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// Close closes the file.
func (j *File) Close() error { return j.file.Close() }
