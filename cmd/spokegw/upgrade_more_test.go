package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A third process starts while two run, and a further upgrade follows immediately: no request fails.
func TestConcurrentUpgrades(t *testing.T) {
	s := newSidecarFixture(t)
	first := s.start()
	first.ready(t)
	stop := s.load(6, "map-tile")
	second := s.start()
	second.ready(t)
	third := s.start() // the first still runs
	third.ready(t)
	second.Signal(syscall.SIGTERM)
	first.Signal(syscall.SIGTERM)
	await(t, "the first process to end", first.Ended)
	await(t, "the second process to end", second.Ended)
	fourth := s.start()
	fourth.ready(t)
	third.Signal(syscall.SIGTERM)
	await(t, "the third process to end", third.Ended)
	if status := s.get("map-tile"); status != 200 {
		t.Errorf("status %d, want 200", status)
	}
	stop()
}

// The old process gets SIGTERM right after the handover request, before the new process
// is ready. In the next upgrade the old process is killed while the new one serves.
func TestOldProcessEndsEarly(t *testing.T) {
	s := newSidecarFixture(t)
	handoverLog := &logWatcher{text: "another process takes over", seen: make(chan struct{})}
	s.log = handoverLog
	old := s.start()
	s.log = os.Stderr
	old.ready(t)
	stop := s.load(4, "map-tile")
	next := s.start()
	await(t, "the old process to get the handover request", handoverLog.seen)
	old.Signal(syscall.SIGTERM)
	next.ready(t)
	await(t, "the old process to end", old.Ended)
	stop()
	last := s.start()
	last.ready(t)
	next.Kill()
	await(t, "the killed process to end", next.Ended)
	for range 20 {
		if status := s.get("map-tile"); status != 200 {
			t.Errorf("status %d, want 200", status)
		}
	}
}

// Repeated SIGHUPs during an upgrade: the last file is in force, no reload fails, and no
// request is lost.
func TestReloadsDuringUpgrade(t *testing.T) {
	s := newSidecarFixture(t)
	old := s.start()
	old.ready(t)
	stop := s.load(4, "map-tile")
	for i := range 10 {
		s.configure("map-tile", fmt.Sprint("class-", i))
		old.Signal(syscall.SIGHUP)
	}
	next := s.start()
	for i := range 10 {
		s.configure("map-tile", fmt.Sprint("class-", i))
		old.Signal(syscall.SIGHUP)
	}
	next.ready(t)
	old.Signal(syscall.SIGTERM)
	await(t, "the old process to end", old.Ended)
	next.Signal(syscall.SIGHUP)
	for until := time.Now().Add(testTimeout); ; {
		if s.get("class-9") == 200 {
			break
		}
		if time.Now().After(until) {
			t.Fatalf("the last configured class is not served:\n%s", next.ask(t, "show-stat"))
		}
	}
	if text := next.ask(t, "show-stat"); !strings.Contains(text, "node.config_reload_errors:0|c") {
		t.Errorf("%s", text)
	}
	stop()
}

