package trial

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Misbehaving clients hide requests in bodies whose end can be read in two ways, and send the ids of
// requests that are open. They are owed an error or a close, and nothing of them may run.
const (
	misbehavingPause = 600 * time.Millisecond // the mean between two offences of a client
	reuseOneIn       = 4                      // offences reuse an id; the others hide a request
	// refusedWithin is how long such a client waits for an error or a close.
	refusedWithin = 3 * time.Second
	// An id is reused of a request whose body has leastOpenBody to mostOpenBody bytes, sent at slowRate.
	leastOpenBody, mostOpenBody = 200_000, 450_000
	// floodClients send floodRequests among them, once in a run, while a body of floodBody bytes is sent and before
	// its id is reused again.
	floodClients, floodRequests, floodBody = 48, 9_600, 2_000_000
)

// misbehaving is a client that violates the protocol.
type misbehaving struct {
	client
	flooded bool
}

func (p *play) newMisbehaving(sidecar int) *misbehaving {
	name := fmt.Sprintf("%d-%d-bad", p.Seed, sidecar)
	// One of them floods: the ids of as many requests in all sidecars would need this machine's processors.
	return &misbehaving{client: client{play: p, sidecar: sidecar, rng: rand.New(rand.NewPCG(p.Seed, uint64(sidecar)+1<<34)), name: name}, flooded: sidecar != 0}
}

func (m *misbehaving) run(ctx context.Context) {
	for wait(ctx, time.Duration(m.rng.ExpFloat64()*float64(misbehavingPause))) {
		if m.rng.IntN(reuseOneIn) == 0 {
			m.reuseID(ctx)
		} else {
			m.hideRequest(m.rng.IntN(len(hidingForms)), m.rng.IntN(2) == 0)
		}
	}
}

// hidingForm is a form of a request whose end is in doubt: what follows its head is its body to one
// reader, and a request of its own to another.
type hidingForm struct {
	name    string
	version string
	fields  string // of the head, instead of a plain length
	before  string // between the head and the hidden request
}

