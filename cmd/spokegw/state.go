package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spokegw/internal/journal"
	"spokegw/internal/state"
	"spokegw/internal/state/parts"
	"spokegw/internal/state/plan"
)

// stateCommand returns spokegw state, which shows the state that sidecars have stored
// in a directory. It reads the files themselves, without a call to a running sidecar;
// only compact must not run beside one.
func (c *cli) stateCommand() *cobra.Command {
	st := &cobra.Command{Use: "state", Short: "what sidecars have kept on a disk ([state] of the operator's file)"}
	var folder string
	for _, sub := range []*cobra.Command{
		c.newCommand(&cobra.Command{Use: "show", Short: "each file, how old it is, and what of it would be used now"}, nil, func(*cobra.Command, []string) error { return c.stateShow(folder) }),
		c.newCommand(&cobra.Command{Use: "verify", Short: "read each file, and tell what is torn or spoilt; exits with 1 if something is"}, nil, func(*cobra.Command, []string) error { return c.stateVerify(folder) }),
		c.newCommand(&cobra.Command{Use: "export", Short: "the last record of each file, or its parts, as JSON in a line"}, nil, func(*cobra.Command, []string) error { return c.stateExport(folder) }),
		c.newCommand(&cobra.Command{Use: "compact", Short: "write each file anew with its last record; no sidecar may be using it"}, nil, func(*cobra.Command, []string) error { return c.stateCompact(folder) }),
	} {
		sub.Flags().StringVar(&folder, "directory", ".", "the `folder`")
		sub.Flags().BoolVar(&c.json, "json", false, "JSON, one object a line")
		st.AddCommand(sub)
	}
	return st
}

// keptFile is the content of a state file.
type keptFile struct {
	Name  string `json:"name"`
	Kind  string `json:"kind"` // state, moves or accepted
	Bytes int    `json:"bytes"`
	Whole int    `json:"whole"` // size of the valid prefix; the bytes after it are torn or corrupted
	Error string `json:"error,omitempty"`

	Damaged int `json:"damaged"` // corrupted records within the valid prefix, which are skipped

	last, tail []byte
}

// maxStateFiles bounds the files of each kind that are read from a directory.
const maxStateFiles = 1024

