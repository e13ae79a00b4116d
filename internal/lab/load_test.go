package lab

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A gateway takes a keyed request on a connection that has served before, sends it on, and is
// killed: its client is told of a broken connection. It does not ask again by itself, or the
// request reaches the endpoints by the process that was started meanwhile too.
func TestLoadDoesNotAskAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var mu sync.Mutex
	came := map[string]int{} // by key
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					key := req.Header.Get("Idempotency-Key")
					mu.Lock()
					came[key]++
					again := came[key] > 1
					mu.Unlock()
					if n > 0 && !again {
						return // as a process that is killed
					}
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	for _, unread := range []bool{false, true} { // as a gateway that closes a connection that rests
		load := &Load{Method: http.MethodPost, Path: "/status-report", Keyed: true, Give: 10 * time.Second}
		if unread {
			load.Again = func(string, time.Time) bool { return true }
		}
		client := load.client()
		defer client.CloseIdleConnections()
		if r := load.ask(client, l.Addr().String()); r.Status != http.StatusOK {
			t.Fatalf("the first: %+v", r)
		}
		broken := load.ask(client, l.Addr().String())
		mu.Lock()
		keys, most := len(came), 0
		for _, n := range came {
			most = max(most, n)
		}
		clear(came)
		mu.Unlock()
		if again := most > 1; keys != 2 || again != unread || (broken.Status == http.StatusOK) != unread {
			t.Errorf("unread: %t: %d keys came, one of them %d times; of the second its client had %+v", unread, keys, most, broken)
		}
	}
}

// A gateway that ends closes all connections that rest, unread: a request that met two of them in turn had no answer.
func TestLoadAsksAgainByEachRestingConnection(t *testing.T) {
	var met, ended sync.WaitGroup
	met.Add(2)
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch n := requests.Add(1); {
		case n <= 2: // two connections are made
			met.Done()
			met.Wait()
		case n <= 4:
			panic(http.ErrAbortHandler) // as one that closes with nothing read
		}
	}))
	defer server.Close()
	load := &Load{Method: http.MethodPost, Path: "/status-report", Keyed: true, Give: 10 * time.Second, Again: func(string, time.Time) bool { return true }}
	client := load.client()
	defer client.CloseIdleConnections()
	addr := server.Listener.Addr().String()
	for range 2 {
		ended.Go(func() { load.ask(client, addr) })
	}
	ended.Wait()
	if r := load.ask(client, addr); r.Status != http.StatusOK || len(r.Sends) != 3 {
		t.Errorf("%+v", r)
	}
}

// A request that met the end of a resting connection was sent next on one that had been made meanwhile, which ended, too:
// it had no answer.
func TestLoadAsksAgainByAConnectionMadeMeanwhile(t *testing.T) {
	var requests atomic.Int64
	waits, made, ended := make(chan bool), make(chan bool), make(chan bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch requests.Add(1) {
		case 2: // on the connection that rested
			close(waits)
			<-made
			panic(http.ErrAbortHandler)
		case 4: // on the one made meanwhile
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	load := &Load{Method: http.MethodPost, Path: "/status-report", Keyed: true, Give: 10 * time.Second, Again: func(string, time.Time) bool { return true }}
	client := load.client()
	defer client.CloseIdleConnections()
	addr := server.Listener.Addr().String()
	load.ask(client, addr)
	go func() {
		defer close(ended)
		if r := load.ask(client, addr); r.Status != http.StatusOK || len(r.Sends) != 3 {
			t.Errorf("%+v", r)
		}
	}()
	<-waits
	load.ask(client, addr)
	close(made)
	<-ended
}
