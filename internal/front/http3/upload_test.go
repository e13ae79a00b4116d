package http3_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

// timedBody records when the client last took a piece of it. The client has not written its last
// byte before that.
type timedBody struct {
	io.Reader
	lastRead atomic.Pointer[time.Time]
}

func (b *timedBody) Read(to []byte) (int, error) {
	now := time.Now()
	b.lastRead.Store(&now)
	return b.Reader.Read(to)
}

// An endpoint that stops reading must not hold up the answer to a streamed body.
func TestUploadToStalledEndpointIsAnsweredInTime(t *testing.T) {
	const size, deadline, late = 6 << 20, 300 * time.Millisecond, 550 * time.Millisecond
	stalled := make(chan struct{})
	t.Cleanup(func() { close(stalled) })
	stall := func(r *http.Request) error {
		io.CopyN(io.Discard, r.Body, 64)
		<-stalled
		return errors.New("the body is not read")
	}
	s, _ := start(t, scene.Config{Maps: []lab.EndpointConfig{{Workers: 64, Body: 10, Read: stall}}})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	body := &timedBody{Reader: bytes.NewReader(make([]byte, size))}
	r := report(ctx, s.Sidecar.AddrHTTP3().String(), "stall", body)
	r.Header.Set("Req-Deadline", "300m")
	r.ContentLength = size
	status, _, err := ask(client(t, s), r)
	if took := time.Since(*body.lastRead.Load()); status < 500 || took > deadline+late {
		t.Errorf("status %d, %v, after %v", status, err, took)
	}
}
