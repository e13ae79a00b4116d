package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"log/slog"
	"time"

	"spokegw/internal/fault"
	"spokegw/internal/figures"
	"spokegw/internal/jsonfile"
)

// File names one of the files that are read again at SIGHUP.
type File string

// The files.
const (
	ConfigurationFile File = "configuration"
	OperatorsFile     File = "operator's file"
)

// RejectedFile is a file that was rejected, while its previous version stays in force.
type RejectedFile struct {
	File   File      `json:"file"`
	Reason string    `json:"reason"` // as in the metrics
	At     time.Time `json:"at"`
	Faults []string  `json:"faults"`
}

// parseError is why a file can't be used: all its faults, and what the reader met first.
type parseError struct {
	faults fault.Faults
	first  error
}

func (e *parseError) Error() string   { return e.faults.Error() }
func (e *parseError) Unwrap() []error { return []error{e.faults, e.first} }

// rejectionOf returns the reason that an error stands for.
func rejectionOf(err error) figures.Rejection {
	var (
		unreadable *fs.PathError
		syntax     *json.SyntaxError
		incomplete *jsonfile.MissingKeysError
	)
	switch {
	case errors.As(err, &unreadable):
		return figures.Unreadable
	case errors.As(err, &syntax), errors.Is(err, io.ErrUnexpectedEOF):
		return figures.Malformed
	case errors.As(err, &incomplete):
		return figures.Incomplete
	}
	return figures.Invalid
}

// recordReload counts a reload of a file, and keeps why it was rejected until one is accepted. It
// returns the faults. The caller holds s.reloading.
func (s *Sidecar) recordReload(file File, err error) (faults []string) {
	if err == nil {
		s.figures.Reloads.Add(1)
		s.setRejected(file, nil)
		return nil
	}
	reason := rejectionOf(err)
	if file == ConfigurationFile {
		slog.Error("the new configuration is not used", "reason", reason.String(), "error", err)
	} else {
		slog.Error("the new operator's file is not used", "reason", reason.String(), "error", err)
	}
	s.figures.ReloadErrors.Add(1)
	s.figures.Rejections[reason].Add(1)
	faults = faultTexts(err)
	s.setRejected(file, &RejectedFile{file, reason.String(), time.Now(), faults})
	return faults
}

// setRejected sets the rejected version of a file; nil: it was accepted.
func (s *Sidecar) setRejected(file File, rejected *RejectedFile) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[file] = rejected
}

// handleRejected sends the files that were rejected and not replaced since.
func (s *Sidecar) handleRejected(_ context.Context, _ json.RawMessage, send func(any) error) error {
	for _, file := range []File{ConfigurationFile, OperatorsFile} {
		s.mu.Lock()
		rejected := s.rejected[file]
		s.mu.Unlock()
		if rejected == nil {
			continue
		}
		if err := send(rejected); err != nil {
			return err
		}
	}
	return nil
}
