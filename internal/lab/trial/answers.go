package trial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Slow answers are asked for by clients of their own, each on a connection of its own. An endpoint that
// is sound writes them with pauses, in each framing.
const (
	readerPause     = 300 * time.Millisecond // the mean between two requests of a client
	leastSlowAnswer = 2_000                  // bytes
	mostSlowAnswer  = 800_000                // bytes
	longSlowAnswer  = 64 << 10               // bytes, from which on only the first ones are timed
	mostAnswerPause = 300 * time.Millisecond
	// beginReserve is how long before a request's deadline its endpoint has to write the first of a body, or all
	// of a short one, to be in time for certain.
	beginReserve = 250 * time.Millisecond
	// slowReadPause is between two reads of a client that reads slowly, of slowReadPiece bytes each.
	slowReadPause = 50 * time.Millisecond
	slowReadPiece = 20_000
)

// answerShape is how an endpoint writes an answer.
type answerShape int

const (
	shapeWhole     answerShape = iota // at once
	shapeSplitHead                    // its head in two pieces
	shapeLateBody                     // its body behind its head
	shapePauses                       // its body in pieces
	answerShapes
)

// answerFraming is how the end of an answer is told.
type answerFraming int

const (
	byLength answerFraming = iota
	inChunks
	untilClose
	answerFramings
)

// answerPlan is an answer that a client asks for.
type answerPlan struct {
	size    int
	shape   answerShape
	framing answerFraming
	pause   time.Duration
}

// slowUser begins the query of a request for a slow answer.
const slowUser = "slow"

func (a answerPlan) query() string {
	return fmt.Sprintf("%s-%d-%d-%d-%d", slowUser, a.size, a.shape, a.framing, a.pause.Milliseconds())
}

func parseAnswerPlan(query string) (a answerPlan, ok bool) {
	var ms int64
	n, _ := fmt.Sscanf(query, slowUser+"-%d-%d-%d-%d", &a.size, &a.shape, &a.framing, &ms)
	a.pause = time.Duration(ms) * time.Millisecond
	return a, n == 4 && a.size > 0 && a.size <= mostSlowAnswer && a.shape < answerShapes && a.framing < answerFramings && a.pause <= mostAnswerPause
}

// body is the one body that belongs to a request.
func (a answerPlan) body(id string) []byte {
	line := []byte(answerTo(id) + "\n")
	return bytes.Repeat(line, a.size/len(line)+1)
}

// pieces are head and body as they are written, with a pause before each but the first.
func (a answerPlan) pieces(id string) (all [][]byte) {
	body := a.body(id)
	head, coded := "HTTP/1.1 200 OK\r\nConnection: close\r\n", body
	switch a.framing {
	case byLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case inChunks:
		head += "Transfer-Encoding: chunked\r\n"
		coded = fmt.Appendf(nil, "%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(body)/2, body[:len(body)/2], len(body)-len(body)/2, body[len(body)/2:])
	}
	text := append([]byte(head+"\r\n"), coded...)
	headSize := len(head) + len("\r\n")
	switch a.shape {
	case shapeSplitHead:
		return [][]byte{text[:headSize/2], text[headSize/2:]}
	case shapeLateBody:
		return [][]byte{text[:headSize], text[headSize:]}
	case shapePauses:
		third := len(text) / 3
		return [][]byte{text[:third], text[third : 2*third], text[2*third:]}
	}
	return [][]byte{text}
}

// writtenAnswer is what an endpoint noted of a slow answer.
type writtenAnswer struct {
	endpoint string
	body     time.Time // when the first of its body is written, as planned
	end      time.Time // when it is whole, as planned
	cut      bool      // the sidecar closed the connection before that
	sound    bool      // the endpoint was in no trouble meanwhile
}

// writeSlowAnswer writes an answer as it was asked for, and notes what came of it.
func (e *endpoint) writeSlowAnswer(w http.ResponseWriter, id string, plan answerPlan) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	changes, inTrouble := e.troubles.changes.Load(), e.inTrouble()
	closed := make(chan struct{})
	go func() { // it ends with the connection
		defer close(closed)
		io.Copy(io.Discard, buffered)
	}()
	pieces := plan.pieces(id)
	note := writtenAnswer{endpoint: e.name, body: time.Now(), end: time.Now().Add(plan.pause * time.Duration(len(pieces)-1))}
	if plan.shape == shapeSplitHead || plan.shape == shapeLateBody {
		note.body = note.end
	}
	for i, piece := range pieces {
		if i > 0 {
			select {
			case <-closed:
				note.cut = true
			case <-time.After(plan.pause):
			}
		}
		if note.cut {
			break
		}
		if _, err := conn.Write(piece); err != nil {
			note.cut = true
			break
		}
	}
	if !note.cut {
		conn.(*net.TCPConn).CloseWrite()
	}
	note.sound = !inTrouble && changes == e.troubles.changes.Load()
	e.noteAnswer(id, note)
	if !note.cut {
		<-closed // what is unread would reset the connection
	}
}

