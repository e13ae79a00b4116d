package federation

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"spokegw/internal/lab/process"
)

// beginLate is how long clients wait for the processor as they begin.
const beginLate = 100 * time.Millisecond

// holdProcessor leaves one processor, and keeps it busy for as long as clients are to begin late.
// The function that it returns gives the others back.
func holdProcessor() (restore func()) {
	before := runtime.GOMAXPROCS(1)
	until := time.Now().Add(beginLate)
	for range 4 { // the clients queue up behind them
		go func() {
			for time.Now().Before(until) {
			}
		}()
	}
	return func() { runtime.GOMAXPROCS(before) }
}

// silentGateway is one whose process takes requests and answers none.
type silentGateway struct {
	*Gateway
	listener net.Listener
	came     chan struct{} // closed when the first request has come

	mu          sync.Mutex
	connections []net.Conn
	dead        bool
}

func newSilentGateway(t *testing.T, f *Federation) *silentGateway {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &silentGateway{Gateway: &Gateway{Number: len(f.Gateways), of: f, listen: l.Addr().String()}, listener: l, came: make(chan struct{})}
	t.Cleanup(s.dies)
	s.load = s.newLoad()
	f.Gateways = append(f.Gateways, s.Gateway)
	go s.serve()
	return s
}

// serve takes connections until the listener is closed.
func (s *silentGateway) serve() {
	var first sync.Once
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.connections = append(s.connections, c); s.dead {
			reset(c)
		}
		s.mu.Unlock()
		go func() { // it ends with the connection
			if _, err := c.Read(make([]byte, 1)); err == nil {
				first.Do(func() { close(s.came) })
			}
		}()
	}
}

// dies resets the connections and takes no new ones.
func (s *silentGateway) dies() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
	for _, c := range s.connections {
		reset(c)
	}
}

func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// Clients come to the processor long after they are told to begin. A request that a kill cuts off
// counts as one of a process that was killed, all the same.
func TestCutOffByAKillThoughClientsBeginLate(t *testing.T) {
	f := &Federation{begun: time.Now(), keys: map[string]run{}}
	g := newSilentGateway(t, f)
	for range 10 { // the clients that are begun last run first; they ask for nothing
		newSilentGateway(t, f)
	}
	g.Ask(200)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	restore := holdProcessor()
	go func() {
		defer stop()
		<-g.came
		restore()
		g.disturb(process.Killed)
		g.dies()
		g.done.HasEnded()
	}()
	f.Ask(ctx)
	if tally := f.Tally(); tally.Failed > 0 || tally.Lost == 0 {
		t.Errorf("%+v: all that was asked was cut off by the kill", tally)
	}
}
