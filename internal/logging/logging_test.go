package logging

import (
	"bytes"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A flood of one event is logged up to its limit, then with the number of suppressed events, and
// does not hide other events.
func TestFloodIsRateLimited(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1_000_000, 0)
	l := newLog(slog.NewTextHandler(&out, nil), func() time.Time { return now })
	log := slog.New(l)
	for i := range 10_000 {
		log.Info("accept", "error", i)
	}
	log.Info("ready")
	if n := strings.Count(out.String(), "msg=accept"); n != eventBurst || !strings.Contains(out.String(), "msg=ready") {
		t.Errorf("%d events of a flood are logged", n)
	}
	now = now.Add(time.Second)
	log.Info("accept")
	if want := fmt.Sprintf("left_out=%d", 10_000-int(eventBurst)); !strings.Contains(out.String(), want) {
		t.Errorf("%s is not logged", want)
	}
	for i := range 2 * maxEvents {
		log.Info(fmt.Sprint("event ", i))
	}
	if len(l.events) > maxEvents+1 {
		t.Errorf("%d events have a limit of their own", len(l.events))
	}
}

// A level applies to one package and for the time it was set for. Values from outside can't forge a
// log line.
func TestLevels(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1_000_000, 0)
	l := newLog(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: truncate}), func() time.Time { return now })
	log := slog.New(l).With("service", "maps")
	checkLogged := func(event string, want bool) {
		t.Helper()
		if got := strings.Contains(out.String(), "msg="+event); got != want {
			t.Errorf("%s is logged: %v", event, got)
		}
	}
	log.Debug("one")
	checkLogged("one", false)
	if err := l.SetLevel("logging", "debug", time.Minute); err != nil {
		t.Fatal(err)
	}
	log.Debug("two")
	checkLogged("two", true)
	now = now.Add(time.Minute)
	log.Debug("three")
	checkLogged("three", false)
	l.SetLevel("", "error", 0)
	log.Warn("four")
	checkLogged("four", false)
	if all := l.Levels(); len(all) != 1 || all[0].Level != "error" {
		t.Errorf("%+v", all)
	}
	log.Error("five", "id", "x\nlevel=ERROR msg=forged "+strings.Repeat("y", 10_000))
	if lines := strings.Split(strings.TrimSpace(out.String()), "\n"); !strings.Contains(lines[len(lines)-1], "msg=five") || len(lines[len(lines)-1]) > 2*maxText {
		t.Errorf("%.300q", lines)
	}
	for _, bad := range []error{l.SetLevel("core", "loud", 0), l.SetLevel("core", "info", -1)} {
		if bad == nil {
			t.Error("an invalid level was set")
		}
	}
	if _, err := New("xml", &out); err == nil {
		t.Error("a log in XML was created")
	}
}

// docs/operate/events.md documents every event in the code by its name, and no others.
func TestEventsAreDocumented(t *testing.T) {
	inCode := map[string]string{}
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (d.Name() == "bench" || d.Name() == "lab" || strings.HasPrefix(d.Name(), ".") && len(d.Name()) > 2):
			return filepath.SkipDir
		case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			sel, ok := call.Fun.(*ast.SelectorExpr)
			if lit, isText := call.Args[0].(*ast.BasicLit); ok && isText && lit.Kind == token.STRING && slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, sel.Sel.Name) {
				if text, err := strconv.Unquote(lit.Value); err == nil {
					inCode[text] = path
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/operate/events.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for line := range strings.Lines(string(page)) {
		if rest, ok := strings.CutPrefix(line, "| `"); ok {
			name, _, _ := strings.Cut(rest, "`")
			documented[name] = true
		}
	}
	var wrong error
	for name, path := range inCode {
		if !documented[name] {
			wrong = errors.Join(wrong, fmt.Errorf("%s logs %q, which the page does not list", path, name))
		}
	}
	for name := range documented {
		if _, there := inCode[name]; !there && !strings.HasPrefix(name, "move ") {
			wrong = errors.Join(wrong, fmt.Errorf("the page lists %q, which the code does not log", name))
		}
	}
	if wrong != nil {
		t.Error(wrong)
	}
}
