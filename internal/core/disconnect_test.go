package core

import (
	"context"
	"net/http"
	"testing"

	"spokegw/internal/figures"
)

// socket is a client whose connection is open or has ended.
type socket struct{ ended bool }

func (s socket) Disconnected() bool { return s.ended }

// A front whose reading failed on an open connection must not end the request without an answer.
func TestRequestEndsOnlyByEvidenceFromItsClient(t *testing.T) {
	for name, c := range map[string]struct {
		client   Client
		evidence figures.Disconnect
		answered bool
	}{
		"open":             {socket{}, figures.Unconfirmed, true},
		"ended":            {socket{ended: true}, figures.ConnectionEnded, false},
		"stream cancelled": {nil, figures.StreamCancelled, false},
	} {
		t.Run(name, func(t *testing.T) {
			core, s := newTestCore(t)
			x := open(t, core, "1")
			x.head.Client = c.client
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			a, err := x.Do(ctx, nil)
			if answered := err == nil && a.Status != 0 && a.Status != http.StatusOK; answered != c.answered {
				t.Errorf("status %d, %v", a.Status, err)
			}
			for evidence := range figures.NumDisconnects {
				// The notification of the context may come a second time.
				if counted := s.figures.Disconnects[evidence].Load() > 0; counted != (evidence == c.evidence) {
					t.Errorf("%v: %d", evidence, s.figures.Disconnects[evidence].Load())
				}
			}
		})
	}
}
