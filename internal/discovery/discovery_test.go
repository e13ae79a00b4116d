package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A faulty registry can't make the sidecar exceed its memory limits; the entries before
// the error are kept.
func TestBounds(t *testing.T) {
	entry := func(i int, zone string) string {
		return fmt.Sprintf(`{"id":"s%d","zone":%q,"state":"active"}`, i, zone)
	}
	list := func(n int, zone string) string {
		var b strings.Builder
		b.WriteString(`{"version":1,"full":true,"servers":[`)
		for i := range n {
			if i > 0 {
				b.WriteString(",")
			}
			b.WriteString(entry(i, zone))
		}
		b.WriteString("]}")
		return b.String()
	}
	for name, c := range map[string]struct {
		head, body string
		fails      bool
	}{
		"usual":           {"", list(64, "a"), false},
		"too many":        {"", list(maxEntries+1, "a"), true},
		"too many bytes":  {"", list(4, strings.Repeat("x", maxAnswerBytes/3)), true},
		"one long string": {"", list(1, strings.Repeat("x", 4<<20)), true},
		"long head":       {strings.Repeat("x", 2*maxHeadBytes), list(1, "a"), true},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Head", c.head)
				fmt.Fprint(w, c.body)
			}))
			defer s.Close()
			client := NewClient(s.Listener.Addr().String())
			defer client.CloseIdle()
			got, err := client.call(context.Background(), request{full: true, answerTimeout: 20 * time.Second, abandonAfter: time.Second, onOverdue: func() {}, onEntries: func([]Entry) {}})
			if (err != nil) != c.fails || len(got.Servers) > maxEntries {
				t.Errorf("%d entries, error %v", len(got.Servers), err)
			}
		})
	}
}
