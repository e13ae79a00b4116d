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

// Path is where a sidecar keeps something of a kind in a folder, which may be that
// of several.
func Path(folder, name, kind string) string {
	h := fnv.New64a()
	h.Write([]byte(name))
	return filepath.Join(folder, fmt.Sprintf("spokegw-%016x.%s", h.Sum64(), kind))
}

// Encode makes an image of what the sidecar of a name knows now. ended tells that it has
// served all that it will.
func Encode(name string, st *handover.State, ended bool) ([]byte, error) {
	all, why := plan.Parts(&plan.Image{Version: plan.Version, Name: name, At: Now(), Ended: ended, State: st})
	if why != "" {
		return nil, errors.New("state: " + why)
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

// Parts are those of an image, and behind them those that are whole in what follows it
// in its file, the tail: images that are torn or spoilt.
func Parts(image, tail []byte) (all []plan.Part, why error) {
	if b := bytes.TrimLeft(image, " "); len(b) > 0 && b[0] == '{' { // of the first version
		var i plan.Image
		if err := json.Unmarshal(b, &i); err != nil {
			return nil, fmt.Errorf("state: %w", err)
		}
		brought, said := plan.Parts(&i)
		if said != "" {
			return nil, errors.New("state: " + said)
		}
		all = brought
	} else if all, why = readParts[plan.Part](image); why != nil {
		return nil, why
	}
	later, _ := readParts[plan.Part](tail) // what can't be read of it is left out
	return append(all, later...), nil
}

// readParts are the parts of one kind that are whole. One that has its checksum and can't
// be read is somebody else's: the error is for the first.
func readParts[T any](b []byte) (all []T, why error) {
	whole, _ := parts.Read(b)
	for _, text := range whole {
		var p T
		if err := json.Unmarshal(text, &p); err == nil {
			all = append(all, p)
		} else if why == nil {
			why = fmt.Errorf("state: %w", err)
		}
	}
	return all, why
}

// Decode is what is worth something now of an image and of what follows it in its file.
func Decode(name string, image, tail []byte) (*handover.State, error) {
	all, err := Parts(image, tail)
	if err != nil {
		return nil, err
	}
	st, why := plan.Merge(all, name, Now())
	if st == nil {
		return nil, errors.New("state: " + why)
	}
	return st, nil
}

// SavedMoves are the moves of a service as they are kept.
type SavedMoves struct {
	handover.ServiceRef
	Moves []moves.Record
}

// EncodeMoves makes a record of where the moves are, a part for each service.
func EncodeMoves(all []SavedMoves) (b []byte, err error) {
	if len(all) == 0 {
		return []byte("\n"), nil // a record has something in it
	}
	for i := range all {
		if b, err = parts.Append(b, &all[i]); err != nil {
			return nil, fmt.Errorf("state: %w", err)
		}
	}
	return b, nil
}

// DecodeMoves is what a record of moves tells, and what follows it in its file: of a
// service the last that is whole. The first version was one piece of JSON.
func DecodeMoves(record, tail []byte) (all []SavedMoves, err error) {
	if b := bytes.TrimLeft(record, " "); len(b) > 0 && (b[0] == '[' || b[0] == 'n') {
		if err := json.Unmarshal(b, &all); err != nil {
			return nil, fmt.Errorf("state: %w", err)
		}
	} else if all, err = readParts[SavedMoves](record); err != nil {
		return nil, err
	}
	later, _ := readParts[SavedMoves](tail)
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