// readStateFiles reads the state files of a directory.
func readStateFiles(folder string) (all []keptFile, err error) {
	for _, kind := range []string{"state", "moves", "accepted"} {
		paths, err := filepath.Glob(filepath.Join(folder, "spokegw-*."+kind))
		if err != nil {
			return nil, err
		}
		for _, p := range paths[:min(len(paths), maxStateFiles)] {
			all = append(all, readStateFile(p, kind))
		}
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("no sidecar has kept anything in %s; --directory names the folder of [state]", folder)
	}
	slices.SortFunc(all, func(a, b keptFile) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}

func readStateFile(path, kind string) keptFile {
	f := keptFile{Name: path, Kind: kind}
	file, err := os.Open(path)
	if err != nil {
		f.Error = err.Error()
		return f
	}
	defer file.Close()
	b, err := io.ReadAll(io.LimitReader(file, journal.MaxFile))
	if err == nil {
		f.Bytes = len(b)
		var found journal.Found
		found, err = journal.Scan(b)
		f.last, f.tail, f.Whole, f.Damaged = found.Last, found.Tail, found.ValidSize, found.Damaged
	}
	if err != nil {
		f.Error = err.Error()
	}
	return f
}

func (c *cli) stateShow(folder string) error {
	files, err := readStateFiles(folder)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	if !c.json {
		fmt.Fprintln(w, "FILE\tSIDECAR\tKEPT\tWOULD BE USED NOW")
	}
	for _, f := range files {
		row := describeFile(&f)
		if c.json {
			if err := c.print(row); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", row.Name, orDash(row.Sidecar), orDash(row.Kept), row.Usable)
	}
	return w.Flush()
}

// fileRow is a row of spokegw state show.
type fileRow struct {
	keptFile
	Sidecar string `json:"sidecar,omitempty"`
	Kept    string `json:"kept,omitempty"` // age
	Usable  string `json:"usable"`
}

func describeFile(f *keptFile) fileRow {
	row := fileRow{keptFile: *f}
	switch {
	case f.Error != "":
		row.Usable = "no: " + f.Error
		return row
	case f.last == nil && f.tail == nil:
		row.Usable = "nothing is in it"
		return row
	case f.Kind == "accepted":
		describeAccepted(f, &row)
		return row
	case f.Kind == "moves":
		services, err := state.DecodeMoves(f.last, f.tail)
		if err != nil {
			row.Usable = "no: " + err.Error()
			return row
		}
		var all []string
		for _, s := range services {
			for _, m := range s.Moves {
				all = append(all, m.Name+" "+string(m.Phase))
			}
		}
		row.Usable = orDash(strings.Join(all, ", "))
		return row
	}
	all, err := state.Parts(f.last, f.tail)
	if err != nil || len(all) == 0 {
		row.Usable = "no: nothing in it can be read"
		if err != nil {
			row.Usable = "no: " + err.Error()
		}
		return row
	}
	newest := all[len(all)-1]
	ago, exact := plan.Elapsed(newest.At, state.Now())
	row.Sidecar, row.Kept = newest.Name, ago.Round(time.Second).String()+" ago"
	if !exact {
		row.Kept += ", by the clock of the day"
	}
	row.Usable = describeUsable(all, newest.Name)
	return row
}

// describeAccepted fills the row of a file of accepted operator's files, the newest first.
func describeAccepted(f *keptFile, row *fileRow) {
	var a state.Accepted
	err := json.Unmarshal(f.last, &a)
	if err == nil {
		_, err = state.DecodeAccepted(a.Name, f.last)
	}
	if err != nil {
		row.Usable = "no: " + err.Error()
		return
	}
	row.Sidecar, row.Kept = a.Name, time.Since(a.Marks[0].At).Round(time.Second).String()+" ago"
	row.Usable = fmt.Sprintf("operator's file of %d bytes, sha256 %.12s, the last of %d", a.Marks[0].Bytes, a.Marks[0].SHA256, len(a.Marks))
}

// describeUsable summarizes the parts of an image that a sidecar would restore now.
func describeUsable(all []plan.Part, name string) string {
	st, why := plan.Merge(all, name, state.Now())
	if st == nil {
		return "no: " + why
	}
	var learnt, teams, entries, keys, disabled int
	for _, s := range st.Services {
		learnt += len(s.Learnt)
		entries += len(s.Members.Entries)
		keys += len(s.Keys)
		disabled += len(s.Disabled)
		if s.Standing != nil {
			teams += len(s.Standing.Teams)
		}
	}
	text := fmt.Sprintf("%d endpoints, %d disabled, %d rows learnt, %d teams, %d keys, %d ids", entries, disabled, learnt, teams, keys, len(st.IDs.Hashes))
	if st.Drained {
		text += ", drained"
	}
	return text
}

func (c *cli) stateVerify(folder string) error {
	files, err := readStateFiles(folder)
	if err != nil {
		return err
	}
	damaged := 0
	for _, f := range files {
		verdict := "whole"
		switch {
		case f.Error != "":
			verdict = f.Error
			damaged++
		case f.Whole < f.Bytes:
			verdict = fmt.Sprintf("%d of %d bytes are whole: what follows is torn or spoilt; of it the parts are used that are whole", f.Whole, f.Bytes)
			damaged++
		case f.Damaged > 0:
			verdict = fmt.Sprintf("%d records are spoilt and left out, and the last is whole", f.Damaged)
			damaged++
		}
		if c.json {
			err = c.print(f)
		} else {
			_, err = fmt.Fprintf(c.out, "%s: %s\n", f.Name, verdict)
		}
		if err != nil {
			return err
		}
	}
	if damaged > 0 {
		return fmt.Errorf("%d of %d files are not whole", damaged, len(files))
	}
	return nil
}

func (c *cli) stateExport(folder string) error {
	files, err := readStateFiles(folder)
	if err != nil {
		return err
	}
	for _, f := range files {
		record := json.RawMessage(f.last)
		if !json.Valid(record) { // stored in parts, or corrupted, which verify reports
			intact, _ := parts.Read(slices.Concat(f.last, f.tail))
			if len(intact) == 0 {
				continue
			}
			var err error
			if record, err = json.Marshal(intact); err != nil {
				return err
			}
		}
		if err := c.print(map[string]any{"name": f.Name, "kind": f.Kind, "record": record}); err != nil {
			return err
		}
	}
	return nil
}

func (c *cli) stateCompact(folder string) error {
	files, err := readStateFiles(folder)
	if err != nil {
		return err
	}
	var failed error
	for _, f := range files {
		if f.Error != "" || f.last == nil {
			continue
		}
		if intact, _ := parts.Read(f.tail); len(intact) > 0 {
			failed = errors.Join(failed, fmt.Errorf("%s: left as it is: what is whole of its end would be lost; start the sidecar, which reads it", f.Name))
			continue
		}
		j, found, err := journal.Open(f.Name)
		if err == nil {
			err = errors.Join(j.Compact(found.Last), j.Close())
		}
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", f.Name, err))
			continue
		}
		fmt.Fprintf(c.out, "%s: written anew\n", f.Name)
	}
	return failed
}
