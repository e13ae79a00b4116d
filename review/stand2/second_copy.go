package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["second-copy"] = secondCopy }

const (
	copyClients = 60
	copyPause   = 100 * time.Millisecond // the mean between two requests of a client
	copyOneIn   = 10                     // answers that come twice
	copyLasts   = 90 * time.Second
)

// unruly is an endpoint of which some answers come a second time, some milliseconds late, when
// nothing else waits on the connection.
type unruly struct {
	copies *atomic.Int64
	play   *play
}

// waits reports whether anything waits on a connection, or it has ended.
func waits(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	something := false
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		something = n > 0 || err != syscall.EAGAIN
	})
	return something
}

// readable blocks until something waits on a connection, and reads nothing of it; false: it has ended.
func readable(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	something := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		something = n > 0
		return err != syscall.EAGAIN && err != syscall.EINTR
	})
	return err == nil && something
}

// serve serves the requests of one connection. What waits stays in the socket until the mutex is held.
func (u *unruly) serve(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var mu sync.Mutex // held from a request's first byte to its answer, and while a copy is written
	for {
		if !readable(c) {
			return
		}
		mu.Lock()
		req, err := http.ReadRequest(r)
		if err != nil {
			mu.Unlock()
			return
		}
		io.Copy(io.Discard, req.Body)
		time.Sleep(2 * time.Millisecond)
		body := "the answer to " + req.Header.Get("Req-Id")
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		_, err = io.WriteString(c, text)
		mu.Unlock()
		if err != nil {
			return
		}
		if !u.play.trouble || rand.IntN(copyOneIn) > 0 {
			continue
		}
		late := 4*time.Millisecond + rand.N(8*time.Millisecond)
		time.AfterFunc(late, func() {
			if !mu.TryLock() {
				return // the next request is being served
			}
			defer mu.Unlock()
			if !waits(c) {
				io.WriteString(c, text)
				u.copies.Add(1)
			}
		})
	}
}

// secondCopy: some answers of endpoints come twice.
func secondCopy(p *play) error {
	var copies, served, refused atomic.Int64
	var entries []entry
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		entries = append(entries, entry{ID: fmt.Sprintf("m-%d", i), Addr: l.Addr().String(), Zone: "hall", Kind: "std", Cell: i, State: "active", Weight: 1})
		u := &unruly{copies: &copies, play: p}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go u.serve(c.(*net.TCPConn))
			}
		}()
	}
	d, err := newDiscovery(5, entries)
	if err != nil {
		return err
	}
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	c := &config{Name: "n0", Listen: addr, Discovery: d.addr, Seed: "8d1f", Limits: machine, Known: d.whole(), Settings: settings(
		map[string]any{"name": "tile", "effect": "read_like", "key_scope": "all", "dedup_window_ms": 5000.0, "aim_ms": 400.0, "hard_limit_ms": 1200.0, "late_worth": 0.5, "worth": 1.0, "stream": false},
	)}
	path, err := p.writeConfig(c.Name, c)
	if err != nil {
		return err
	}
	if _, err := p.startSidecar(c, path); err != nil {
		return err
	}
	defer p.copyLog(c.Name, 3000)
	stop := time.Now().Add(copyLasts)
	var usual sync.WaitGroup
	for range copyClients {
		usual.Go(func() {
			var c *conn
			for time.Now().Before(stop) {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(copyPause)))
				r := &request{method: "GET", class: "tile", id: newID(), user: "u1", deadline: 1200 * time.Millisecond}
				var a answer
				c, a = ask(c, addr, r)
				switch {
				case a.status == 200 && a.body == "the answer to "+r.id:
					served.Add(1)
				case a.status == 200:
					p.note("a client's GET %s: %v", r.id, a)
					p.breaks("GET %s was served with what belongs to another: %q", r.id, strings.TrimSpace(a.body))
				default:
					refused.Add(1)
				}
			}
		})
	}
	usual.Wait()
	p.note("%d requests were served, %d not; %d answers came twice", served.Load(), refused.Load(), copies.Load())
	if served.Load() < 9*refused.Load() {
		return fmt.Errorf("%d requests were served, %d not", served.Load(), refused.Load())
	}
	return nil
}
