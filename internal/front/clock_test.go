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
		t.Errorf("the time one hour ahead is reached in %v", left)
	}
	if d := Offset(at) - Now(); d < 59*time.Minute || d > time.Hour {
		t.Errorf("its offset is %v from now", d)
	}
	if text := at.String(); !strings.Contains(text, "m=+") {
		t.Errorf("%s has no monotonic reading", text)
	}
}

// No test can set the wall clock, so this one searches the sources for times that would
// move with it: conversions to and from a number.
func TestNoWallClockTimes(t *testing.T) {
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
		for _, pattern := range []string{".UnixNano()", ".Unix()", ".UnixMilli()", "time.Unix(", ".Round(0)"} {
			if strings.Contains(string(text), pattern) {
				t.Errorf("%s uses %s", name, pattern)
			}
		}
	}
}
