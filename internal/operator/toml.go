package operator

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"spokegw/internal/fault"
)

// reader takes values from a file and collects what is wrong with them.
type reader struct {
	file   string
	lines  fault.Lines // of keys, such as team[2].share
	faults fault.Faults
}

func (r *reader) fault(key, format string, args ...any) {
	r.faults = append(r.faults, fault.Fault{File: r.file, Line: r.lines.Lookup(key), Key: key, Text: fmt.Sprintf(format, args...)})
}

// decode reads the text into tables and notes the line of each key.
func (r *reader) decode(text []byte) map[string]any {
	var values map[string]any
	if err := toml.Unmarshal(text, &values); err != nil {
		line := 0
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ = at.Position()
		}
		r.faults = append(r.faults, fault.Fault{File: r.file, Line: line, Text: strings.TrimPrefix(err.Error(), "toml: ") + "; TOML is expected"})
		return nil
	}
	r.index(text)
	return values
}

// index notes the lines of tables and keys. The text is known to be TOML.
func (r *reader) index(text []byte) {
	r.lines = fault.Lines{}
	counts := map[string]int{} // of arrays of tables
	var p unstable.Parser
	p.Reset(text)
	within := ""
	for p.NextExpression() {
		e := p.Expression()
		var key string
		line := 0
		for it := e.Key(); it.Next(); {
			if key != "" {
				key += "."
			}
			key += string(it.Node().Data)
			if line == 0 {
				line = p.Shape(p.Range(it.Node().Data)).Start.Line
			}
			if at, array := counts[key]; array && !(it.IsLast() && e.Kind == unstable.ArrayTable) && e.Kind != unstable.KeyValue {
				key += fmt.Sprintf("[%d]", at)
			}
		}
		switch e.Kind {
		case unstable.ArrayTable:
			if _, known := counts[key]; known {
				counts[key]++
			} else {
				counts[key] = 0
			}
			key += fmt.Sprintf("[%d]", counts[key])
			within = key
		case unstable.Table:
			within = key
		case unstable.KeyValue:
			if within != "" {
				key = within + "." + key
			}
		default:
			continue
		}
		r.lines[key] = line
	}
}

// table is one table of a file. Keys that nobody asked for are faults.
type table struct {
	r      *reader
	key    string // "": the file
	values map[string]any
	known  []string
}

func (t *table) path(name string) string {
	if t.key == "" {
		return name
	}
	return t.key + "." + name
}

func (t *table) fault(name, format string, args ...any) { t.r.fault(t.path(name), format, args...) }

// has reports whether the key is there, and notes that it is known.
func (t *table) has(name string) bool {
	if !slices.Contains(t.known, name) {
		t.known = append(t.known, name)
	}
	_, ok := t.values[name]
	return ok
}

// get reads a value of one type; the fallback where the key is not there.
func get[T any](t *table, name, want string, fallback T) T {
	if !t.has(name) {
		return fallback
	}
	v, ok := t.values[name].(T)
	if !ok {
		t.fault(name, "%s is expected, not %v", want, short(t.values[name]))
		return fallback
	}
	return v
}

func short(v any) string {
	text := fmt.Sprintf("%#v", v)
	switch v.(type) {
	case map[string]any:
		text = "a table"
	case []any:
		text = "a list"
	}
	if len(text) > 60 {
		text = text[:60] + "..."
	}
	return text
}

func (t *table) text(name, fallback string) string { return get(t, name, "a text in quotes", fallback) }

// oneOf reads a text that has to be one of some.
func (t *table) oneOf(name, fallback string, of ...string) string {
	v := t.text(name, fallback)
	for _, one := range of {
		if v == one {
			return v
		}
	}
	t.fault(name, "%s is expected, not %q", strings.Join(of, ", "), v)
	return fallback
}

// number reads a number from least to most. Whole numbers may be written as such.
func (t *table) number(name string, fallback, least, most float64) float64 {
	if !t.has(name) {
		return fallback
	}
	var x float64
	switch v := t.values[name].(type) {
	case int64:
		x = float64(v)
	case float64:
		x = v
	default:
		t.fault(name, "a number from %v to %v is expected, not %v", least, most, short(v))
		return fallback
	}
	if math.IsNaN(x) || x < least || x > most {
		t.fault(name, "a number from %v to %v is expected, not %v", least, most, x)
		return fallback
	}
	return x
}

// duration reads a time such as "400ms", from least to most.
func (t *table) duration(name string, fallback, least, most time.Duration) time.Duration {
	if !t.has(name) {
		return fallback
	}
	want := fmt.Sprintf(`a time from "%v" to "%v"`, least, most)
	d, err := time.ParseDuration(get(t, name, want, ""))
	if _, isText := t.values[name].(string); !isText {
		return fallback
	}
	if err != nil || d < least || d > most {
		t.fault(name, "%s is expected, not %q", want, t.values[name])
		return fallback
	}
	return d
}

// texts reads a list of texts, at most so many.
func (t *table) texts(name string, most int) []string {
	list := get[[]any](t, name, "a list of texts", nil)
	if len(list) > most {
		t.fault(name, "%d entries are too many, %d are allowed", len(list), most)
		return nil
	}
	texts := make([]string, 0, len(list))
	for i, v := range list {
		s, ok := v.(string)
		if !ok {
			t.fault(name, "entry %d: a text in quotes is expected, not %v", i, short(v))
			continue
		}
		texts = append(texts, s)
	}
	return texts
}

// tables reads an array of tables, at most so many.
func (t *table) tables(name string, most int) []*table {
	if !t.has(name) {
		return nil
	}
	list, ok := t.values[name].([]any)
	if !ok {
		t.fault(name, "[[%s]] is expected, with two brackets", name)
		return nil
	}
	if len(list) > most {
		t.fault(name, "%d of them are too many, %d are allowed", len(list), most)
		return nil
	}
	var all []*table
	for i, v := range list {
		key := fmt.Sprintf("%s[%d]", t.path(name), i)
		values, ok := v.(map[string]any)
		if !ok {
			t.r.fault(key, "a table is expected, not %v", short(v))
			continue
		}
		all = append(all, &table{r: t.r, key: key, values: values})
	}
	return all
}

// table reads a table; nil where it is not there.
func (t *table) table(name string) *table {
	values := get[map[string]any](t, name, "a table", nil)
	if values == nil {
		return nil
	}
	return &table{r: t.r, key: t.path(name), values: values}
}

// end makes a fault of every key that nobody asked for.
func (t *table) end() {
	for _, k := range slices.Sorted(maps.Keys(t.values)) {
		if !slices.Contains(t.known, k) {
			t.fault(k, "unknown key; known here are %s", strings.Join(t.known, ", "))
		}
	}
}

// StateFolder is the folder of [state] that a file names, however faulty the rest of it
// is; "": it names none, or is no TOML.
func StateFolder(path string) string {
	text, err := read(path)
	if err != nil {
		return ""
	}
	var f struct {
		State struct{ Directory string }
	}
	if toml.Unmarshal(text, &f) != nil {
		return ""
	}
	return f.State.Directory
}
