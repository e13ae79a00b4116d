// Package jsonfile finds everything that is wrong with a JSON file, where
// encoding/json tells the first. It is for a file that was refused: what it
// reports is what json.Unmarshal would stumble over, one thing after another.
package jsonfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"spokegw/internal/fault"
)

// Bounds of what is looked at, against a file made to use up the memory.
const (
	maxDepth  = 64
	maxKeys   = 1 << 15
	maxFaults = 100
)

// File is a file's text as values, with the line of each.
type File struct {
	name   string
	values any
	lines  fault.Lines
	Faults fault.Faults // those found so far, maxFaults at most
}

// Read reads a file's text. Text that is no JSON has one fault, in Faults.
func Read(name string, text []byte) *File {
	f := &File{name: name, lines: fault.Lines{}}
	r := reader{dec: json.NewDecoder(bytes.NewReader(text)), text: text, lines: f.lines}
	r.dec.UseNumber()
	values, err := r.value("", 0)
	if err == nil {
		if _, end := r.dec.Token(); !errors.Is(end, io.EOF) {
			err = errors.New("the end of the file is expected after the first value")
		}
	}
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		f.Faults = fault.Faults{{File: name, Line: r.line(err), Text: err.Error() + "; JSON is expected"}}
		return f
	}
	f.values = values
	for _, key := range r.twice {
		f.Fault(key, "the key is there twice, once is expected")
	}
	return f
}

// Fault notes that something is wrong with the value of a key.
func (f *File) Fault(key, format string, args ...any) {
	if len(f.Faults) < maxFaults {
		f.Faults = append(f.Faults, fault.Fault{File: f.name, Line: f.lines.Lookup(key), Key: key, Text: fmt.Sprintf(format, args...)})
	}
}

// Check compares the file with the type that it is to be decoded into, as
// encoding/json does: keys that the type doesn't have are skipped, null fits
// everything.
func (f *File) Check(as any) { f.check("", f.values, reflect.TypeOf(as)) }

func (f *File) check(key string, v any, t reflect.Type) {
	if v == nil {
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		f.check(key, v, t.Elem())
	case reflect.Struct:
		f.checkTable(key, v, t)
	case reflect.Slice:
		list, ok := v.([]any)
		if !ok {
			f.mismatch(key, "a list", v)
		}
		for i, entry := range list {
			f.check(fmt.Sprintf("%s[%d]", key, i), entry, t.Elem())
		}
	default:
		f.checkPlain(key, v, t)
	}
}

func (f *File) checkTable(key string, v any, t reflect.Type) {
	table, ok := v.(map[string]any)
	if !ok {
		f.mismatch(key, "an object", v)
		return
	}
	for _, field := range reflect.VisibleFields(t) {
		name, tagged := field.Tag.Lookup("json")
		if !tagged {
			continue // embedded: its fields come by themselves
		}
		for k, entry := range table {
			if strings.EqualFold(k, name) {
				f.check(join(key, k), entry, field.Type)
			}
		}
	}
}

func (f *File) checkPlain(key string, v any, t reflect.Type) {
	text, err := json.Marshal(v)
	if err == nil && json.Unmarshal(text, reflect.New(t).Interface()) == nil {
		return
	}
	want := "a text"
	switch t.Kind() {
	case reflect.Bool:
		want = "true or false"
	case reflect.Float64:
		want = "a number"
	case reflect.Int, reflect.Int64:
		want = "a whole number"
	}
	f.mismatch(key, want, v)
}

func (f *File) mismatch(key, want string, v any) {
	got := "a list"
	switch v := v.(type) {
	case map[string]any:
		got = "an object"
	case string:
		got = fmt.Sprintf("%.60q", v)
	case json.Number, bool:
		got = fmt.Sprintf("%.60v", v)
	}
	f.Fault(key, "%s is expected, not %s", want, got)
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// reader takes a text apart and notes the lines.
type reader struct {
	dec   *json.Decoder
	text  []byte
	lines fault.Lines
	twice []string // keys
}

// line is where the reader stands, or where an error is.
func (r *reader) line(err error) int {
	offset := r.dec.InputOffset()
	if e := (*json.SyntaxError)(nil); errors.As(err, &e) {
		offset = e.Offset
	}
	return 1 + bytes.Count(r.text[:min(int(offset), len(r.text))], []byte("\n"))
}

// value reads one value and all that it holds.
func (r *reader) value(key string, depth int) (any, error) {
	token, err := r.dec.Token()
	if err != nil {
		return nil, err
	}
	if len(r.lines) == maxKeys || depth == maxDepth {
		return nil, fmt.Errorf("at most %d values, %d deep, are expected", maxKeys, maxDepth)
	}
	if r.lines[key] == 0 {
		r.lines[key] = r.line(nil)
	}
	switch token {
	case json.Delim('{'):
		table := map[string]any{}
		for r.dec.More() {
			name, err := r.dec.Token()
			if err != nil {
				return nil, err
			}
			at := join(key, name.(string)) // a key is always a text
			if _, twice := table[name.(string)]; twice {
				r.twice = append(r.twice, at)
			}
			r.lines[at] = r.line(nil)
			if table[name.(string)], err = r.value(at, depth+1); err != nil {
				return nil, err
			}
		}
		_, err = r.dec.Token()
		return table, err
	case json.Delim('['):
		list := []any{}
		for i := 0; r.dec.More(); i++ {
			v, err := r.value(fmt.Sprintf("%s[%d]", key, i), depth+1)
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		_, err = r.dec.Token()
		return list, err
	}
	return token, nil
}