var hidingForms = []hidingForm{
	{"chunked in 1.0", "1.0", "Transfer-Encoding: chunked\r\n", ""},
	{"chunked in 1.0, kept alive", "1.0", "Transfer-Encoding: chunked\r\nConnection: keep-alive\r\n", ""},
	{"chunked in 1.0 with an end", "1.0", "Transfer-Encoding: chunked\r\nConnection: keep-alive\r\n", "0\r\n\r\n"},
	{"length and coding", "1.1", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
	{"coding and length", "1.1", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n", ""},
	{"two lengths", "1.1", "Content-Length: 0\r\nContent-Length: 400\r\n", ""},
	{"a list of lengths", "1.1", "Content-Length: 0, 400\r\n", ""},
	{"a signed length", "1.1", "Content-Length: +0\r\n", ""},
	{"another coding", "1.1", "Transfer-Encoding: identity\r\n", ""},
	{"a coding behind chunked", "1.1", "Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n"},
	{"an unreadable coding", "1.1", "Transfer-Encoding: \x0bchunked\r\n", "0\r\n\r\n"},
	{"a space behind the name", "1.1", "Transfer-Encoding : chunked\r\n", "0\r\n\r\n"},
	{"a folded coding", "1.1", "Transfer-Encoding:\r\n chunked\r\n", "0\r\n\r\n"},
	{"two codings", "1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n"},
	{"a chunk with a sign", "1.1", "Transfer-Encoding: chunked\r\n", "+0\r\n\r\n"},
	{"a chunk in C notation", "1.1", "Transfer-Encoding: chunked\r\n", "0x0\r\n\r\n"},
	{"a length in 1.0 and a coding", "1.0", "Content-Length: 0\r\nTransfer-Encoding: chunked\r\nConnection: keep-alive\r\n", ""},
}

// hideRequest sends a request of a form with another behind its head, on a new connection or on a kept
// one. No request is open behind which the other could wait, so it may not run; nor may the first be
// served. The judge knows no request by the hidden id, so that any attempt of it is a violation.
func (m *misbehaving) hideRequest(form int, kept bool) {
	side := m.play.sidecars[m.sidecar]
	if !m.connect(side) {
		return
	}
	defer m.close()
	if kept && !m.askFirst() {
		return
	}
	f := hidingForms[form]
	m.n++
	id := fmt.Sprintf("%s-%d", m.name, m.n)
	k := m.play.classes()[orderClass]
	m.play.judge.begins(id, &sent{sidecar: m.sidecar, class: orderClass, at: time.Now(), deadline: k.deadline})
	head, _, _ := strings.Cut(request(id, k), "Content-Length")
	head = strings.Replace(head, "HTTP/1.1", "HTTP/"+f.version, 1) + f.fields + "\r\n"
	hidden := request(id+"-hidden", k)
	begun := time.Now()
	if _, err := io.WriteString(m.conn, head+f.before+hidden); err != nil {
		return
	}
	m.conn.SetReadDeadline(begun.Add(refusedWithin + answerSlack + m.play.judge.slack()))
	status, _, _, err := m.answer()
	switch {
	case err == nil && status < http.StatusBadRequest:
		m.play.judge.breaks(Lost, sure, "%s: a request whose end is in doubt (%s, on a kept connection: %t) was answered %d", id, f.name, kept, status)
	case errors.Is(err, os.ErrDeadlineExceeded) && !side.done.Cut(m.begun, time.Now()):
		m.play.judge.breaks(Lost, m.play.judge.lateSince(begun), "%s: a request whose end is in doubt (%s) got neither an error nor a close", id, f.name)
	}
}

// askFirst sends a sound request, and reports whether its connection can be used again.
func (m *misbehaving) askFirst() bool {
	m.ask(0, 1)
	return m.conn != nil
}

func (m *misbehaving) close() {
	if m.conn != nil {
		m.drop()
	}
}

// openRequest is a request whose body is still being sent.
type openRequest struct {
	conn  net.Conn
	ended atomic.Bool // it was answered or its connection ended, as its client saw
}

// await notes when the request is answered. It ends with the connection.
func (o *openRequest) await() {
	bufio.NewReader(o.conn).ReadByte()
	o.ended.Store(true)
}

// write sends a body at slowRate until stop is closed or the connection ends.
func (o *openRequest) write(length int, stop <-chan struct{}) {
	piece := make([]byte, int(slowRate*slowPiece/time.Second))
	for sent := 0; sent < length; sent += len(piece) {
		select {
		case <-stop:
			return
		case <-time.After(slowPiece):
		}
		if _, err := o.conn.Write(piece[:min(len(piece), length-sent)]); err != nil {
			return
		}
	}
}

// reuseID sends a request with a long body, and while that is sent others with its id.
func (m *misbehaving) reuseID(ctx context.Context) {
	side := m.play.sidecars[m.sidecar]
	floods := !m.flooded && side.busy.TryLock() // a process that is told to end would end the open request, too
	if floods {
		defer side.busy.Unlock()
	}
	conn, err := net.DialTimeout("tcp", side.listen, dialWithin)
	if err != nil {
		return
	}
	defer conn.Close()
	m.n++
	id := fmt.Sprintf("%s-%d", m.name, m.n)
	k := m.play.classes()[orderClass]
	m.play.judge.begins(id, &sent{sidecar: m.sidecar, class: orderClass, deadline: k.deadline})
	length := leastOpenBody + m.rng.IntN(mostOpenBody-leastOpenBody)
	if floods {
		length = floodBody
	}
	if _, err := io.WriteString(conn, uploadHead(id, k, uploadPlan{length: length})); err != nil {
		return
	}
	open := &openRequest{conn: conn}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(open.await)
	running.Go(func() { open.write(length, stop) })
	defer func() {
		close(stop)
		conn.Close()
		running.Wait()
	}()
	if !wait(ctx, span(m.rng, 200*time.Millisecond, 1500*time.Millisecond)) {
		return
	}
	m.sendReused(id, k, open)
	if !floods {
		return
	}
	m.flooded = true
	m.flood(ctx, open)
	m.sendReused(id, k, open)
}

// sendReused sends a request with the id of another. It may not be served while that is open.
func (m *misbehaving) sendReused(id string, k class, open *openRequest) {
	side := m.play.sidecars[m.sidecar]
	if open.ended.Load() || !m.connect(side) {
		return
	}
	defer m.close()
	begun := time.Now()
	if _, err := io.WriteString(m.conn, request(id, k)); err != nil {
		return
	}
	m.conn.SetReadDeadline(begun.Add(refusedWithin + answerSlack + m.play.judge.slack()))
	status, _, _, err := m.answer()
	switch {
	case open.ended.Load(): // it may have ended before this request was read
	case err == nil && status < http.StatusBadRequest:
		m.play.judge.breaks(Lost, sure, "%s: the id of an open request was answered %d", id, status)
	case errors.Is(err, os.ErrDeadlineExceeded) && !side.done.Cut(m.begun, time.Now()):
		m.play.judge.breaks(Lost, m.play.judge.lateSince(begun), "%s: the id of an open request got neither an error nor a close", id)
	}
}

// flood sends many sound requests, so that what is remembered by count is forgotten.
func (m *misbehaving) flood(ctx context.Context, open *openRequest) {
	var clients sync.WaitGroup
	var asked atomic.Int64
	for i := range floodClients {
		c := &client{play: m.play, sidecar: m.sidecar, rng: rand.New(rand.NewPCG(m.play.Seed, uint64(i)+1<<35)), name: fmt.Sprintf("%s-flood-%d", m.name, i)}
		clients.Go(func() {
			for n := 0; n < floodRequests/floodClients && ctx.Err() == nil && !open.ended.Load(); n++ {
				c.ask(0, 2)
				asked.Add(1)
			}
			if c.conn != nil {
				c.drop()
			}
		})
	}
	clients.Wait()
	m.play.note("%s: %d requests sent while the id of another is open; open still: %t", m.name, asked.Load(), !open.ended.Load())
}
