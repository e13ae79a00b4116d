package trial

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Uploads are requests with long bodies, each on a connection of its own.
const (
	uploadPause     = 400 * time.Millisecond // the mean between two uploads of a client
	leastUpload     = 10_000                 // bytes
	usualMostUpload = 16_000_000             // bytes
	mostUpload      = 32_000_000             // bytes; one in hugeOneIn
	hugeOneIn       = 20
	slowOneIn       = 3 // uploads are written at slowRate
	slowRate        = 64_000
	mostSlowUpload  = 700_000 // bytes: 11 s
	chunkedOneIn    = 3
	slowPiece       = 100 * time.Millisecond // between two pieces of a slow upload
	fastPiece       = 50_000                 // bytes at most of a piece of a fast upload
	// uploadWriteTimeout is for the next piece to be taken; beyond it the client gives up, and the
	// request has not been taken.
	uploadWriteTimeout = 20 * time.Second
)

// uploader is a client that sends long bodies.
type uploader struct {
	client
}

func (p *play) newUploader(sidecar int) *uploader {
	name := fmt.Sprintf("%d-%d-up", p.Seed, sidecar)
	return &uploader{client{play: p, sidecar: sidecar, rng: rand.New(rand.NewPCG(p.Seed, uint64(sidecar)+1<<32)), name: name}}
}

func (u *uploader) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := time.Duration(u.rng.ExpFloat64() * float64(uploadPause))
		if !wait(ctx, min(pause, 6*time.Second)) {
			return
		}
		u.upload(u.draw())
	}
}

// uploadPlan is how one body is sent.
type uploadPlan struct {
	class   int
	length  int
	chunked bool
	slow    bool // in pieces at slowRate, else in pieces of random length at full speed
}

func (u *uploader) draw() uploadPlan {
	plan := uploadPlan{class: 1 + u.rng.IntN(2), chunked: u.rng.IntN(chunkedOneIn) == 0, slow: u.rng.IntN(slowOneIn) == 0}
	most := usualMostUpload
	switch {
	case plan.slow:
		most = mostSlowUpload
	case u.rng.IntN(hugeOneIn) == 0:
		plan.length = mostUpload
		return plan
	}
	plan.length = int(leastUpload * math.Pow(float64(most)/leastUpload, u.rng.Float64()))
	return plan
}

// upload sends one request. It counts as taken once its last byte is written, and has to be
// answered from then on as any other.
func (u *uploader) upload(plan uploadPlan) {
	side := u.play.sidecars[u.sidecar]
	if !u.connect(side) {
		return
	}
	defer func() {
		if u.conn != nil {
			u.drop()
		}
	}()
	u.n++
	id, k := fmt.Sprintf("%s-%d", u.name, u.n), u.play.classes()[plan.class]
	s := &sent{sidecar: u.sidecar, class: plan.class, deadline: k.deadline}
	u.play.judge.begins(id, s)
	begun := time.Now()
	if err := u.writeUpload(uploadHead(id, k, plan), plan); err != nil {
		return // it was refused before its end, or its process has ended: it was not taken
	}
	u.play.uploads.Add(1)
	u.play.judge.written(s, time.Now())
	what := fmt.Sprintf("%s (%d bytes, chunked %t, slow %t, written in %v)", id, plan.length, plan.chunked, plan.slow, time.Since(begun).Round(time.Millisecond))
	u.awaitAnswer(side, id, what, s)
}

// awaitAnswer judges the answer to a request that was taken.
func (u *uploader) awaitAnswer(side *sidecarProcess, id, what string, s *sent) {
	judge := u.play.judge
	u.conn.SetReadDeadline(s.at.Add(s.deadline + 3*answerSlack))
	status, body, _, err := u.answer()
	took := time.Since(s.at)
	late := took > s.deadline+answerSlack+judge.slack()
	switch {
	case err == nil && late:
		judge.breaks(Lost, judge.lateSince(s.at), "%s: answered %d after %v, %v of them its own", what, status, took.Round(time.Millisecond), s.deadline)
	case err == nil:
		u.judged(id, status, body)
	case side.done.Cut(u.begun, s.at.Add(took)): // its process was killed
	case side.crowds.Load() > 0 && !judge.reached(id):
	case late:
		judge.breaks(Lost, judge.lateSince(s.at), "%s: no answer in %v, %v of them its own: %v", what, took.Round(time.Millisecond), s.deadline, err)
	default:
		judge.breaks(Lost, sure, "%s: closed without an answer %v after its last byte: %v", what, took.Round(time.Millisecond), err)
	}
}

