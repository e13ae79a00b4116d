package operator

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Change is a difference between two files: an item that is added, removed or changed.
type Change struct {
	What string `json:"what"` // such as team "lisina", allow 0, rate
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.What, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.What, c.Old)
	}
	return fmt.Sprintf("~ %s: %s, was %s", c.What, c.New, c.Old)
}

// Diff returns the changes from one file to another. It matches services, classes, teams and moves
// by name, regardless of order.
func Diff(old, next *File) (changes []Change) {
	d := differ{}
	d.compare("file", reflect.ValueOf(*old), reflect.ValueOf(*next))
	for i := range d.changes {
		d.changes[i].What = strings.TrimPrefix(strings.TrimPrefix(d.changes[i].What, "file"), ", ")
	}
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(item, old, next string) {
	if old != next {
		d.changes = append(d.changes, Change{item, old, next})
	}
}

// compare compares two values of one type. Unexported fields, such as an item's position in its
// file, are ignored.
func (d *differ) compare(path string, old, next reflect.Value) {
	switch old.Kind() {
	case reflect.Pointer:
		switch {
		case old.IsNil() && next.IsNil():
		case old.IsNil():
			d.add(path, "", abbreviate(next.Elem().Interface()))
		case next.IsNil():
			d.add(path, abbreviate(old.Elem().Interface()), "")
		default:
			d.compare(path, old.Elem(), next.Elem())
		}
	case reflect.Struct:
		for i := range old.NumField() {
			f := old.Type().Field(i)
			switch {
			case f.Anonymous && f.Type.Kind() == reflect.Struct:
				d.compare(path, old.Field(i), next.Field(i))
			case f.IsExported():
				d.compare(path+", "+kebabCase(f.Name), old.Field(i), next.Field(i))
			}
		}
	case reflect.Slice:
		d.compareLists(path, old, next)
	default:
		d.add(path, formatValue(old), formatValue(next))
	}
}

// compareLists compares lists of named items by name, lists of other structs by index if they are
// equally long, and all others as a whole.
func (d *differ) compareLists(path string, old, next reflect.Value) {
	hasName := old.Type().Elem().Kind() == reflect.Struct
	if hasName {
		_, hasName = old.Type().Elem().FieldByName("Name")
	}
	if !hasName {
		if old.Type().Elem().Kind() != reflect.Struct || old.Len() != next.Len() {
			d.add(path, formatValue(old), formatValue(next))
			return
		}
		for i := range old.Len() {
			d.compare(fmt.Sprintf("%s %d", path, i), old.Index(i), next.Index(i))
		}
		return
	}
	name := func(v reflect.Value) string { return v.FieldByName("Name").String() }
	names := func(v reflect.Value) (result []string) {
		for i := range v.Len() {
			result = append(result, name(v.Index(i)))
		}
		return result
	}
	before, after := names(old), names(next)
	singular := strings.TrimSuffix(strings.TrimSuffix(path, "es"), "s")
	for i, n := range before {
		item := fmt.Sprintf("%s %q", singular, n)
		if j := slices.Index(after, n); j >= 0 {
			d.compare(item, old.Index(i), next.Index(j))
		} else {
			d.add(item, "there", "")
		}
	}
	for _, n := range after {
		if !slices.Contains(before, n) {
			d.add(fmt.Sprintf("%s %q", singular, n), "", "there")
		}
	}
}

// formatValue formats a value as an operator would write it.
func formatValue(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case time.Duration:
		return x.String()
	case string:
		if x == "" {
			return "nothing"
		}
		return fmt.Sprintf("%q", x)
	}
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "none"
	}
	return fmt.Sprint(v.Interface())
}

// kebabCase returns a field name in lower case, with hyphens between its words.
func kebabCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if i > 0 && r >= 'A' && r <= 'Z' && name[i-1] >= 'a' && name[i-1] <= 'z' {
			b.WriteByte('-')
		}
		b.WriteRune(r)
	}
	return strings.ToLower(b.String())
}
