package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// An id that comes again after its client has left runs once, at the same process and at the other one of an upgrade (report 035337).
func TestIDOfClientThatHasLeftRunsOnce(t *testing.T) {
	s := newSidecarFixture(t)
	arrived := make(chan string, 10)
	s.answerFunc = func(_ http.ResponseWriter, r *http.Request) bool {
		if id := r.Header.Get("Req-Id"); strings.HasPrefix(id, "left-") {
			arrived <- id
			<-r.Context().Done() // its client has left
		}
		return false
	}
	old := s.start()
	old.ready(t)
	atOld := []net.Conn{s.keptConnection(), s.keptConnection(), s.keptConnection(), s.keptConnection(), s.keptConnection()}
	send := func(c net.Conn, id string) { io.WriteString(c, requestHead(id)+"\r\n") }
	sendAndLeave := func(c net.Conn, id string) {
		send(c, id)
		if got := await(t, id, arrived); got != id {
			t.Fatalf("%s arrived", got)
		}
		c.Close()
	}
	expectRefusal := func(c net.Conn, id, where string) {
		t.Helper()
		send(c, id)
		if status, err := readStatus(c); err != nil || status < 400 || status >= 500 {
			t.Errorf("%s: status %d: %v", where, status, err)
		}
	}
	sendAndLeave(atOld[0], "left-same")
	expectRefusal(atOld[1], "left-same", "again at the same process")
	sendAndLeave(atOld[2], "left-before")
	s.start().ready(t)
	expectRefusal(s.dial(), "left-before", "before the upgrade, again at the new process")
	sendAndLeave(atOld[3], "left-old")
	expectRefusal(s.dial(), "left-old", "at the old process, again at the new one")
	sendAndLeave(s.dial(), "left-new")
	expectRefusal(atOld[4], "left-new", "at the new process, again at the old one")
	old.Signal(syscall.SIGTERM)
	await(t, "the old process to end", old.Ended)
	expectRefusal(s.dial(), "left-old", "again when the old process has ended")
}

// Guards against an id that the new process of an upgrade serves while its request, whose answer is read slowly, is open
// at the old one, and more others have come since than are remembered of ended ones.
func TestIDOpenAtOldProcessIsInUseAtNewOne(t *testing.T) {
	const answerBytes, others, workers = 24 << 20, 8300, 16
	s := newSidecarFixture(t)
	s.answerFunc = func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.HasPrefix(r.Header.Get("Req-Id"), "long-") {
			return false
		}
		w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
		w.Write(make([]byte, answerBytes))
		return true
	}
	s.start().ready(t)
	var long []net.Conn
	for _, id := range []string{"long-read", "long-unread"} {
		c := s.dial()
		io.WriteString(c, requestHead(id)+"\r\n")
		if _, err := io.ReadFull(c, make([]byte, 100)); err != nil { // its answer has begun
			t.Fatal(err)
		}
		long = append(long, c)
	}
	s.start().ready(t)
	var flood sync.WaitGroup
	for worker := range workers {
		flood.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: testTimeout}
			defer client.CloseIdleConnections()
			for i := worker; i < others; i += workers {
				r := s.request("map-tile")
				r.Header.Set("Req-Id", fmt.Sprint("other-", i))
				resp, err := client.Do(r)
				if err != nil {
					t.Errorf("another request: %v", err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
	flood.Wait()
	for _, id := range []string{"long-read", "long-unread"} {
		c := s.dial()
		io.WriteString(c, requestHead(id)+"\r\n")
		if status, err := readStatus(c); status != http.StatusConflict {
			t.Errorf("%s comes again at the new process: status %d, %v", id, status, err)
		}
	}
	if n, err := io.CopyN(io.Discard, long[0], answerBytes-100); err != nil {
		t.Errorf("the long answer ended after %d bytes: %v", n, err)
	}
}
