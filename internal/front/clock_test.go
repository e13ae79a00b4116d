package front

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestClock(t *testing.T) {
	at := At(Now() + time.Hour)
	if left := time.Until(at); left < 59*time.Minute || left > time.Hour {
		t.Errorf("an hour from now is in %v", left)
	}
	if d := Until(at) - Now(); d < 59*time.Minute || d > time.Hour {
		t.Errorf("and %v", d)
	}
	if text := at.String(); !strings.Contains(text, "m=+") {
		t.Errorf("%s is by the clock of the day", text)
	}
}

// No test can set the clock of the day, so this looks for times that would move
// with it: those turned into a number, and made of one.
func TestNoTimeOfDay(t *testing.T) {
	files, err := filepath.Glob("*/*.go")
	if err != nil || len(files) < 5 {
		t.Fatal(files, err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, of := range []string{".UnixNano()", ".Unix()", ".UnixMilli()", "time.Unix(", ".Round(0)"} {
			if strings.Contains(string(text), of) {
				t.Errorf("%s has %s", name, of)
			}
		}
	}
}
