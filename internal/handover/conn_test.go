package handover

import (
	"context"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"spokegw/internal/discovery"
	"spokegw/internal/keyed"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var maps = ServiceRef{Service: "maps"}

// host is a process that hands over.
type host struct {
	t        *testing.T
	listener *net.TCPListener
	state    *State

	served chan struct{}
	parts  chan float64
	ended  chan struct{}
	keys   chan Key
}

func newHost(t *testing.T) *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &host{t: t, listener: l.(*net.TCPListener), state: &State{Services: []Service{{ServiceRef: maps, Members: Members{Version: 7, Full: true, Entries: []discovery.Entry{{ID: "s-1", Addr: "a", State: "leaving"}}}}}, IDs: IDs{Key: 3, Hashes: []uint64{1, 2}}},
		served: make(chan struct{}, 8), parts: make(chan float64, 8), ended: make(chan struct{}, 8), keys: make(chan Key, 8)}
}

func (h *host) addr() string { return h.listener.Addr().String() }

func (h *host) Offer() (*State, float64, *os.File, error) {
	f, err := h.listener.File()
	return h.state, 0.5, f, err
}
func (h *host) SuccessorReady()                                 { h.served <- struct{}{} }
func (h *host) SuccessorShareChanged(part float64, handed bool) { h.parts <- part }
func (h *host) SuccessorEnded()                                 { h.ended <- struct{}{} }
func (h *host) SuccessorKey(k Key)                              { h.keys <- k }

// offer has a host wait at a path for the length of a test.
func offer(t *testing.T, path string, h *host) *Offerer {
	t.Helper()
	o := NewOfferer(path, "n0", h.addr(), h)
	ctx, cancel := context.WithCancel(context.Background())
	var going sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		going.Wait()
	})
	if err := o.Offer(ctx, &going); err != nil {
		t.Fatal(err)
	}
	return o
}

func await[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatalf("waited in vain for %s", what)
	}
	return v
}

func TestHandover(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	o := offer(t, path, h)
	p, err := Request(path, "n0", h.addr(), false)
	if err != nil {
		t.Fatal(err)
	}
	of := p.State.Find(maps)
	if p.Share != 0.5 || of == nil || of.Members.Version != 7 || of.Members.Entries[0].State != "leaving" || len(p.State.IDs.Hashes) != 2 {
		t.Errorf("part %v, state %+v", p.Share, p.State)
	}
	if p.Listener.Addr().String() != h.addr() {
		t.Errorf("the listener is at %v", p.Listener.Addr())
	}
	defer p.Listener.Close()
	told, keys := make(chan Members, 1), make(chan Key, 1)
	parts := make(chan float64, 1)
	followed := make(chan struct{})
	go func() {
		p.Follow(func(m Members) { told <- m }, func(k Key, _ uint64) { keys <- k }, func(part float64) { parts <- part })
		close(followed)
	}()
	if err := p.ReportServing(); err != nil {
		t.Fatal(err)
	}
	await(t, "the word that it serves", h.served)
	p.SendShare(0.25, true)
	if part := await(t, "its part", h.parts); part != 0.25 {
		t.Errorf("part %v", part)
	}
	o.SendMembers(Members{Version: 8, Entries: []discovery.Entry{{ID: "s-2"}}})
	if m := await(t, "what discovery told", told); m.Version != 8 || m.Entries[0].ID != "s-2" {
		t.Errorf("%+v", m)
	}
	o.SendKey(Key{ServiceRef: maps, Note: keyed.Note{Key: 9, Cell: 4}})
	if k := await(t, "a keyed request", keys); !k.Is(maps) || k.Key != 9 || k.Cell != 4 {
		t.Errorf("%+v", k)
	}
	o.SendShare(0.125)
	await(t, "the part of the one before", parts)
	if _, err := Request(path, "n0", h.addr(), false); err == nil {
		t.Error("a second successor was given something while the first is there")
	}
	p.Close()
	await(t, "the end of the successor", h.ended)
	<-followed
	again, err := Request(path, "n0", h.addr(), false) // the path is the host's again
	if err != nil {
		t.Fatal(err)
	}
	again.Listener.Close()
	again.Close()
	await(t, "the end of the next successor", h.ended)
}

// frame is a record's bytes, right but for what is asked of it.
func frame(version uint16, length uint32, body []byte, sum uint32) []byte {
	b := binary.BigEndian.AppendUint16([]byte(magic), version)
	b = binary.BigEndian.AppendUint32(b, length)
	return append(binary.BigEndian.AppendUint32(b, sum), body...)
}

