package handover

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A new process that dies at any step of the handover leaves the old one as it was, for the next
// one to request.
func TestSuccessorDiesAtEachStep(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	startOfferer(t, path, h)
	hello, err := Encode(&Record{Kind: KindHello, Name: "n0", Listen: h.addr()})
	if err != nil {
		t.Fatal(err)
	}
	serving, err := Encode(&Record{Kind: KindServing})
	if err != nil {
		t.Fatal(err)
	}
	for name, dies := range map[string]struct {
		after    func(c *net.UnixConn)
		answered bool // it received an answer
	}{
		"connected":         {func(*net.UnixConn) {}, false},
		"half a hello":      {func(c *net.UnixConn) { c.Write(hello[:len(hello)/2]) }, false},
		"hello":             {func(c *net.UnixConn) { c.Write(hello) }, true},
		"half of the state": {func(c *net.UnixConn) { c.Write(hello); c.Read(make([]byte, 20)) }, true},
		"the state":         {func(c *net.UnixConn) { c.Write(hello); Decode(c) }, true},
		"half a serving":    {func(c *net.UnixConn) { c.Write(hello); Decode(c); c.Write(serving[:5]) }, true},
		"serving":           {func(c *net.UnixConn) { c.Write(hello); Decode(c); c.Write(serving) }, true},
		"an invalid record": {func(c *net.UnixConn) { c.Write(hello); Decode(c); c.Write(make([]byte, 100)) }, true},
	} {
		c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		dies.after(c)
		c.Close()
		if dies.answered {
			receive(t, "the end of one that died after "+name, h.ended)
		}
		p, err := Request(path, "n0", h.addr(), false)
		if err != nil {
			t.Fatalf("after one that died after %s: %v", name, err)
		}
		p.Listener.Close()
		p.Close()
		receive(t, "the end of the next one", h.ended)
	}
}

// An old process that dies at any step delays the new one by at most about a second: the new one
// has either everything or starts without a state.
func TestPredecessorDiesAtEachStep(t *testing.T) {
	shared := newHost(t)
	file, err := shared.listener.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	state, err := Encode(&Record{Kind: KindState, Part: 0.5, State: shared.state})
	if err != nil {
		t.Fatal(err)
	}
	sendState := func(c *net.UnixConn, n int) { c.WriteMsgUnix(state[:n], syscall.UnixRights(int(fdOf(t, file))), nil) }
	for name, dies := range map[string]struct {
		after    func(c *net.UnixConn)
		complete bool
	}{
		"it was connected to": {func(*net.UnixConn) {}, false},
		"the hello":           {func(c *net.UnixConn) { Decode(c) }, false},
		"the descriptor":      {func(c *net.UnixConn) { Decode(c); sendState(c, 1) }, false},
		"half of the state":   {func(c *net.UnixConn) { Decode(c); sendState(c, len(state)/2) }, false},
		"the state":           {func(c *net.UnixConn) { Decode(c); sendState(c, len(state)) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "x.sock")
			l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			died := make(chan struct{})
			go func() {
				defer close(died)
				if c, err := l.AcceptUnix(); err == nil {
					dies.after(c)
					c.Close()
				}
			}()
			start := time.Now()
			p, err := Request(path, "n0", shared.addr(), false)
			if elapsed := time.Since(start); elapsed > 2*requestTimeout {
				t.Errorf("it took %v", elapsed)
			}
			if (err == nil) != dies.complete {
				t.Fatalf("%v", err)
			}
			<-died
			if p != nil {
				p.Follow(func(Members) {}, func(Key, uint64) {}, func(float64) {}) // returns at once
				p.ReportServing()                                                  // there is no acknowledgement
				p.Listener.Close()
			}
			c, err := net.Dial("tcp", shared.addr()) // the shared listener still accepts
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
		})
	}
}

// fdOf returns a file's descriptor without changing its mode.
func fdOf(t *testing.T, f *os.File) (n uintptr) {
	t.Helper()
	raw, err := f.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { n = fd }); err != nil {
		t.Fatal(err)
	}
	return n
}

// A process requests the handover while another one replaces the socket at the path, and the
// listener it was connected to is closed before the connection is accepted. It gets the state of
// the process that listens at the path now.
func TestRequestWhilePathIsReplaced(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	replaced, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer replaced.Close()
	replaced.SetUnlinkOnClose(false)
	type answer struct {
		p   *Predecessor
		err error
	}
	answered := make(chan answer, 1)
	go func() {
		p, err := Request(path, "n0", h.addr(), false)
		answered <- answer{p, err}
	}()
	raw, err := replaced.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	pollFds := []unix.PollFd{{Events: unix.POLLIN}}
	if err := raw.Control(func(fd uintptr) {
		pollFds[0].Fd = int32(fd)
		unix.Poll(pollFds, int(requestTimeout/time.Millisecond))
	}); err != nil || pollFds[0].Revents == 0 {
		t.Fatal("no connection is in the queue", err)
	}
	startOfferer(t, path, h)
	replaced.Close()
	a := receive(t, "the answer", answered)
	if a.err != nil {
		t.Fatalf("no state is handed over although a process serves: %v", a.err)
	}
	a.p.Listener.Close()
	a.p.Close()
	receive(t, "the end of the successor", h.ended)
}

// The state and the listener arrive while the new process is stalled, for longer than its timeout,
// and the predecessor ends. The new process gets both, and connections in the listener's queue are
// not reset.
func TestStateReceivedAfterStall(t *testing.T) {
	h := newHost(t)
	state, err := Encode(&Record{Kind: KindState, Part: 0.5, State: h.state})
	if err != nil {
		t.Fatal(err)
	}
	file, err := h.listener.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	path := filepath.Join(t.TempDir(), "x.sock")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	asker, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer asker.Close()
	predecessor, err := l.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := predecessor.WriteMsgUnix(state, syscall.UnixRights(int(fdOf(t, file))), nil); err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", h.addr())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	file.Close()
	h.listener.Close()
	deadline := time.Now().Add(-time.Second) // the read deadline, which has expired
	p, err := exchangeHello(asker, &Record{Kind: KindHello, Name: "n0", Listen: h.addr()}, deadline)
	if err != nil {
		t.Fatalf("the listener is lost, read after the deadline: %v", err)
	}
	defer p.Listener.Close()
	predecessor.Close()
	c, err := p.Listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	if _, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection in the queue: %v", err)
	}
}
