package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

func readLike(name string, deadline time.Duration) scene.Class {
	return scene.Class{"name": name, "effect": "read_like", "worth": 1, "late_worth": 0.5, "aim_ms": 400, "hard_limit_ms": deadline.Milliseconds()}
}

func keyedClass(name string) scene.Class {
	return scene.Class{"name": name, "effect": "idempotency_key", "key_scope": "cell", "dedup_window_ms": 600, "worth": 1, "late_worth": 0.5, "aim_ms": 400, "hard_limit_ms": 5000}
}

// readStatus reads the status of the next answer on a connection.
func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

var requestID atomic.Int64

// send sends a request of a class, with a key unless it is empty.
func send(t *testing.T, addr, class, key string) net.Conn {
	t.Helper()
	c := connect(t, addr)
	method, extra := "GET", ""
	if key != "" {
		method, extra = "POST", "Idempotency-Key: "+key+"\r\nContent-Length: 0\r\n"
	}
	if _, err := fmt.Fprintf(c, "%s /%s?user=k HTTP/1.1\r\nHost: b\r\nReq-Id: t-%d\r\nReq-Deadline: 9000m\r\n%s\r\n", method, class, requestID.Add(1), extra); err != nil {
		t.Fatal(err)
	}
	return c
}

// A class is removed, and added again with another effect, while 100 of its requests are open:
// these end under the rules that accepted them, and new ones follow the new rules.
func TestClassDroppedWhileOpen(t *testing.T) {
	const open = 100
	arrived := make(chan struct{}, 4*open)
	s := startReady(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 2 * open, Seen: func(*http.Request) { arrived <- struct{}{} }}}})
	first := readLike("closure", 9*time.Second)
	if err := s.Retune(readLike("map-tile", time.Second), first); err != nil {
		t.Fatal(err)
	}
	s.Maps[0].Silence()
	var conns []net.Conn
	for range open {
		conns = append(conns, send(t, s.Addr(), "closure", ""))
	}
	for range open {
		<-arrived
	}
	if err := s.Retune(readLike("map-tile", time.Second)); err != nil {
		t.Fatal(err)
	}
	if status := readStatus(t, send(t, s.Addr(), "closure", "")); status != 400 {
		t.Errorf("a request of a removed class is answered %d", status)
	}
	if err := s.Retune(readLike("map-tile", time.Second), keyedClass("closure")); err != nil {
		t.Fatal(err)
	}
	if status := readStatus(t, send(t, s.Addr(), "closure", "")); status != 400 {
		t.Errorf("a request under the old rules of the class is answered %d", status)
	}
	keyed := send(t, s.Addr(), "closure", "a-key")
	<-arrived
	if text := must(t, s, "show-stat"); !strings.Contains(text, fmt.Sprintf("node.pending:%d|g", open+1)) {
		t.Errorf("want %d open requests:\n%s", open+1, text)
	}
	s.Maps[0].Speak()
	for _, c := range append(conns, keyed) {
		if status := readStatus(t, c); status != 200 {
			t.Errorf("an open request is answered %d", status)
		}
	}
	// The last request may be counted after its client has read the answer.
	want := fmt.Sprintf("node.downstream_requests.closure.completed:%d|c", open+1)
	for until := time.Now().Add(testTimeout); !strings.Contains(must(t, s, "show-stat"), want); <-time.After(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("want %s in\n%s", want, must(t, s, "show-stat"))
		}
	}
}

// 200 settings changes under load lose no request and leak no memory.
func TestManyChanges(t *testing.T) {
	s := startReady(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 64}, {Workers: 64}}})
	changing := readLike("map-tile", 9*time.Second)
	change := func(i int) {
		t.Helper()
		changing["worth"] = 1 + i%3 // the requested class changes too
		classes := []scene.Class{changing, readLike(fmt.Sprint("other-", i%5), time.Duration(i%7+1)*time.Second)}
		if i%2 == 0 {
			classes = append(classes, keyedClass(fmt.Sprint("other-", i%5, "-keyed")))
		}
		if err := s.Retune(classes...); err != nil {
			t.Fatal(err)
		}
		for before := s.Maps[0].Served(); s.Maps[0].Served() < before+3; { // requests are served under the new settings
			<-time.After(time.Millisecond)
		}
	}
	changes := func(n int) {
		t.Helper()
		load := tile("")
		load.Give, load.Rate = 8*time.Second, func(time.Duration) float64 { return 500 } // an open loop: at a higher rate than the processors can serve, it would exceed the limit of connections
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			load.Run(ctx, s.Addr(), 1)
			close(ended)
		}()
		for i := range n {
			change(i)
		}
		stop()
		<-ended
		for _, r := range load.Results() {
			if r.Status != 200 {
				t.Errorf("a request is answered %d after %v", r.Status, r.Took)
			}
		}
	}
	changes(20)
	before := heapAtRest()
	changes(200)
	// The heap also holds the ids of some 2,000 requests sent meanwhile.
	if grown := int64(heapAtRest()) - int64(before); grown > 600<<10 {
		t.Errorf("200 changes leaked %d bytes", grown)
	}
	if slots := s.Sidecar.ClassSlots(); slots > 12 {
		t.Errorf("%d slots for 3 classes", slots)
	}
}
