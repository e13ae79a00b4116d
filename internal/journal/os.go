package journal

import (
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// OS is the Disk of the operating system.
type OS struct{}

type osHandle struct{ *os.File }

// Lock takes an exclusive lock on the file (flock(2)).
func (h osHandle) Lock() error {
	err := unix.Flock(int(h.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if errors.Is(err, unix.EWOULDBLOCK) {
		return ErrInUse
	}
	return err
}

func wrapFile(f *os.File, err error) (Handle, error) {
	if err != nil {
		return nil, err
	}
	return osHandle{f}, nil
}

func (OS) Open(path string) (Handle, error) {
	return wrapFile(os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600))
}

func (OS) Create(path string) (Handle, error) {
	return wrapFile(os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600))
}

func (OS) Rename(from, to string) error { return os.Rename(from, to) }
func (OS) Remove(path string) error     { return os.Remove(path) }

// SyncFolder syncs the directory: without it a rename may be lost in a crash.
func (OS) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
