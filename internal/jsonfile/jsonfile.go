// Package jsonfile finds all faults of a JSON file, where encoding/json reports only the first. It
// is for a file that was refused: it reports everything that json.Unmarshal would fail on.
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

// Bounds on the work, against a file crafted to exhaust memory.
const (
	maxDepth  = 64
	maxKeys   = 1 << 15
	maxFaults = 100
)

// File is a decoded file with the line of each value.
type File struct {
	name   string
	values any
	lines  fault.Lines
	Faults fault.Faults // those found so far, at most maxFaults
}

// Read decodes a file's text. If the text is not JSON, File.Faults has one fault.
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
	for _, key := range r.duplicates {
		f.Fault(key, "duplicate key")
	}
	return f
}

// Fault adds a fault for the value of a key.
func (f *File) Fault(key, format string, args ...any) {
	if len(f.Faults) < maxFaults {
		f.Faults = append(f.Faults, fault.Fault{File: f.name, Line: f.lines.Lookup(key), Key: key, Text: fmt.Sprintf(format, args...)})
	}
}

// Check compares the file with the type that it is to be decoded into, by the rules of
// encoding/json: keys that the type does not have are ignored, and null is valid for every type.
func (f *File) Check(as any) { f.check("", f.values, reflect.TypeOf(as)) }

func (f *File) check(key string, v any, t reflect.Type) {
	if v == nil {
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		f.check(key, v, t.Elem())
	case reflect.Struct:
		f.checkObject(key, v, t)
	case reflect.Slice:
		list, ok := v.([]any)
		if !ok {
			f.mismatch(key, "a list", v)
		}
		for i, entry := range list {
			f.check(fmt.Sprintf("%s[%d]", key, i), entry, t.Elem())
		}
	default:
		f.checkScalar(key, v, t)
	}
}

func (f *File) checkObject(key string, v any, t reflect.Type) {
	table, ok := v.(map[string]any)
	if !ok {
		f.mismatch(key, "an object", v)
		return
	}
	for _, field := range reflect.VisibleFields(t) {
		name, tagged := field.Tag.Lookup("json")
		if !tagged {
			continue // embedded: VisibleFields also lists its fields
		}
		for k, entry := range table {
			if strings.EqualFold(k, name) {
				f.check(join(key, k), entry, field.Type)
			}
		}
	}
}

func (f *File) checkScalar(key string, v any, t reflect.Type) {
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

// reader decodes a text and records the line of each value.
type reader struct {
	dec        *json.Decoder
	text       []byte
	lines      fault.Lines
	duplicates []string // duplicate keys
}

// line returns the line of an error, or else that of the decoder.
func (r *reader) line(err error) int {
	offset := r.dec.InputOffset()
	if e := (*json.SyntaxError)(nil); errors.As(err, &e) {
		offset = e.Offset
	}
	return 1 + bytes.Count(r.text[:min(int(offset), len(r.text))], []byte("\n"))
}

// value reads one value, including nested ones.
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
			path := join(key, name.(string)) // a key is always a string
			if _, duplicate := table[name.(string)]; duplicate {
				r.duplicates = append(r.duplicates, path)
			}
			r.lines[path] = r.line(nil)
			if table[name.(string)], err = r.value(path, depth+1); err != nil {
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
