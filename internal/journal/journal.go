// Package journal stores the latest of some values in a file that survives a process kill
// at any instant: each record is appended with its length and checksum, and the last
// valid one counts. Scan and Append are pure; File does the I/O.
//
// It guards against kills and torn writes. A disk that loses or changes data which it
// reported as written is detected by the checksum: such a record alone is skipped if its
// length still leads to the next; otherwise everything after it is dropped too.
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
	// MaxRecord bounds a record, MaxFile a file that is read, in bytes.
	MaxRecord = 4 << 20
	MaxFile   = 16 << 20
	// compactSize is the size in bytes at which the file is rewritten with its last
	// record only.
	compactSize = 1 << 20

	magic      = "spokegw journal 1\n"
	headerSize = 8 // length and checksum, big-endian
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends a record to the contents of a file. A record must not be empty: the
// zeros that some file systems leave after a crash would read as any number of empty
// records.
func Append(dst, record []byte) ([]byte, error) {
	if len(record) == 0 || len(record) > MaxRecord {
		return dst, fmt.Errorf("journal: record has %d bytes, expected 1 to %d", len(record), MaxRecord)
	}
	if len(dst) == 0 {
		dst = append(dst, magic...)
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(record)))
	dst = binary.BigEndian.AppendUint32(dst, crc32.Checksum(record, castagnoli))
	return append(dst, record...), nil
}

// ErrForeign reports that the file is not a journal of this version.
var ErrForeign = errors.New("journal: not a journal, or of an unsupported version")

// Found is the result of scanning a file.
type Found struct {
	Last      []byte // the last valid record; nil: none
	ValidSize int    // size in bytes up to the end of Last
	Damaged   int    // corrupted records before it
	Tail      []byte // the bytes after Last: one or more torn or corrupted records
}

// Scan finds the last valid record. A file that ends within the magic counts as a torn
// tail.
func Scan(b []byte) (found Found, err error) {
	if n := min(len(b), len(magic)); string(b[:n]) != magic[:n] {
		return found, ErrForeign
	}
	if len(b) < len(magic) {
		found.Tail = b
		return found, nil
	}
	found.ValidSize = len(magic)
	damaged := 0
	for offset := found.ValidSize; ; {
		remaining := b[offset:]
		if len(remaining) < headerSize {
			break
		}
		length, sum := int(binary.BigEndian.Uint32(remaining)), binary.BigEndian.Uint32(remaining[4:])
		if length == 0 || length > MaxRecord || length > len(remaining)-headerSize {
			break
		}
		record := remaining[headerSize : headerSize+length]
		offset += headerSize + length
		if crc32.Checksum(record, castagnoli) != sum {
			damaged++ // counts only if a valid record follows; otherwise the tail begins here
			continue
		}
		found.Last, found.ValidSize, found.Damaged = record, offset, damaged
	}
	found.Tail = b[found.ValidSize:]
	return found, nil
}

// Disk is the file system that holds the files.
type Disk interface {
	Open(path string) (Handle, error) // for reading and writing from offset 0; created if missing
	Create(path string) (Handle, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(path string) error // makes creations and renames in a directory durable
}

// Handle is an open file.
type Handle interface {
	io.ReadWriteSeeker
	io.Closer
	Truncate(size int64) error
	Sync() error
	Lock() error // exclusive until closed or the process exits; may return ErrInUse
}

// File is an open journal. It is not safe for concurrent use, and only one process can
// have it open.
type File struct {
	disk Disk
	path string
	file Handle
	size int64
}

// ErrInUse reports that another process has the journal open.
var ErrInUse = errors.New("journal: file is locked by another process")

// Open opens a journal, creates it if missing, truncates a torn tail and returns the
// contents. The file is locked against other processes.
func Open(path string) (*File, Found, error) { return OpenOn(OS{}, path) }

// OpenOn is like Open on the given disk.
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
	if err == nil && size == 0 { // it may be new, and data in a file whose directory entry is lost in a crash is lost too
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
		return Found{}, 0, fmt.Errorf("journal: file is larger than %d bytes", MaxFile)
	}
	if found, err = Scan(b); err != nil {
		return Found{}, 0, err
	}
	if len(found.Tail) > 0 {
		if err := f.Truncate(int64(found.ValidSize)); err != nil {
			return Found{}, 0, fmt.Errorf("journal: truncate torn tail: %w", err)
		}
	}
	if _, err := f.Seek(int64(found.ValidSize), io.SeekStart); err != nil {
		return Found{}, 0, fmt.Errorf("journal: %w", err)
	}
	return found, int64(found.ValidSize), nil
}

// Write appends a record and returns when it is durable. On an error the file is restored
// to its previous state as far as the disk allows.
func (j *File) Write(record []byte) error {
	if j.size >= compactSize {
		return j.Compact(record)
	}
	var header []byte
	if j.size > 0 {
		header = []byte(magic)
	}
	b, err := Append(header, record)
	if err != nil {
		return err
	}
	b = b[len(header):]
	if _, err = j.file.Write(b); err == nil {
		err = j.file.Sync()
	}
	if err != nil { // a partial record would hide those after it
		err = errors.Join(err, j.file.Truncate(j.size))
		if _, seekErr := j.file.Seek(j.size, io.SeekStart); seekErr != nil {
			err = errors.Join(err, seekErr)
		}
		return fmt.Errorf("journal: %w", err)
	}
	j.size += int64(len(b))
	return nil
}

// Compact atomically replaces the file by one that holds only this record.
func (j *File) Compact(record []byte) error {
	b, err := Append(nil, record)
	if err != nil {
		return err
	}
	tmpPath := j.path + ".new"
	// A temporary file left by a crash may be the same inode as the journal if the rename
	// was only partly durable: truncating it would empty both.
	if err := j.disk.Remove(tmpPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("journal: %w", err)
	}
	f, err := j.disk.Create(tmpPath)
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
		err = j.disk.Rename(tmpPath, j.path)
	}
	if err != nil {
		f.Close()
		if rmErr := j.disk.Remove(tmpPath); rmErr != nil && !errors.Is(rmErr, fs.ErrNotExist) {
			err = errors.Join(err, rmErr)
		}
		return fmt.Errorf("journal: %w", err)
	}
	// From here on the new file has the name, durably or not, so further records are
	// appended to it.
	j.file.Close()
	j.file, j.size = f, int64(len(b))
	if err := j.disk.SyncFolder(filepath.Dir(j.path)); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

func (j *File) Close() error { return j.file.Close() }
