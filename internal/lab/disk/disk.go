// Package disk is a disk in memory that ends at any call, as a machine without power
// does, and then has of what it was not told to write whatever it likes: writes that
// are whole, cut, out of order or not there, names that are the old ones. It keeps what
// was synced, and no more is promised by fsync(2) and rename(2).
package disk

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"path"
	"sync"

	"spokegw/internal/journal"
)

// ErrOver tells that the machine has ended.
var ErrOver = errors.New("disk: the machine has ended")

// Disk is a disk.
type Disk struct {
	mu    sync.Mutex
	rand  *rand.Rand
	left  int           // calls until the machine ends; -1: it does not
	life  int           // files of an earlier one are closed
	fault error         // of every call; nil: none
	hung  chan struct{} // closed when the disk answers again; nil: it does
	waits chan struct{} // is told of a call that waits for that
	names map[string]*inode
	saved map[string]*inode // of names that are on the disk
	since []naming          // names that are not, in their order
}

// inode is a file's content.
type inode struct {
	live   []byte  // as it is read
	synced []byte  // as it is on the disk for certain
	since  []write // that are not
	locked bool
}

// write is a write, or a new length where data is nil.
type write struct {
	at   int
	data []byte
}

type naming struct {
	name string
	to   *inode // nil: it is removed
}

// New makes an empty disk. What it makes of crashes depends on the seed alone.
func New(seed uint64) *Disk {
	return &Disk{rand: rand.New(rand.NewPCG(seed, 5)), left: -1, names: map[string]*inode{}, saved: map[string]*inode{}}
}

// EndAfter has the machine end at a call after so many.
func (d *Disk) EndAfter(calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = calls
}

// Fail has every call fail, as on a disk that is full, read-only or gone; nil: no more.
func (d *Disk) Fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = err
}

// Hang has every call wait until Answer. What is returned tells of a call that waits.
func (d *Disk) Hang() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hung, d.waits = make(chan struct{}), make(chan struct{}, 1)
	return d.waits
}

// Answer ends Hang.
func (d *Disk) Answer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hung != nil {
		close(d.hung)
		d.hung = nil
	}
}

// call counts a call; the machine may end with it. It waits while the disk hangs, without
// the lock.
func (d *Disk) call() error {
	for d.hung != nil {
		hung := d.hung
		select {
		case d.waits <- struct{}{}:
		default: // it was told
		}
		d.mu.Unlock()
		<-hung
		d.mu.Lock()
	}
	switch {
	case d.fault != nil:
		return d.fault
	case d.left == 0:
		return ErrOver
	case d.left > 0:
		d.left--
	}
	return nil
}

// Crash ends the machine, and starts it again with what is on the disk.
func (d *Disk) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left, d.life = -1, d.life+1
	// Names are written in their order, as far as they were.
	for _, n := range d.since[:d.rand.IntN(len(d.since)+1)] {
		if n.to == nil {
			delete(d.saved, n.name)
		} else {
			d.saved[n.name] = n.to
		}
	}
	d.since = nil
	settled := map[*inode]*inode{}
	d.names = map[string]*inode{}
	for name, i := range d.saved {
		if settled[i] == nil {
			b := d.settle(i)
			settled[i] = &inode{live: b, synced: append([]byte(nil), b...)}
		}
		d.names[name] = settled[i]
		d.saved[name] = settled[i]
	}
}

// settle is what a crash leaves of a file: of its writes that were not synced any are
// there, and those may be cut.
func (d *Disk) settle(i *inode) []byte {
	b := append([]byte(nil), i.synced...)
	for _, w := range i.since {
		switch d.rand.IntN(4) {
		case 0: // it is not there
		case 1:
			if w.data == nil {
				continue
			}
			b = apply(b, write{w.at, w.data[:d.rand.IntN(len(w.data)+1)]})
		default:
			b = apply(b, w)
		}
	}
	return b
}

// apply writes; what lies between the end and the write is zeros.
func apply(b []byte, w write) []byte {
	if w.data == nil {
		if w.at <= len(b) {
			return b[:w.at]
		}
		return append(b, make([]byte, w.at-len(b))...)
	}
	if end := w.at + len(w.data); end > len(b) {
		b = append(b, make([]byte, end-len(b))...)
	}
	copy(b[w.at:], w.data)
	return b
}

