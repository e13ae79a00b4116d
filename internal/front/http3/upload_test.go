package http3_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

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
	r := report(ctx, s.Sidecar.AddrHTTP3().String(), "stall", bytes.NewReader(make([]byte, size)))
	r.Header.Set("Req-Deadline", "300m")
	r.ContentLength = size
	c := client(t, s)
	begun := time.Now()
	status, _, err := ask(c, r)
	if took := time.Since(begun); status < 500 || took > deadline+late {
		t.Errorf("status %d, %v, after %v", status, err, took)
	}
}
