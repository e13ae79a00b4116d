package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// indented is a list of n endpoints as a registry may write it: over many lines.
func indented(n int) []byte {
	list := map[string]any{"version": 9, "full": true}
	var servers []Entry
	for i := range n {
		servers = append(servers, Entry{ID: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", State: "leaving", Weight: 1})
	}
	list["servers"] = servers
	text, _ := json.MarshalIndent(list, "\t", "    ") // of plain values
	return append(text, "\n\n"...)
}

// An indented list comes in pieces of a few bytes, cut anywhere, and never pauses for
// long. What is written counts as told: each entry is known 100 ms after its last byte,
// and not when the list ends, seconds later.
func TestListInSmallPieces(t *testing.T) {
	const entries, piece, every = 100, 7, 2 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		var written []time.Time // when the last byte of each entry was; the writer's until it has ended
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for text := indented(entries); len(text) > 0; time.Sleep(every) {
				n := min(piece, len(text))
				w.Write(text[:n])
				for range bytes.Count(text[:n], []byte("}")) {
					written = append(written, time.Now())
				}
				text = text[n:]
			}
			w.Close()
		}()
		told := map[string]time.Time{}
		begun := time.Now()
		list, err := collect(r, func(some []Entry) {
			for _, e := range some {
				told[e.ID] = time.Now()
			}
		})
		if err != nil || len(list.Servers) != entries || list.Version != 9 || !list.Full {
			t.Fatalf("version %d, full %t, %d entries: %v", list.Version, list.Full, len(list.Servers), err)
		}
		whole := time.Now()
		<-ended
		late := time.Duration(0)
		for i, e := range list.Servers {
			at, early := told[e.ID]
			if !early {
				at = whole
			}
			late = max(late, at.Sub(written[i]))
		}
		if took := whole.Sub(begun); took < 2*time.Second || late > entryGap+10*time.Millisecond {
			t.Errorf("of a list that took %v an entry was known only after %v", took, late)
		}
	})
}
