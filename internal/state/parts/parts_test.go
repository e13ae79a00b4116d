package parts

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Whatever happens to some of the bytes, all parts that they do not belong to are read,
// and no part is read that was not written.
func TestReadCorrupted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		texts := rapid.SliceOfN(rapid.String(), 1, 6).Draw(rt, "texts")
		var b []byte
		var ends []int
		for i := range texts {
			texts[i] = fmt.Sprint(i, " ", texts[i]) // make them distinct
		}
		for _, text := range texts {
			var err error
			if b, err = Append(b, text); err != nil {
				rt.Fatal(err)
			}
			ends = append(ends, len(b))
		}
		from := rapid.IntRange(0, len(b)).Draw(rt, "from")
		to := rapid.IntRange(from, min(from+20, len(b))).Draw(rt, "to")
		corrupted := bytes.Clone(b[:from])
		if rapid.Bool().Draw(rt, "altered") { // else deleted
			corrupted = append(corrupted, rapid.SliceOfN(rapid.Byte(), to-from, to-from).Draw(rt, "noise")...)
		}
		corrupted = append(corrupted, b[to:]...)
		valid, _ := Read(corrupted)
		var got []string
		for _, w := range valid {
			var text string
			if err := json.Unmarshal(w, &text); err != nil {
				rt.Fatal(err)
			}
			got = append(got, text)
		}
		begin := 0
		for i, text := range texts {
			if end := ends[i]; end <= from || begin >= to { // not affected
				if len(got) == 0 || got[0] != text {
					rt.Fatalf("part %d, %q, is missing: %q", i, text, got)
				}
				got = got[1:]
			} else if len(got) > 0 && got[0] == text { // unchanged by the noise
				got = got[1:]
			}
			begin = ends[i]
		}
		if len(got) > 0 {
			rt.Fatalf("read parts that were never written: %q", got)
		}
	})
}

func FuzzRead(f *testing.F) {
	b, _ := Append(nil, "one")
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		valid, damaged := Read(b)
		if len(valid)+damaged > len(b) {
			t.Errorf("%d lines in %d bytes", len(valid)+damaged, len(b))
		}
	})
}
