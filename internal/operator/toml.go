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

// reader collects the faults of a file and knows the lines of its keys.
type reader struct {
	file   string
	lines  fault.Lines // by key, such as team[2].share
	faults fault.Faults
}

func (r *reader) fault(key, format string, args ...any) {
	r.faults = append(r.faults, fault.Fault{File: r.file, Line: r.lines.Lookup(key), Key: key, Text: fmt.Sprintf(format, args...)})
}

// decode parses the text into tables and indexes the line of each key.
func (r *reader) decode(text []byte) map[string]any {
	var values map[string]any
	if err := toml.Unmarshal(text, &values); err != nil {
		line := 0
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			line, _ = decodeErr.Position()
		}
		r.faults = append(r.faults, fault.Fault{File: r.file, Line: line, Text: strings.TrimPrefix(err.Error(), "toml: ") + "; TOML is expected"})
		return nil
	}
	r.indexLines(text)
	return values
}

// indexLines records the lines of tables and keys. The text must be valid TOML.
func (r *reader) indexLines(text []byte) {
	r.lines = fault.Lines{}
	counts := map[string]int{} // last index of each array of tables
	var p unstable.Parser
	p.Reset(text)
	enclosing := ""
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
			if index, array := counts[key]; array && !(it.IsLast() && e.Kind == unstable.ArrayTable) && e.Kind != unstable.KeyValue {
				key += fmt.Sprintf("[%d]", index)
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
			enclosing = key
		case unstable.Table:
			enclosing = key
		case unstable.KeyValue:
			if enclosing != "" {
				key = enclosing + "." + key
			}
		default:
			continue
		}
		r.lines[key] = line
	}
}

// table is one table of a file. Keys that were never read are faults.
type table struct {
	r      *reader
	key    string // "": the top level
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

// has reports whether the key is present, and marks it as known.
func (t *table) has(name string) bool {
	if !slices.Contains(t.known, name) {
		t.known = append(t.known, name)
	}
	_, ok := t.values[name]
	return ok
}

// get reads a value of one type, or returns the fallback if the key is absent.
func get[T any](t *table, name, want string, fallback T) T {
	if !t.has(name) {
		return fallback
	}
	v, ok := t.values[name].(T)
	if !ok {
		t.fault(name, "%s is expected, not %v", want, abbreviate(t.values[name]))
		return fallback
	}
	return v
}

func abbreviate(v any) string {
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

func (t *table) str(name, fallback string) string { return get(t, name, "a text in quotes", fallback) }

// oneOf reads a string that must be one of the allowed values.
func (t *table) oneOf(name, fallback string, allowed ...string) string {
	v := t.str(name, fallback)
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	t.fault(name, "%s is expected, not %q", strings.Join(allowed, ", "), v)
	return fallback
}

// number reads a number within bounds, which may be written as an integer.
func (t *table) number(name string, fallback, lower, upper float64) float64 {
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
		t.fault(name, "a number from %v to %v is expected, not %v", lower, upper, abbreviate(v))
		return fallback
	}
	if math.IsNaN(x) || x < lower || x > upper {
		t.fault(name, "a number from %v to %v is expected, not %v", lower, upper, x)
		return fallback
	}
	return x
}

// duration reads a duration such as "400ms", within bounds.
func (t *table) duration(name string, fallback, lower, upper time.Duration) time.Duration {
	if !t.has(name) {
		return fallback
	}
	want := fmt.Sprintf(`a time from "%v" to "%v"`, lower, upper)
	d, err := time.ParseDuration(get(t, name, want, ""))
	if _, isText := t.values[name].(string); !isText {
		return fallback
	}
	if err != nil || d < lower || d > upper {
		t.fault(name, "%s is expected, not %q", want, t.values[name])
		return fallback
	}
	return d
}

// stringList reads a list of at most maxLen strings.
func (t *table) stringList(name string, maxLen int) []string {
	list := get[[]any](t, name, "a list of texts", nil)
	if len(list) > maxLen {
		t.fault(name, "%d entries are too many, %d are allowed", len(list), maxLen)
		return nil
	}
	texts := make([]string, 0, len(list))
	for i, v := range list {
		s, ok := v.(string)
		if !ok {
			t.fault(name, "entry %d: a text in quotes is expected, not %v", i, abbreviate(v))
			continue
		}
		texts = append(texts, s)
	}
	return texts
}

// tables reads an array of at most maxLen tables.
func (t *table) tables(name string, maxLen int) []*table {
	if !t.has(name) {
		return nil
	}
	list, ok := t.values[name].([]any)
	if !ok {
		t.fault(name, "[[%s]] is expected, with two brackets", name)
		return nil
	}
	if len(list) > maxLen {
		t.fault(name, "%d of them are too many, %d are allowed", len(list), maxLen)
		return nil
	}
	var tables []*table
	for i, v := range list {
		key := fmt.Sprintf("%s[%d]", t.path(name), i)
		values, ok := v.(map[string]any)
		if !ok {
			t.r.fault(key, "a table is expected, not %v", abbreviate(v))
			continue
		}
		tables = append(tables, &table{r: t.r, key: key, values: values})
	}
	return tables
}

// table reads a table; nil if it is absent.
func (t *table) table(name string) *table {
	values := get[map[string]any](t, name, "a table", nil)
	if values == nil {
		return nil
	}
	return &table{r: t.r, key: t.path(name), values: values}
}

// end reports every key that was not read as a fault.
func (t *table) end() {
	for _, k := range slices.Sorted(maps.Keys(t.values)) {
		if !slices.Contains(t.known, k) {
			t.fault(k, "unknown key; known here are %s", strings.Join(t.known, ", "))
		}
	}
}

// StateFolder returns the folder of [state] in a file, even if the rest of the file is faulty; "":
// there is none, or the file is not TOML.
func StateFolder(path string) string {
	text, err := readLimited(path)
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
