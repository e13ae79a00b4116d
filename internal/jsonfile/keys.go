package jsonfile

import (
	"maps"
	"slices"
)

// Keys are the paths of the values in a file, such as limits.sockets or classes[].name. A path
// below a list is included only if every entry has it.
type Keys map[string]bool

// Keys returns the paths in the file, except those in the top-level keys skip.
func (f *File) Keys(skip ...string) Keys {
	table, _ := f.values.(map[string]any)
	table = maps.Clone(table)
	for _, name := range skip {
		delete(table, name)
	}
	return keysOf(table)
}

func keysOf(v any) Keys {
	keys := Keys{}
	switch v := v.(type) {
	case map[string]any:
		for name, entry := range v {
			keys[name] = true
			for k := range keysOf(entry) {
				keys[name+k] = true
			}
		}
		return withPrefix(".", keys)
	case []any:
		for i, entry := range v {
			entryKeys := keysOf(entry)
			if i == 0 {
				keys = entryKeys
			}
			maps.DeleteFunc(keys, func(k string, _ bool) bool { return !entryKeys[k] })
		}
		return withPrefix("[]", keys)
	}
	return keys
}

func withPrefix(prefix string, keys Keys) Keys {
	result := make(Keys, len(keys))
	for k := range keys {
		result[prefix+k] = true
	}
	return result
}

// Missing returns the keys that others lacks, sorted.
func (k Keys) Missing(others Keys) (missing []string) {
	for _, key := range slices.Sorted(maps.Keys(k)) {
		if !others[key] {
			missing = append(missing, key[1:]) // without the leading dot
		}
	}
	return missing
}