// Requests in every state when the old process gets SIGTERM must complete: a connection
// in the accept queue, a partial request head, an answer that the endpoint has not
// finished, and an answer that the client has read in part.
func TestStopWithRequestsInEveryState(t *testing.T) {
	s := newSidecarFixture(t)
	long := bytes.Repeat([]byte("0123456789abcdef"), 1<<19)
	s.answerFunc = func(w http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("Req-Id") != "long" {
			return false
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(long)))
		w.Write(long) // an incomplete write shows in what the client reads
		return true
	}
	old := s.start()
	old.ready(t)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testTimeout))
		return c
	}
	request := func(id string) string {
		return fmt.Sprintf("GET /map-tile?user=k HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 4000m\r\n", id)
	}
	half, slow, kept := dial(), dial(), dial()
	io.WriteString(half, request("half"))
	io.WriteString(slow, request("slow")+"Req-Cost: 700000\r\n\r\n") // 0.7 s at the endpoint
	for round := range 2 {                                           // becomes an idle connection
		io.WriteString(kept, request(fmt.Sprint("kept-", round))+"\r\n")
		if status, _ := readStatus(kept); status != 200 {
			t.Fatalf("status %d, want 200", status)
		}
	}
	reading := dial()
	io.WriteString(reading, request("long")+"\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(reading), nil)
	if err != nil {
		t.Fatal(err)
	}
	read := make([]byte, len(long))
	if _, err := io.ReadFull(resp.Body, read[:len(long)/2]); err != nil {
		t.Fatal(err)
	}
	next := s.start()
	next.ready(t)
	var queued []net.Conn
	for i := range 40 {
		if i == 20 {
			old.Signal(syscall.SIGTERM)
		}
		queued = append(queued, dial())
	}
	for i, c := range queued {
		io.WriteString(c, request(fmt.Sprint("queued-", i))+"\r\n")
	}
	for i, c := range queued {
		if status, err := readStatus(c); status != 200 {
			t.Errorf("connection %d in the accept queue: status %d, %v", i, status, err)
		}
	}
	if _, err := io.ReadFull(resp.Body, read[len(long)/2:]); err != nil || !bytes.Equal(read, long) {
		t.Errorf("the answer that was read in part: %v", err)
	}
	io.WriteString(half, "\r\n")
	for name, c := range map[string]net.Conn{"the partial request head": half, "the unfinished answer": slow} {
		if status, err := readStatus(c); status != 200 {
			t.Errorf("%s: status %d, %v", name, status, err)
		}
	}
	await(t, "the old process to end", old.Ended)
}

// readStatus reads an answer and returns its status.
func readStatus(c net.Conn) (int, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// A new process whose management address is in use exits, and the old one is unaffected.
func TestUpgradeAddressTaken(t *testing.T) {
	s := newSidecarFixture(t)
	old := s.start()
	old.ready(t)
	next := s.startAt(old.Management)
	await(t, "the process without a management address to end", next.Ended)
	old.ready(t)
	if status := s.get("map-tile"); status != 200 {
		t.Errorf("status %d, want 200", status)
	}
}

// 200 clients read answers of 32 MB, at 64 kB a second, from a sidecar with 48 MB of
// memory: it stays within its memory limit, and each client gets the endpoint's bytes.
func TestLongAnswersInLittleMemory(t *testing.T) {
	const clients, size, limit = 200, 32 << 20, 48 << 20
	piece := make([]byte, 64<<10)
	for i := range piece {
		piece[i] = byte(i * 7)
	}
	s := newSidecarFixture(t)
	s.build()
	s.memory, s.sockets = limit>>20, 1024
	s.answerFunc = func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		for range size / len(piece) {
			if _, err := w.Write(piece); err != nil {
				return true
			}
		}
		return true
	}
	s.configure("map-tile")
	p := s.start()
	p.ready(t)
	var reading sync.WaitGroup
	var completed atomic.Int64
	for i := range clients {
		reading.Go(func() {
			c, err := net.Dial("tcp", s.listen)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			fmt.Fprintf(c, "GET /map-tile?user=k HTTP/1.1\r\nHost: b\r\nReq-Id: long-%d\r\nReq-Deadline: 4000m\r\n\r\n", i)
			resp, err := http.ReadResponse(bufio.NewReaderSize(c, 16), nil)
			if err != nil || resp.StatusCode != 200 || resp.ContentLength != size {
				t.Errorf("client %d: %v, %v", i, resp, err)
				return
			}
			buf := make([]byte, len(piece)/4)
			tick := time.NewTicker(250 * time.Millisecond) // 64 kB a second
			defer tick.Stop()
			for at := 0; at < 4*len(piece); at += len(buf) {
				if _, err := io.ReadFull(resp.Body, buf); err != nil || !bytes.Equal(buf, piece[at%len(piece):at%len(piece)+len(buf)]) {
					t.Errorf("client %d at byte %d: %v", i, at, err)
					return
				}
				<-tick.C
			}
			completed.Add(1)
		})
	}
	reading.Wait()
	_, peak := p.Memory()
	t.Logf("%d clients completed, peak memory %d of %d MB", completed.Load(), peak>>20, limit>>20)
	if peak == 0 || peak > limit {
		t.Errorf("peak memory is %d bytes, above the limit or not known", peak)
	}
}
