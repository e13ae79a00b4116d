package state

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"path/filepath"

	"spokegw/internal/handover"
	"spokegw/internal/moves"
	"spokegw/internal/state/parts"
	"spokegw/internal/state/plan"
)

// Path is the file of a sidecar for one kind of data, in a directory that several
// sidecars may share.
func Path(folder, name, kind string) string {
	h := fnv.New64a()
	h.Write([]byte(name))
	return filepath.Join(folder, fmt.Sprintf("spokegw-%016x.%s", h.Sum64(), kind))
}

// Encode encodes an image of the current state of a sidecar. ended states that it serves
// no further request.
func Encode(name string, st *handover.State, ended bool) ([]byte, error) {
	all, reason := plan.Parts(&plan.Image{Version: plan.Version, Name: name, At: Now(), Ended: ended, State: st})
	if reason != "" {
		return nil, errors.New("state: " + reason)
	}
	var b []byte
	for i := range all {
		var err error
		if b, err = parts.Append(b, &all[i]); err != nil {
			return nil, fmt.Errorf("state: %w", err)
		}
	}
	return b, nil
}

// Parts decodes the parts of an image, followed by the valid ones of the tail, which is
// what follows it in its file: torn or corrupted images.
func Parts(image, tail []byte) (all []plan.Part, err error) {
	if b := bytes.TrimLeft(image, " "); len(b) > 0 && b[0] == '{' { // version 1
		var i plan.Image
		if err := json.Unmarshal(b, &i); err != nil {
			return nil, fmt.Errorf("state: %w", err)
		}
		converted, reason := plan.Parts(&i)
		if reason != "" {
			return nil, errors.New("state: " + reason)
		}
		all = converted
	} else if all, err = decodeParts[plan.Part](image); err != nil {
		return nil, err
	}
	later, _ := decodeParts[plan.Part](tail) // unreadable parts are skipped
	return append(all, later...), nil
}

// decodeParts decodes the valid parts. One with a correct checksum that can't be decoded
// comes from another program: the first such error is returned.
func decodeParts[T any](b []byte) (all []T, firstErr error) {
	valid, _ := parts.Read(b)
	for _, text := range valid {
		var p T
		if err := json.Unmarshal(text, &p); err == nil {
			all = append(all, p)
		} else if firstErr == nil {
			firstErr = fmt.Errorf("state: %w", err)
		}
	}
	return all, firstErr
}

// Decode returns what is still valid of an image and of what follows it in its file.
func Decode(name string, image, tail []byte) (*handover.State, error) {
	all, err := Parts(image, tail)
	if err != nil {
		return nil, err
	}
	st, reason := plan.Merge(all, name, Now())
	if st == nil {
		return nil, errors.New("state: " + reason)
	}
	return st, nil
}

// SavedMoves is the persisted state of the moves of one service.
type SavedMoves struct {
	handover.ServiceRef
	Moves []moves.Record
}

// EncodeMoves encodes the state of the moves, one part for each service.
func EncodeMoves(all []SavedMoves) (b []byte, err error) {
	if len(all) == 0 {
		return []byte("\n"), nil // a record must not be empty
	}
	for i := range all {
		if b, err = parts.Append(b, &all[i]); err != nil {
			return nil, fmt.Errorf("state: %w", err)
		}
	}
	return b, nil
}

// DecodeMoves decodes a record of moves and what follows it in its file: the last valid
// part of each service counts. Version 1 was a single JSON value.
func DecodeMoves(record, tail []byte) (all []SavedMoves, err error) {
	if b := bytes.TrimLeft(record, " "); len(b) > 0 && (b[0] == '[' || b[0] == 'n') {
		if err := json.Unmarshal(b, &all); err != nil {
			return nil, fmt.Errorf("state: %w", err)
		}
	} else if all, err = decodeParts[SavedMoves](record); err != nil {
		return nil, err
	}
	later, _ := decodeParts[SavedMoves](tail)
	for _, l := range later {
		at := len(all)
		for i := range all {
			if all[i].ServiceRef == l.ServiceRef {
				at = i
			}
		}
		if at == len(all) {
			all = append(all, l)
		} else {
			all[at] = l
		}
	}
	return all, nil
}
