package trial

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"spokegw/internal/lab"
)

// logFile keeps what a sidecar logs, and finds the violations in it that the sidecar has
// counted itself.
type logFile struct {
	mu    sync.Mutex
	file  *os.File
	rest  []byte // of a line that is not whole
	found []finding
}

const maxFound = 100

// finding is a line that tells of a violation.
type finding struct {
	text string
	at   time.Time
}

// late reports whether it may be for a hold-up of this machine: a panic never is.
func (f finding) late(h *lab.HoldUps) bool {
	return strings.Contains(f.text, ruleMark) && late(h, f.at.Add(-spans), f.at)
}

// ruleMark is in the lines in which a sidecar tells that it has violated a rule.
const ruleMark = `msg="rule violated"`

var marks = [][]byte{[]byte(ruleMark), []byte("msg=panic"), []byte("panic:")}

func newLogFile(path string) (*logFile, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("trial: log: %w", err)
	}
	return &logFile{file: f}, nil
}

func (l *logFile) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rest = append(l.rest, b...)
	for {
		line, rest, whole := bytes.Cut(l.rest, []byte("\n"))
		if !whole {
			break
		}
		for _, mark := range marks {
			if bytes.Contains(line, mark) && len(l.found) < maxFound {
				l.found = append(l.found, finding{string(line), time.Now()})
			}
		}
		l.rest = rest
	}
	l.rest = append([]byte(nil), l.rest...)
	return l.file.Write(b)
}

func (l *logFile) Close() error { return l.file.Close() }

func (l *logFile) violations() []finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.found
}
