// Package unixsocket opens Unix sockets at a path that one process takes over from
// another, with no moment at which nobody is there.
package unixsocket

import (
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
)

// longest is the longest name that fits into a socket's address (108 bytes) with
// what is put behind it while it is opened.
const longest = 104

// WithShortPath calls use with a name for path that fits into a socket's address, however
// long the folder's is.
func WithShortPath(path string, use func(name string) error) error {
	if len(path) < longest {
		return use(path)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return use(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}

// Check reports an error if something else than a socket is at the path.
func Check(path string) error {
	if info, err := os.Lstat(path); err == nil && info.Mode().Type() != fs.ModeSocket {
		return fmt.Errorf("%s is no socket of ours and is left alone", filepath.Base(path))
	}
	return nil
}

// Listen listens at a name of its own and puts that in the path's place, whoever had
// it. Only this user may connect. The path stays when the listener is closed: it may
// be another process's by then.
func Listen(path string) (*net.UnixListener, error) {
	if err := Check(path); err != nil {
		return nil, err
	}
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(temporary) // of a process that had this number
	var l *net.UnixListener
	err := WithShortPath(temporary, func(name string) error {
		var err error
		l, err = net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false)
	if err = os.Chmod(temporary, 0o600); err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		l.Close()
		os.Remove(temporary)
		return nil, err
	}
	return l, nil
}
