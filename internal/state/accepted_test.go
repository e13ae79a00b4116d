package state

import (
	"strings"
	"testing"
	"time"
)

// A record is read back; one of another sidecar, of another version, or altered is
// rejected.
func TestAccepted(t *testing.T) {
	var a Accepted
	for i, text := range []string{"one", "one", "two", "one"} {
		if added := a.Add("n0", text, time.Unix(int64(i), 0)); added != (i != 1) {
			t.Errorf("%d: added %v", i, added)
		}
	}
	for i := range 2 * maxRevisions {
		a.Add("n0", strings.Repeat("x", i), time.Unix(9, 0))
	}
	if len(a.Marks) != maxRevisions || a.Marks[0].Bytes != 2*maxRevisions-1 {
		t.Errorf("%d revisions, the first %+v", len(a.Marks), a.Marks[0])
	}
	a.Add("n0", "rate = 1", time.Unix(10, 0))
	record, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if b, err := DecodeAccepted("n0", record); err != nil || b.Text != "rate = 1" || !b.Marks[0].At.Equal(time.Unix(10, 0)) {
		t.Errorf("%+v, %v", b, err)
	}
	text := string(record)
	for why, c := range map[string]struct{ name, record string }{
		`to sidecar "n0"`:    {"n1", text},
		"has version 2":      {"n0", strings.Replace(text, `"Version":1`, `"Version":2`, 1)},
		"not match the hash": {"n0", strings.Replace(text, "rate = 1", "rate = 9", 1)},
		"no applied file":    {"n0", `{"Version":1,"Name":"n0"}`},
		"unexpected end":     {"n0", text[:len(text)-1]},
	} {
		if _, err := DecodeAccepted(c.name, []byte(c.record)); err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("want an error with %q, got %v", why, err)
		}
	}
}