// A peer that lies, hangs, is of another version or dies midway costs a second
// at most, and nothing is taken from it.
func TestBadPredecessors(t *testing.T) {
	hello := []byte(`{"Kind":"state","Part":0.5,"State":{}}`)
	sum := crc32.ChecksumIEEE(hello)
	for name, answer := range map[string][]byte{
		"hangs":            nil,
		"no listener":      frame(Version, uint32(len(hello)), hello, sum),
		"another version":  frame(Version+1, uint32(len(hello)), hello, sum),
		"wrong checksum":   frame(Version, uint32(len(hello)), hello, sum+1),
		"too long":         frame(Version, MaxRecord+1, hello, sum),
		"dies midway":      frame(Version, uint32(len(hello)+50), hello, sum),
		"something else":   []byte("HTTP/1.1 200 OK\r\n\r\n"),
		"part of a head":   []byte("SG"),
		"a part of nought": frame(Version, 31, []byte(`{"Kind":"state","Part":0,"S":{}}`)[:31], 0),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "x.sock")
			l, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				Decode(c)
				c.Write(answer)
				if answer == nil {
					io.Copy(io.Discard, c) // until it is given up
				}
			}()
			begun := time.Now()
			if p, err := Request(path, "n0", "127.0.0.1:1", false); err == nil {
				t.Errorf("%+v was taken", p)
			}
			if took := time.Since(begun); took > 2*askPatience {
				t.Errorf("it took %v", took)
			}
		})
	}
}

// Whoever asks for another sidecar, or speaks badly, is given nothing, and the
// next one is heard.
func TestBadSuccessors(t *testing.T) {
	h := newHost(t)
	path := Path(t.TempDir(), h.addr())
	offer(t, path, h)
	for _, text := range []string{"", "x", strings.Repeat("SGWH", 1000)} {
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		c.Close()
	}
	if _, err := Request(path, "another", h.addr(), false); err == nil {
		t.Error("a sidecar of another name was given something")
	}
	p, err := Request(path, "n0", h.addr(), false)
	if err != nil {
		t.Fatal(err)
	}
	p.Listener.Close()
	p.Close()
	await(t, "the end of the successor", h.ended)
}

func TestNobody(t *testing.T) {
	dir := t.TempDir()
	path := Path(dir, "127.0.0.1:8080")
	if _, err := Request(path, "n0", "127.0.0.1:8080", false); !errors.Is(err, ErrNoProcess) {
		t.Errorf("%v", err)
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	l.Close() // as of a process that was killed
	if _, err := Request(path, "n0", "127.0.0.1:8080", false); !errors.Is(err, ErrNoProcess) {
		t.Errorf("a dead process: %v", err)
	}
	h := newHost(t)
	offer(t, path, h)
	os.Remove(path)
	if err := os.WriteFile(path, []byte("somebody's"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Request(path, "n0", "127.0.0.1:8080", false); err == nil || errors.Is(err, ErrNoProcess) {
		t.Errorf("a file: %v", err)
	}
	if err := NewOfferer(path, "n0", "x", h).Offer(t.Context(), new(sync.WaitGroup)); err == nil {
		t.Error("a file of somebody's was replaced")
	}
	if Path(dir, "127.0.0.1:0") != "" || Path("", "127.0.0.1:1") != "" {
		t.Error("there is a path where processes can't find each other")
	}
}

// A folder whose name does not fit into a socket's address will do.
func TestLongPath(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 100), strings.Repeat("e", 100))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	h := newHost(t)
	path := Path(dir, h.addr())
	offer(t, path, h)
	p, err := Request(path, "n0", h.addr(), false)
	if err != nil {
		t.Fatal(err)
	}
	p.Listener.Close()
	p.Close()
	await(t, "the end of the successor", h.ended)
}

func FuzzDecode(f *testing.F) {
	for _, r := range []*Record{
		{Kind: KindHello, Name: "n0", Listen: "127.0.0.1:1"}, {Kind: KindServing}, {Kind: KindPart, Part: 0.5},
		{Kind: KindState, Part: 0.5, State: &State{IDs: IDs{1, []uint64{2}}}}, {Kind: KindMembers, Members: &Members{Version: 1}},
	} {
		b, err := Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)-1])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(strings.NewReader(string(b)))
		if err != nil {
			return
		}
		again, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(strings.NewReader(string(again))); err != nil {
			t.Fatalf("what was read can't be read again: %v", err)
		}
	})
}
