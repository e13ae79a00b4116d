package wire

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"spokegw/internal/jsonfile"
)

// RawSettings is what the settings object is decoded into.
type RawSettings struct{ options }

// UnmarshalJSON decodes the settings object.
func (s *RawSettings) UnmarshalJSON(text []byte) error { return json.Unmarshal(text, &s.options) }

// Check records in the file what the module refuses in the settings, which are at key.
// The module itself reports only the first fault, and not where it is.
func (s *RawSettings) Check(f *jsonfile.File, key string) {
	if len(s.Classes) == 0 {
		f.Fault(key+".classes", "at least one class is expected")
	}
	for i := range s.Classes {
		s.checkClass(f, fmt.Sprintf("%s.classes[%d]", key, i), i)
	}
	if s.FleetSize < 1 {
		f.Fault(key+".fleet_size", "at least 1 is expected, not %d", s.FleetSize)
	}
	if s.Limits.SendCap < 1 {
		f.Fault(key+".limits.send_cap", "at least 1 is expected, not %d", s.Limits.SendCap)
	}
	if c := s.Rules.StartCapacity; c < 0 || c > 1 {
		f.Fault(key+".rules.start_capacity", "a number from 0 to 1 is expected, not %v", c)
	}
	if m := s.Rules.FallMultiple; m < 0 {
		f.Fault(key+".rules.fall_multiple", "a number over 0 is expected, not %v", m)
	}
	if ms := s.Rules.FallTime; ms < 0 {
		f.Fault(key+".rules.fall_ms", "a time in milliseconds is expected, not %v", ms)
	}
}

func (s *RawSettings) checkClass(f *jsonfile.File, key string, i int) {
	c := s.Classes[i]
	for _, name := range s.missingKeyedKeys(i) {
		f.Fault(key+"."+name, "it is missing, and a class with the effect %s needs it (class %.60q)", keyedEffect, c.Name)
	}
	checkOneOf(f, key+".effect", effects, c.Effect)
	checkOneOf(f, key+".key_scope", scopes, c.Scope)
	if c.Limit == 0 {
		f.Fault(key+".hard_limit_ms", "a time over 0 in milliseconds is expected, not 0")
	}
	for _, field := range []struct {
		name string
		ms   *float64
	}{{"aim_ms", &c.Aim}, {"hard_limit_ms", &c.Limit}, {"dedup_window_ms", c.Window}} {
		if field.ms != nil && *field.ms < 0 {
			f.Fault(key+"."+field.name, "a time in milliseconds is expected, not %v", *field.ms)
		}
	}
}

func checkOneOf[T any](f *jsonfile.File, key string, table map[string]T, name string) {
	if _, ok := table[name]; ok {
		return
	}
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(table)), func(n string) bool { return n == "" })
	f.Fault(key, "%s is expected, not %.60q", strings.Join(names, ", "), name)
}
