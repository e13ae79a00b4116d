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

// indented returns a list of n endpoints over many lines, as a registry may write it.
func indented(n int) []byte {
	list := map[string]any{"version": 9, "full": true}
	var servers []Entry
	for i := range n {
		servers = append(servers, Entry{ID: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", State: "leaving", Weight: 1})
	}
	list["servers"] = servers
	text, _ := json.MarshalIndent(list, "\t", "    ") // plain values always marshal
	return append(text, "\n\n"...)
}

// An indented list arrives in pieces of a few bytes, cut anywhere, without long pauses.
// What is written counts as notified: each entry is known 100 ms after its last byte,
// not at the end of the list seconds later.
func TestCollectSmallPieces(t *testing.T) {
	const entries, piece, every = 100, 7, 2 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		var written []time.Time // time of the last byte of each entry; owned by the writer until it has ended
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
		reported := map[string]time.Time{}
		start := time.Now()
		list, err := collect(r, func(part []Entry) {
			for _, e := range part {
				reported[e.ID] = time.Now()
			}
		})
		if err != nil || len(list.Servers) != entries || list.Version != 9 || !list.Full {
			t.Fatalf("version %d, full %t, %d entries: %v", list.Version, list.Full, len(list.Servers), err)
		}
		end := time.Now()
		<-ended
		delay := time.Duration(0)
		for i, e := range list.Servers {
			at, early := reported[e.ID]
			if !early {
				at = end
			}
			delay = max(delay, at.Sub(written[i]))
		}
		if took := end.Sub(start); took < 2*time.Second || delay > entryFlushDelay+10*time.Millisecond {
			t.Errorf("the list took %v, and an entry was known only after %v", took, delay)
		}
	})
}
