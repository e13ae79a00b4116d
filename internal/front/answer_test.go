package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"spokegw/internal/core"
)

// deadlineRecorder records whether a write deadline was in force at the first write.
type deadlineRecorder struct {
	http.ResponseWriter
	deadline, atWrite time.Time
}

func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

func (r *deadlineRecorder) Write(b []byte) (int, error) {
	r.atWrite = r.deadline
	return r.ResponseWriter.Write(b)
}

// An answer in one piece to a client that takes nothing would hold its stream for as long as the client likes.
func TestAnswerInOnePieceHasWriteDeadline(t *testing.T) {
	for name, a := range map[string]core.Answer{
		"of an endpoint": {Status: http.StatusOK, Header: http.Header{}, Body: []byte("ok"), Length: 2},
		"refusal":        {Status: http.StatusServiceUnavailable},
	} {
		r := &deadlineRecorder{ResponseWriter: httptest.NewRecorder()}
		Write(context.Background(), r, &a)
		if left := time.Until(r.atWrite); left <= 0 || left > WriteTimeout {
			t.Errorf("%s: written with %v left", name, left)
		}
	}
}
