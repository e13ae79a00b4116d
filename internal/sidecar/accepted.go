package sidecar

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"spokegw/internal/journal"
	"spokegw/internal/operator"
	"spokegw/internal/state"
)

// acceptedKind names the file in which the last accepted operator's file is stored.
const acceptedKind = "accepted"

// LoadOperator reads the operator's file at path, if one is named, into a loaded configuration.
// If that file is invalid, the last accepted version replaces it, from the state folder that
// the invalid file names or else from folder, so an invalid file has no effect across a restart
// either.
func (c *Config) LoadOperator(path, folder string) error {
	if path == "" {
		return nil
	}
	f, err := operator.Load(path)
	if err == nil {
		err = c.CheckOperator(f)
	}
	if err != nil {
		if named := operator.StateFolder(path); named != "" {
			folder = named
		}
		last, mark, lastErr := c.lastAccepted(path, folder)
		if lastErr != nil {
			return fmt.Errorf("%w (%w)", err, lastErr)
		}
		slog.Error("operator's file rejected; starting with the last accepted one", "error", err, "sha256", mark.SHA256, "taken_over", mark.At)
		f = last
	}
	c.Operator = f
	return nil
}

// lastAccepted returns the operator's file that the sidecar accepted last.
func (c *Config) lastAccepted(path, folder string) (f *operator.File, mark state.FileRevision, err error) {
	if folder == "" {
		return nil, mark, fmt.Errorf("there is no replacement: no [state] folder is known")
	}
	a, err := readAccepted(folder, c.Name)
	if err == nil {
		f, err = operator.Parse(path+" as last accepted", []byte(a.Text))
	}
	if err == nil {
		err = c.CheckOperator(f)
	}
	if err != nil {
		return nil, mark, fmt.Errorf("there is no replacement: %w", err)
	}
	return f, a.Marks[0], nil
}

// readAccepted reads the stored file without locking it: another process may be appending to
// it, so the last complete record counts.
func readAccepted(folder, name string) (*state.Accepted, error) {
	file, err := os.Open(state.Path(folder, name, acceptedKind))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	b, err := io.ReadAll(io.LimitReader(file, journal.MaxFile))
	if err != nil {
		return nil, err
	}
	found, err := journal.Scan(b)
	if err != nil {
		return nil, err
	}
	return state.DecodeAccepted(name, found.Last)
}

// saveOperatorFile stores the operator's file in force. The caller holds s.mu.
func (s *Sidecar) saveOperatorFile() {
	f := s.config.Operator
	if f == nil || s.handedOver.Load() {
		return
	}
	s.fileKeeper.Save(func(last []byte) ([]byte, error) {
		a := &state.Accepted{}
		if last != nil {
			if previous, err := state.DecodeAccepted(s.config.Name, last); err == nil {
				a = previous
			} else {
				slog.Warn("the last accepted operator's file can't be read", "error", err)
			}
		}
		if !a.Add(s.config.Name, string(f.Text()), time.Now()) {
			return last, nil
		}
		return a.Encode()
	})
}