func uploadHead(id string, k class, plan uploadPlan) string {
	head, _, _ := strings.Cut(request(id, k), "Content-Length")
	if plan.chunked {
		return head + "Transfer-Encoding: chunked\r\n\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, plan.length)
}

// writeUpload writes head and body as planned.
func (u *uploader) writeUpload(head string, plan uploadPlan) error {
	w := bufio.NewWriterSize(u.conn, 2*fastPiece)
	w.WriteString(head)
	piece := make([]byte, max(fastPiece, slowRate))
	for left := plan.length; left > 0; {
		n := min(left, 1+u.rng.IntN(fastPiece))
		if plan.slow {
			n = min(left, int(slowRate*slowPiece/time.Second))
			time.Sleep(slowPiece)
		}
		left -= n
		if plan.chunked {
			fmt.Fprintf(w, "%x\r\n%s\r\n", n, piece[:n])
		} else {
			w.Write(piece[:n])
		}
		if left == 0 && plan.chunked {
			w.WriteString("0\r\n\r\n")
		}
		u.conn.SetWriteDeadline(time.Now().Add(uploadWriteTimeout))
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// bodyTreatment is what an endpoint does with long bodies.
type bodyTreatment int

const (
	bodyRead    bodyTreatment = iota
	bodyHangs                 // it reads a part, and nothing more
	bodySlow                  // it reads slowly
	bodyResets                // it reads a part, and resets the connection
	bodyIgnored               // it answers an error at once, and reads nothing
	bodyTreatments
)

const (
	// longBody is the length in bytes from which on a body is treated in a way of its own.
	longBody = 64 << 10
	// leastBodyRate and mostBodyRate are of an endpoint that reads slowly, in bytes a second.
	leastBodyRate, mostBodyRate = 20_000, 200_000
	bodyReadStep                = 50 * time.Millisecond
	// treatmentGap is the mean between two changes of a treatment, and mostTreatment its time at most.
	treatmentGap  = 500 * time.Millisecond
	mostTreatment = 4 * time.Second
)

// treatBodies changes what endpoints do with long bodies until shortly before ctx ends.
func (p *play) treatBodies(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.Seed, 46))
	until := p.begun.Add(p.Lasts - QuietEnd)
	for time.Now().Before(until) && wait(ctx, time.Duration(rng.ExpFloat64()*float64(treatmentGap))) {
		e := p.someEndpoint(rng)
		treatment := bodyTreatment(rng.IntN(int(bodyTreatments)))
		e.treatBodies(treatment)
		time.AfterFunc(span(rng, mostTreatment/8, mostTreatment), func() { e.treatBodies(bodyRead) })
	}
}

func (e *endpoint) treatBodies(t bodyTreatment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bodies = t
}

// bodyResult is what came of a body at an endpoint.
type bodyResult int

const (
	bodyWhole    bodyResult = iota
	bodyBroken              // it has not come whole: its connection is reset
	bodyAnswered            // it is answered with an error before it has come whole
)

// readBody reads the body of a request by the treatment that is in force as it begins.
func (e *endpoint) readBody(r *http.Request) bodyResult {
	e.mu.Lock()
	treatment := e.bodies
	e.mu.Unlock()
	if r.ContentLength >= 0 && r.ContentLength < longBody {
		treatment = bodyRead
	}
	part := int64(math.Exp(rand.Float64() * math.Log(usualMostUpload)))
	switch treatment {
	case bodyHangs:
		io.CopyN(io.Discard, r.Body, part)
		select {
		case <-time.After(2 * mostTreatment):
		case <-e.stop:
		}
		return bodyBroken
	case bodyResets:
		io.CopyN(io.Discard, r.Body, part)
		return bodyBroken
	case bodyIgnored:
		return bodyAnswered
	case bodySlow:
		return e.readSlowly(r.Body, leastBodyRate+rand.IntN(mostBodyRate-leastBodyRate))
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return bodyBroken
	}
	return bodyWhole
}

func (e *endpoint) readSlowly(body io.Reader, rate int) bodyResult {
	for {
		switch _, err := io.CopyN(io.Discard, body, int64(rate)*int64(bodyReadStep)/int64(time.Second)); err {
		case nil:
		case io.EOF:
			return bodyWhole
		default:
			return bodyBroken
		}
		select {
		case <-time.After(bodyReadStep):
		case <-e.stop:
			return bodyBroken
		}
	}
}

// written records when a client wrote the last byte of a request.
func (j *judge) written(s *sent, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.at = at
}

// timeLeft is what is left of a request's time at an instant; all of it while it is being sent.
func (s *sent) timeLeft(at time.Time) time.Duration {
	if s.at.IsZero() || at.Before(s.at) {
		return s.deadline
	}
	return s.deadline - at.Sub(s.at)
}