// Open, Create, Rename, Remove and SyncFolder are journal.Disk's. There is one folder.
func (d *Disk) Open(name string) (journal.Handle, error) { return d.open(name, false) }

func (d *Disk) Create(name string) (journal.Handle, error) { return d.open(name, true) }

func (d *Disk) open(name string, anew bool) (journal.Handle, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.call(); err != nil {
		return nil, err
	}
	i := d.names[path.Clean(name)]
	if i == nil {
		i = &inode{}
		d.name(name, i)
	}
	h := &handle{disk: d, inode: i, life: d.life}
	if anew {
		h.resize(0)
	}
	return h, nil
}

func (d *Disk) name(name string, i *inode) {
	name = path.Clean(name)
	if d.since = append(d.since, naming{name, i}); i == nil {
		delete(d.names, name)
	} else {
		d.names[name] = i
	}
}

func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.call(); err != nil {
		return err
	}
	i := d.names[path.Clean(from)]
	if i == nil {
		return fs.ErrNotExist
	}
	d.name(to, i) // first: at no instant does neither name lead there
	d.name(from, nil)
	return nil
}

func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.call(); err != nil {
		return err
	}
	if d.names[path.Clean(name)] == nil {
		return fs.ErrNotExist
	}
	d.name(name, nil)
	return nil
}

func (d *Disk) SyncFolder(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.call(); err != nil {
		return err
	}
	for _, n := range d.since {
		if n.to == nil {
			delete(d.saved, n.name)
		} else {
			d.saved[n.name] = n.to
		}
	}
	d.since = nil
	return nil
}

// handle is an open file.
type handle struct {
	disk   *Disk
	inode  *inode
	life   int
	at     int
	locked bool
}

// use begins a call on the file.
func (h *handle) use() (done func(), err error) {
	h.disk.mu.Lock()
	if h.life != h.disk.life {
		err = ErrOver
	} else {
		err = h.disk.call()
	}
	if err != nil {
		h.disk.mu.Unlock()
		return nil, err
	}
	return h.disk.mu.Unlock, nil
}

func (h *handle) Read(b []byte) (int, error) {
	done, err := h.use()
	if err != nil {
		return 0, err
	}
	defer done()
	if h.at >= len(h.inode.live) {
		return 0, io.EOF
	}
	n := copy(b, h.inode.live[h.at:])
	h.at += n
	return n, nil
}

func (h *handle) Write(b []byte) (int, error) {
	done, err := h.use()
	if err != nil {
		return 0, err
	}
	defer done()
	w := write{h.at, append([]byte{}, b...)}
	h.inode.live = apply(h.inode.live, w)
	h.inode.since = append(h.inode.since, w)
	h.at += len(b)
	return len(b), nil
}

func (h *handle) Seek(offset int64, whence int) (int64, error) {
	done, err := h.use()
	if err != nil {
		return 0, err
	}
	defer done()
	if whence != io.SeekStart {
		return 0, fs.ErrInvalid // nobody does
	}
	h.at = int(offset)
	return offset, nil
}

func (h *handle) Truncate(size int64) error {
	done, err := h.use()
	if err != nil {
		return err
	}
	defer done()
	h.resize(int(size))
	return nil
}

func (h *handle) resize(size int) {
	w := write{at: size}
	h.inode.live = apply(h.inode.live, w)
	h.inode.since = append(h.inode.since, w)
}

func (h *handle) Sync() error {
	done, err := h.use()
	if err != nil {
		return err
	}
	defer done()
	h.inode.synced, h.inode.since = append([]byte(nil), h.inode.live...), nil
	return nil
}

func (h *handle) Lock() error {
	done, err := h.use()
	if err != nil {
		return err
	}
	defer done()
	if h.inode.locked {
		return journal.ErrInUse
	}
	h.inode.locked, h.locked = true, true
	return nil
}

func (h *handle) Close() error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.locked && h.life == h.disk.life {
		h.inode.locked = false
	}
	h.locked = false
	return nil
}
