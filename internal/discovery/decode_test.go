package discovery

import (
	"bytes"
	"strings"
	"testing"
)

// badLists are lists that are none, or not whole, and the ids of the entries that are known of
// each: those that came whole before its fault.
var badLists = map[string]struct {
	text  string
	known string
	fails bool
}{
	"nothing":                   {``, "", true},
	"null":                      {`null`, "", true},
	"an array":                  {`[{"id":"a"}]`, "", true},
	"noise":                     {"\x00\xff\x17", "", true},
	"no servers":                {`{"version":1,"full":true,"servers":null}`, "", true},
	"a map of servers":          {`{"servers":{"a":{"id":"a"}}}`, "", true},
	"cut in an entry":           {`{"servers":[{"id":"a"},{"id":"b","ad`, "a", true},
	"cut behind an entry":       {`{"servers":[{"id":"a"},{"id":"b"}`, "ab", true},
	"cut before its end":        {`{"servers":[{"id":"a"}]`, "a", true},
	"an entry of another form":  {`{"servers":[{"id":"a"},7,{"id":"c"}]}`, "a", true},
	"a cell that is no number":  {`{"servers":[{"id":"a"},{"id":"b","cell":"x"},{"id":"c"}]}`, "a", true},
	"a start beyond all time":   {`{"servers":[{"id":"a"},{"id":"b","started_ms":1e400}]}`, "a", true},
	"a version that is no one":  {`{"servers":[{"id":"a"}],"version":"new"}`, "a", true},
	"two lists":                 {`{"servers":[{"id":"a"}]}{"servers":[{"id":"b"}]}`, "a", false},
	"entries without id":        {`{"servers":[{"addr":"x"},{"id":""},{"id":"c"}]}`, "c", false},
	"an id twice":               {`{"servers":[{"id":"a","weight":1},{"id":"a","weight":2}]}`, "aa", false},
	"names that nobody knows":   {`{"more":{"servers":[{"id":"x"}]},"servers":[{"id":"a","more":[1]}]}`, "a", false},
	"indented, with no version": {"{\n\t\"servers\" : [\n\n{ \"id\" : \"a\" }\r\n ,\t{\"id\":\"b\"} ]\n}\n", "ab", false},
}

// A list that breaks the page is an error, and what came whole before its fault is known.
func TestBadLists(t *testing.T) {
	for name, c := range badLists {
		t.Run(name, func(t *testing.T) {
			list, err := Decode(strings.NewReader(c.text))
			known := ""
			for _, e := range list.Servers {
				known += e.ID
			}
			if known != c.known || (err != nil) != c.fails {
				t.Errorf("%q is known, error %v; %q and an error=%v are expected", known, err, c.known, c.fails)
			}
		})
	}
}

// Whatever comes, what is known of a list cut off anywhere is what the whole of it begins with.
func FuzzDecode(f *testing.F) {
	for _, c := range badLists {
		f.Add([]byte(c.text), 9)
	}
	f.Add(indented(3), 200)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		whole, _ := Decode(bytes.NewReader(text)) // an error tells nothing of what came ahead of it
		if len(whole.Servers) > maxEntries {
			t.Fatalf("%d entries", len(whole.Servers))
		}
		if cut < 0 || cut > len(text) {
			return
		}
		part, _ := Decode(bytes.NewReader(text[:cut]))
		if len(part.Servers) > len(whole.Servers) {
			t.Fatalf("%d entries of a part, %d of the whole", len(part.Servers), len(whole.Servers))
		}
		for i, e := range part.Servers {
			if e.ID == "" || e.ID != whole.Servers[i].ID || e.State != whole.Servers[i].State {
				t.Errorf("entry %d is %+v of a part, %+v of the whole", i, e, whole.Servers[i])
			}
		}
	})
}
