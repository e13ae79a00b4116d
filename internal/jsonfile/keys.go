package jsonfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Outline is which keys the objects of a JSON file have. A key whose value is null counts as absent.
// Entries of a list are identified by their key name, so that two files can be compared whatever
// the order of their lists.
type Outline struct {
	objects map[string]outlineObject // by path, such as settings.classes[report]; "": the file itself
}

// outlineObject is an object of an outline.
type outlineObject struct {
	kind    string // its path without the names of entries, such as settings.classes[]
	isEntry bool   // it is an entry of a list
	keys    map[string]bool
}

// MissingKeysError tells the keys that a file is short of.
type MissingKeysError struct{ Keys []string }

func (e *MissingKeysError) Error() string { return strings.Join(e.Keys, ", ") }

// RequiredKeys returns the keys that each object of a kind must have. The kind is the object's path
// with [] for any entry of a list; "" is the file itself.
type RequiredKeys func(kind string) []string

// ReadOutline returns the outline of a file. Of the values of the top-level keys opaque only their
// presence counts.
func ReadOutline(text []byte, opaque ...string) (Outline, error) {
	o := Outline{objects: map[string]outlineObject{}}
	top := map[string]json.RawMessage{}
	if err := json.Unmarshal(text, &top); err != nil {
		return o, err
	}
	table := make(map[string]any, len(top))
	for name, text := range top {
		if slices.Contains(opaque, name) && string(text) != "null" {
			table[name] = true
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.UseNumber() // a number may be too large for its type where nothing reads it
		var value any
		if err := decoder.Decode(&value); err != nil {
			return o, err
		}
		table[name] = value
	}
	o.add("", "", false, table)
	return o, nil
}

// add adds the objects in a value.
func (o *Outline) add(path, kind string, isEntry bool, value any) {
	switch value := value.(type) {
	case map[string]any:
		object := outlineObject{kind: kind, isEntry: isEntry, keys: map[string]bool{}}
		for name, v := range value {
			if v != nil {
				object.keys[name] = true
				o.add(join(path, name), join(kind, name), false, v)
			}
		}
		o.objects[path] = object
	case []any:
		for i, entry := range value {
			o.add(fmt.Sprintf("%s[%s]", path, entryName(value, i)), kind+"[]", true, entry)
		}
	}
}

// entryName identifies an entry of a list: by its key name, or by its index if that is absent or not
// its own alone.
func entryName(list []any, i int) string {
	name := nameOf(list[i])
	for j, other := range list {
		if name == "" || j != i && nameOf(other) == name {
			return fmt.Sprint("#", i)
		}
	}
	return name
}

func nameOf(entry any) string {
	table, _ := entry.(map[string]any)
	name, _ := table["name"].(string)
	return name
}

// Missing returns the paths of the required keys that next, a later version of the file, is short of,
// sorted. Each object must have those that it had, and an entry that is new to its list those that all
// entries of the list had. Entries may be dropped.
func (o Outline) Missing(next Outline, required RequiredKeys) []string {
	var missing []string
	for path, object := range next.objects {
		previous, known := o.objects[path]
		for _, name := range required(object.kind) {
			expected := previous.keys[name]
			if !known && object.isEntry {
				expected = o.allEntriesHave(object.kind, name)
			}
			if expected && !object.keys[name] {
				missing = append(missing, join(path, name))
			}
		}
	}
	slices.Sort(missing)
	return missing
}

// allEntriesHave reports whether all entries of a kind have a key.
func (o Outline) allEntriesHave(kind, key string) bool {
	for _, object := range o.objects {
		if object.isEntry && object.kind == kind && !object.keys[key] {
			return false
		}
	}
	return true
}
