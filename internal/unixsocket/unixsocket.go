// Package unixsocket opens Unix sockets at a path that one process takes over from another, with a
// process listening at every moment.
package unixsocket

import (
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
)

// maxPath bounds the paths that are used as they are: shorter ones fit into a socket address (108
// bytes) with what is appended while the socket is opened.
const maxPath = 104

// WithShortPath calls use with a name for path that fits into a socket address, however long the
// folder's path is.
func WithShortPath(path string, use func(name string) error) error {
	if len(path) < maxPath {
		return use(path)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return use(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}

// Check returns an error if something other than a socket is at the path.
func Check(path string) error {
	if info, err := os.Lstat(path); err == nil && info.Mode().Type() != fs.ModeSocket {
		return fmt.Errorf("%s is not a socket and is not replaced", filepath.Base(path))
	}
	return nil
}

// Listen opens a socket under a temporary name and renames it to path, which replaces the socket of
// another process in one step. Only this user may connect. Closing the listener does not remove the
// path, which may belong to another process by then.
func Listen(path string) (*net.UnixListener, error) {
	if err := Check(path); err != nil {
		return nil, err
	}
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(temporary) // left by an earlier process with this ID
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
