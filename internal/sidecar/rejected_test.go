package sidecar_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spokegw/internal/figures"
	"spokegw/internal/lab/scene"
	"spokegw/internal/operator"
	"spokegw/internal/sidecar"
)

// A rejected file is counted by its reason, and shown with its faults until one is accepted.
func TestRejectedFileIsShownUntilOneIsAccepted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	whole := scene.Configuration(scene.Platform{Listen: "127.0.0.1:0", Registry: "127.0.0.1:1", Classes: scene.Classes(scene.Config{})})
	write := func(text []byte) {
		t.Helper()
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	load := func() (sidecar.Config, error) {
		return sidecar.LoadConfig(func(name string) string { return map[string]string{"NODE_CONFIG": path}[name] })
	}
	write(whole)
	config, err := load()
	if err != nil {
		t.Fatal(err)
	}
	s, err := sidecar.New(config)
	if err != nil {
		t.Fatal(err)
	}
	replaced := func(old, next string) []byte { return bytes.Replace(whole, []byte(old), []byte(next), 1) }
	for _, c := range []struct {
		name   string
		text   []byte
		reason figures.Rejection
		fault  string
	}{
		{"empty", nil, figures.Malformed, "JSON"},
		{"cut off", whole[:len(whole)/2], figures.Malformed, "JSON"},
		{"short of a scope", replaced(`"key_scope":"cell",`, ""), figures.Incomplete, "key_scope"},
		{"short of a key of all", replaced(`"worth":1`, `"worth_of":1`), figures.Incomplete, "settings.classes[map-tile].worth"},
		{"short of its address", replaced(`"listen":"127.0.0.1:0"`, `"listen":""`), figures.Incomplete, "NODE_LISTEN"},
		{"a limit of 0", replaced(`"hard_limit_ms":1200`, `"hard_limit_ms":0`), figures.Invalid, "hard_limit_ms"},
		{"another type", replaced(`"hard_limit_ms":1200`, `"hard_limit_ms":"long"`), figures.Invalid, "hard_limit_ms"},
	} {
		before := s.Rejections(c.reason)
		write(c.text)
		s.ReloadFiles(load, nil)
		rejected := s.Rejected()
		if len(rejected) != 1 || rejected[0].File != sidecar.ConfigurationFile || rejected[0].Reason != c.reason.String() || !strings.Contains(strings.Join(rejected[0].Faults, "\n"), c.fault) {
			t.Errorf("%s: %+v is shown, want %v and %s", c.name, rejected, c.reason, c.fault)
		}
		if n := s.Rejections(c.reason) - before; n != 1 {
			t.Errorf("%s: counted %d times as %v", c.name, n, c.reason)
		}
	}
	os.Remove(path)
	s.ReloadFiles(load, func() (*operator.File, error) { return operator.Load(path) })
	if rejected := s.Rejected(); len(rejected) != 2 || rejected[0].Reason != "unreadable" || rejected[1].File != sidecar.OperatorsFile {
		t.Errorf("without its files: %+v", rejected)
	}
	write(whole)
	s.ReloadFiles(load, nil)
	if rejected := s.Rejected(); len(rejected) != 1 || rejected[0].File != sidecar.OperatorsFile {
		t.Errorf("after a whole file: %+v", rejected)
	}
}
