package management

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
)

// maxAnswer bounds an answer in bytes: that on 4,096 endpoints has some 800 KB.
const maxAnswer = 4 << 20

// Call makes a call at an address and returns the lines of its answer, without End. An answer
// of NO is returned as an error with its text.
func Call(ctx context.Context, addr, line string) ([]string, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", line, err)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return nil, fmt.Errorf("%s: %w", line, err)
	}
	text, err := io.ReadAll(io.LimitReader(c, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", line, err)
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	last := lines[len(lines)-1]
	switch {
	case lines[0] == "":
		return nil, fmt.Errorf("%s: no answer", line)
	case strings.HasPrefix(lines[0], "NO"):
		return nil, errors.New(strings.TrimSpace(strings.TrimPrefix(lines[0], "NO")))
	case last+"\n" == End:
		return lines[:len(lines)-1], nil
	case lines[0]+"\n" == Yes:
		return lines, nil
	}
	return nil, fmt.Errorf("%s: the answer is incomplete", line)
}
