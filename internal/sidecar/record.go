package sidecar

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"

	"spokegw/internal/core"
)

// Record writes each request from now on to a file as it ends, one JSON object per line in the
// format of spokegw trace; "-" selects standard error. Requests that the file can't take in
// time are dropped and counted, so that no request waits for it. The file grows without bound:
// it is meant for short investigations. The caller must call end exactly once.
func (s *Sidecar) Record(path string) (end func(), err error) {
	tap, stop, err := s.core.Tap(core.Filter{})
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	var file io.WriteCloser = os.Stderr
	if path != "-" {
		if file, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			stop()
			return nil, fmt.Errorf("record: %w", err)
		}
	}
	var writing sync.WaitGroup
	done := make(chan struct{})
	writing.Go(func() { record(tap, file, done) })
	return func() {
		stop()
		close(done)
		writing.Wait()
		if path != "-" {
			file.Close()
		}
	}, nil
}

// record writes traces until done is closed, and then those that have ended by then.
func record(tap *core.Tap, w io.Writer, done <-chan struct{}) {
	out := json.NewEncoder(w) // a line that can't be written is dropped
	for {
		select {
		case t := <-tap.Traces():
			out.Encode(t)
			continue
		default:
		}
		select {
		case t := <-tap.Traces():
			out.Encode(t)
		case <-done:
			if n := tap.Dropped(); n > 0 {
				out.Encode(DroppedTraces{n})
			}
			return
		}
	}
}
