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

// acceptedKind names the file that keeps the operator's file as it was taken over.
const acceptedKind = "accepted"

// LoadOperator reads the operator's file at path, if one is named, into a
// configuration that has been loaded. Where it can't be used, the file that the
// sidecar took over last stands in for it, if that is in the folder that the file
// names, or else in folder: a bad file changes nothing, also over a restart.
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
		last, mark, why := c.lastAccepted(path, folder)
		if why != nil {
			return fmt.Errorf("%w (%w)", err, why)
		}
		slog.Error("the operator's file is not used: starting with the one taken over last", "error", err, "sha256", mark.SHA256, "taken_over", mark.At)
		f = last
	}
	c.Operator = f
	return nil
}

// lastAccepted is the file that the sidecar took over last.
func (c *Config) lastAccepted(path, folder string) (f *operator.File, mark state.FileRevision, err error) {
	if folder == "" {
		return nil, mark, fmt.Errorf("nothing stands in for it: no folder of [state] is known")
	}
	a, err := readAccepted(folder, c.Name)
	if err == nil {
		f, err = operator.Parse(path+" as it was taken over", []byte(a.Text))
	}
	if err == nil {
		err = c.CheckOperator(f)
	}
	if err != nil {
		return nil, mark, fmt.Errorf("nothing stands in for it: %w", err)
	}
	return f, a.Marks[0], nil
}

// readAccepted reads what was kept without a hold on it: another process may be
// writing it, whose last whole record counts.
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

// keepFile keeps the operator's file that is served by. It is to be called with the
// lock of the sidecar.
func (s *Sidecar) keepFile() {
	f := s.config.Operator
	if f == nil || s.yielded.Load() {
		return
	}
	s.keptFile.Save(func(last []byte) ([]byte, error) {
		a := &state.Accepted{}
		if last != nil {
			if before, err := state.DecodeAccepted(s.config.Name, last); err == nil {
				a = before
			} else {
				slog.Warn("the file taken over before is not known", "error", err)
			}
		}
		if !a.Add(s.config.Name, string(f.Text()), time.Now()) {
			return last, nil
		}
		return a.Encode()
	})
}