// wroteAnswer records what an endpoint noted.
func (j *judge) wroteAnswer(id string, a writtenAnswer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers[id] = append(j.answers[id], a)
}

// writtenAnswers are what endpoints noted of a request.
func (j *judge) writtenAnswers(id string) []writtenAnswer {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.answers[id]
}

// unsoundAnswer reports whether any endpoint that answered a request was in trouble meanwhile.
func (j *judge) unsoundAnswer(id string) bool {
	return slices.ContainsFunc(j.writtenAnswers(id), func(a writtenAnswer) bool { return !a.sound })
}

// reader is a client that asks for slow answers, and reads some of them slowly.
type reader struct{ client }

func (p *play) newReader(sidecar int) *reader {
	name := fmt.Sprintf("%d-%d-down", p.Seed, sidecar)
	return &reader{client{play: p, sidecar: sidecar, rng: rand.New(rand.NewPCG(p.Seed, uint64(sidecar)+1<<33)), name: name}}
}

func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !wait(ctx, time.Duration(r.rng.ExpFloat64()*float64(readerPause))) {
			return
		}
		r.read(r.rng.IntN(3), r.draw(), r.rng.IntN(3) == 0)
	}
}

func (r *reader) draw() answerPlan {
	return answerPlan{
		size:  int(leastSlowAnswer * math.Pow(mostSlowAnswer/2/leastSlowAnswer, r.rng.Float64())),
		shape: answerShape(r.rng.IntN(int(answerShapes))), framing: answerFraming(r.rng.IntN(int(answerFramings))),
		pause: span(r.rng, 50*time.Millisecond, mostAnswerPause),
	}
}

// read asks for an answer and judges it.
func (r *reader) read(class int, plan answerPlan, slowly bool) {
	side := r.play.sidecars[r.sidecar]
	ends := side.ends.Load()
	if !r.connect(side) {
		return
	}
	defer func() {
		if r.conn != nil {
			r.drop()
		}
	}()
	r.n++
	id, k := fmt.Sprintf("%s-%d", r.name, r.n), r.play.classes()[class]
	s := &sent{sidecar: r.sidecar, class: class, at: time.Now(), deadline: k.deadline}
	r.play.judge.begins(id, s)
	head := strings.Replace(request(id, k), "/"+k.name, "/"+k.name+"?user="+plan.query(), 1)
	if _, err := io.WriteString(r.conn, head); err != nil {
		return
	}
	r.play.readers.Add(1)
	r.conn.SetReadDeadline(s.at.Add(uploadWriteTimeout))
	status, body, err := r.readAnswer(slowly)
	if err == nil && status == http.StatusOK && bytes.Equal(body, plan.body(id)) {
		r.play.served.Add(1)
		return
	}
	wait(context.Background(), mostAnswerPause+100*time.Millisecond) // until the endpoint has noted that it was cut off
	what := fmt.Sprintf("%s: %+v, status %d with %d bytes after %v: %v", id, plan, status, len(body), time.Since(s.at).Round(time.Millisecond), err)
	r.judgeUnserved(side, s, plan, id, what, status, body, err, ends)
}

// judgeUnserved judges an answer that is not the one that belongs to the request.
func (r *reader) judgeUnserved(side *sidecarProcess, s *sent, plan answerPlan, id, what string, status int, body []byte, err error, ends int64) {
	judge := r.play.judge
	if status == http.StatusOK && err == nil {
		if ended := plan.framing == untilClose && bytes.HasPrefix(plan.body(id), body) && judge.unsoundAnswer(id); !ended { // a close looks like its end
			judge.breaks(Lost, sure, "%s: not the answer that belongs to it: %+v", what, judge.writtenAnswers(id))
		}
		return
	}
	if status == http.StatusOK && judge.unsoundAnswer(id) {
		return // its endpoint broke off what had been passed on
	}
	if ends != side.ends.Load() || ends%2 != 0 || side.done.Cut(r.begun, time.Now()) || side.crowds.Load() > 0 {
		return // the process was told to end, or killed: its answers may be cut short
	}
	for _, a := range judge.writtenAnswers(id) {
		timed := a.body
		if plan.size < longSlowAnswer {
			timed = a.end
		}
		if a.sound && timed.Before(s.at.Add(s.deadline-beginReserve-judge.slack())) {
			judge.breaks(Lost, judge.lateSince(s.at), "%s: cut off: %t; %s was in time, %v after it was sent, of %+v", what, a.cut, a.endpoint, timed.Sub(s.at).Round(time.Millisecond), judge.writtenAnswers(id))
			return
		}
	}
	if status != 0 {
		r.play.failed.Add(1)
	}
}

// readAnswer reads an answer, in small pieces with pauses if slowly is set.
func (r *reader) readAnswer(slowly bool) (status int, body []byte, err error) {
	resp, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return 0, nil, err
	}
	for {
		piece, err := io.ReadAll(io.LimitReader(resp.Body, slowReadPiece))
		body = append(body, piece...)
		if err != nil || len(piece) < slowReadPiece {
			return resp.StatusCode, body, err
		}
		if slowly {
			time.Sleep(slowReadPause)
		}
	}
}
