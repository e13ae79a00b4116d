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

// A new process that dies at any step of the handover leaves the old one as it
// was, for the next one to ask.
func TestSuccessorDiesAtEachStep(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	offer(t, path, h)
	hello, err := Encode(&Record{Kind: KindHello, Name: "n0", Listen: h.addr()})
	if err != nil {
		t.Fatal(err)
	}
	serving, err := Encode(&Record{Kind: KindServing})
	if err != nil {
		t.Fatal(err)
	}
	for name, dies := range map[string]struct {
		after func(c *net.UnixConn)
		asked bool // it was given something
	}{
		"connected":           {func(*net.UnixConn) {}, false},
		"half a hello":        {func(c *net.UnixConn) { c.Write(hello[:len(hello)/2]) }, false},
		"hello":               {func(c *net.UnixConn) { c.Write(hello) }, true},
		"half of the state":   {func(c *net.UnixConn) { c.Write(hello); c.Read(make([]byte, 20)) }, true},
		"the state":           {func(c *net.UnixConn) { c.Write(hello); Decode(c) }, true},
		"half a serving":      {func(c *net.UnixConn) { c.Write(hello); Decode(c); c.Write(serving[:5]) }, true},
		"serving":             {func(c *net.UnixConn) { c.Write(hello); Decode(c); c.Write(serving) }, true},
		"something senseless": {func(c *net.UnixConn) { c.Write(hello); Decode(c); c.Write(make([]byte, 100)) }, true},
	} {
		c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		dies.after(c)
		c.Close()
		if dies.asked {
			await(t, "the end of one that died after "+name, h.ended)
		}
		p, err := Request(path, "n0", h.addr(), false)
		if err != nil {
			t.Fatalf("after one that died after %s: %v", name, err)
		}
		p.Listener.Close()
		p.Close()
		await(t, "the end of the next one", h.ended)
	}
}

// An old process that dies at any step costs the new one a second at most: it has
// either all, or starts from nothing.
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
	give := func(c *net.UnixConn, n int) { c.WriteMsgUnix(state[:n], syscall.UnixRights(int(fdOf(t, file))), nil) }
	for name, dies := range map[string]struct {
		after func(c *net.UnixConn)
		all   bool
	}{
		"it was connected to": {func(*net.UnixConn) {}, false},
		"the hello":           {func(c *net.UnixConn) { Decode(c) }, false},
		"the descriptor":      {func(c *net.UnixConn) { Decode(c); give(c, 1) }, false},
		"half of the state":   {func(c *net.UnixConn) { Decode(c); give(c, len(state)/2) }, false},
		"the state":           {func(c *net.UnixConn) { Decode(c); give(c, len(state)) }, true},
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
			begun := time.Now()
			p, err := Request(path, "n0", shared.addr(), false)
			if took := time.Since(begun); took > 2*askPatience {
				t.Errorf("it took %v", took)
			}
			if (err == nil) != dies.all {
				t.Fatalf("%v", err)
			}
			<-died
			if p != nil {
				p.Follow(func(Members) {}, func(Key, uint64) {}, func(float64) {}) // ends at once
				p.ReportServing()                                                  // nobody hears it
				p.Listener.Close()
			}
			c, err := net.Dial("tcp", shared.addr()) // the listener is as it was
			if err != nil {
				t.Fatal(err)
			}
			c.Close()
		})
	}
}

// fdOf is a file's descriptor, left as it is.
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

// A process asks as another one takes the path, and the listener that it was connected to is
// closed before anybody accepts from it: it is given what the one that has the path now has.
func TestAskedAsThePathIsTaken(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	before, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer before.Close()
	before.SetUnlinkOnClose(false)
	type answer struct {
		p   *Predecessor
		err error
	}
	answered := make(chan answer, 1)
	go func() {
		p, err := Request(path, "n0", h.addr(), false)
		answered <- answer{p, err}
	}()
	raw, err := before.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	waits := []unix.PollFd{{Events: unix.POLLIN}}
	if err := raw.Control(func(fd uintptr) {
		waits[0].Fd = int32(fd)
		unix.Poll(waits, int(askPatience/time.Millisecond))
	}); err != nil || waits[0].Revents == 0 {
		t.Fatal("nobody stands in the queue", err)
	}
	offer(t, path, h)
	before.Close()
	a := await(t, "the answer", answered)
	if a.err != nil {
		t.Fatalf("it starts from nothing beside a process that serves: %v", a.err)
	}
	a.p.Listener.Close()
	a.p.Close()
	await(t, "its end", h.ended)
}

// The state and the listener come while the new process stands still, longer than it waits for
// them, and the one before ends: the new one has both, and who stands in the queue is not reset.
func TestGivenWhileStoodStill(t *testing.T) {
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
	before, err := l.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := before.WriteMsgUnix(state, syscall.UnixRights(int(fdOf(t, file))), nil); err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", h.addr())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	file.Close()
	h.listener.Close()
	stoodStill := time.Now().Add(-time.Second) // until when it had waited
	p, err := talk(asker, &Record{Kind: KindHello, Name: "n0", Listen: h.addr()}, stoodStill)
	if err != nil {
		t.Fatalf("the listener is lost: %v", err)
	}
	defer p.Listener.Close()
	before.Close()
	c, err := p.Listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	if _, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("who stood in the queue: %v", err)
	}
}
