package discovery

import (
	"bytes"
	"strings"
	"testing"
)

// invalidLists are invalid or truncated lists, with the ids of the entries that are decoded:
// those before the error.
var invalidLists = map[string]struct {
	text  string
	known string
	fails bool
}{
	"nothing":                   {``, "", true},
	"null":                      {`null`, "", true},
	"top-level array":           {`[{"id":"a"}]`, "", true},
	"noise":                     {"\x00\xff\x17", "", true},
	"null servers":              {`{"version":1,"full":true,"servers":null}`, "", true},
	"object of servers":         {`{"servers":{"a":{"id":"a"}}}`, "", true},
	"truncated in an entry":     {`{"servers":[{"id":"a"},{"id":"b","ad`, "a", true},
	"truncated after an entry":  {`{"servers":[{"id":"a"},{"id":"b"}`, "ab", true},
	"truncated at the end":      {`{"servers":[{"id":"a"}]`, "a", true},
	"number as an entry":        {`{"servers":[{"id":"a"},7,{"id":"c"}]}`, "a", true},
	"string as a cell":          {`{"servers":[{"id":"a"},{"id":"b","cell":"x"},{"id":"c"}]}`, "a", true},
	"start out of range":        {`{"servers":[{"id":"a"},{"id":"b","started_ms":1e400}]}`, "a", true},
	"string as a version":       {`{"servers":[{"id":"a"}],"version":"new"}`, "a", true},
	"two lists":                 {`{"servers":[{"id":"a"}]}{"servers":[{"id":"b"}]}`, "a", false},
	"entries without id":        {`{"servers":[{"addr":"x"},{"id":""},{"id":"c"}]}`, "c", false},
	"duplicate id":              {`{"servers":[{"id":"a","weight":1},{"id":"a","weight":2}]}`, "aa", false},
	"unknown names":             {`{"more":{"servers":[{"id":"x"}]},"servers":[{"id":"a","more":[1]}]}`, "a", false},
	"indented, without version": {"{\n\t\"servers\" : [\n\n{ \"id\" : \"a\" }\r\n ,\t{\"id\":\"b\"} ]\n}\n", "ab", false},
}

// An invalid list is an error, and the entries before the error are known.
func TestInvalidLists(t *testing.T) {
	for name, c := range invalidLists {
		t.Run(name, func(t *testing.T) {
			list, err := Decode(strings.NewReader(c.text))
			known := ""
			for _, e := range list.Servers {
				known += e.ID
			}
			if known != c.known || (err != nil) != c.fails {
				t.Errorf("known %q, error %v; want %q and error=%v", known, err, c.known, c.fails)
			}
		})
	}
}

// For any input, the entries of a truncated list are the first entries of the whole list.
func FuzzDecode(f *testing.F) {
	for _, c := range invalidLists {
		f.Add([]byte(c.text), 9)
	}
	f.Add(indented(3), 200)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		whole, _ := Decode(bytes.NewReader(text)) // an error says nothing about what precedes it
		if len(whole.Servers) > maxEntries {
			t.Fatalf("%d entries", len(whole.Servers))
		}
		if cut < 0 || cut > len(text) {
			return
		}
		part, _ := Decode(bytes.NewReader(text[:cut]))
		if len(part.Servers) > len(whole.Servers) {
			t.Fatalf("%d entries in the part, %d in the whole", len(part.Servers), len(whole.Servers))
		}
		for i, e := range part.Servers {
			if e.ID == "" || e.ID != whole.Servers[i].ID || e.State != whole.Servers[i].State {
				t.Errorf("entry %d is %+v in the part, %+v in the whole", i, e, whole.Servers[i])
			}
		}
	})
}
