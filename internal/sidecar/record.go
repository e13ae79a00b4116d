package sidecar

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"

	"spokegw/internal/core"
)

// Record has every request from now on written to a file as it ends, one object of
// JSON a line in the form of spokegw trace; "-" is standard error. What the file does
// not take in time is left out and counted: nobody who is served waits for it. The
// file grows without bound, so it is for an hour of looking and not for good. end has
// to be called once.
func (s *Sidecar) Record(path string) (end func(), err error) {
	tap, stop, err := s.core.Tap(core.Filter{})
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	var to io.WriteCloser = os.Stderr
	if path != "-" {
		if to, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			stop()
			return nil, fmt.Errorf("record: %w", err)
		}
	}
	var writing sync.WaitGroup
	done := make(chan struct{})
	writing.Go(func() { record(tap, to, done) })
	return func() {
		stop()
		close(done)
		writing.Wait()
		if path != "-" {
			to.Close()
		}
	}, nil
}

// record writes until done, and then what has ended by then.
func record(tap *core.Tap, to io.Writer, done <-chan struct{}) {
	out := json.NewEncoder(to) // a line that can't be written is left out
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
