package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"

	"spokegw/internal/core"
	"spokegw/internal/logging"
	"spokegw/internal/sidecar"
)

// consoleCommands returns the commands that use a sidecar's console socket.
func (c *cli) consoleCommands() []*cobra.Command {
	members := c.newCommand(&cobra.Command{Use: "members", Short: "every endpoint, why one is avoided, and what was learnt of it"}, nil, c.members)
	teams := c.newCommand(&cobra.Command{Use: "teams", Short: "how every team stands with each service",
		Long: "How every team stands with each service: attempts beyond the first that it may make (RETRIES), the work that it is ahead of its share, and by call how far it is ahead of its rate. A burst is spent where AHEAD is as long as it takes at the rate."}, nil, c.teams)
	reload := c.newCommand(&cobra.Command{Use: "reload", Short: "read the files again, as on SIGHUP, and tell the faults or what changes"}, nil, c.reload)
	rejected := c.newCommand(&cobra.Command{Use: "rejected", Short: "files that were turned down, until a whole one comes, and why"}, nil, c.rejected)
	diff := c.newCommand(&cobra.Command{Use: "diff", Short: "tell what an operator's file would change, and do nothing", Example: "  spokegw diff next.toml"}, []string{"FILE"}, c.diff)
	all := []*cobra.Command{members, teams, reload, rejected, diff, c.explainCommand(), c.traceCommand(), c.logCommand()}
	for _, cmd := range all {
		c.addConnectionFlags(cmd, true)
	}
	return all
}

// printRows makes a console call and prints each row of its answer, as JSON or
// through line.
func printRows[T any](c *cli, ctx context.Context, call string, args any, heading string, line func(w io.Writer, row *T)) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	err := c.callConsole(ctx, c.timeout, call, args, func(raw json.RawMessage) error {
		if c.json {
			return c.print(raw)
		}
		var row T
		if err := json.Unmarshal(raw, &row); err != nil {
			return fmt.Errorf("%s: %w", call, err)
		}
		if heading != "" {
			fmt.Fprintln(w, heading)
			heading = "" // printed once, and only if there is a row
		}
		line(w, &row)
		return nil
	})
	return errors.Join(err, w.Flush())
}

func (c *cli) members(cmd *cobra.Command, _ []string) error {
	return printRows(c, cmd.Context(), "members", nil, "ENDPOINT\tSERVICE\tADDRESS\tKIND\tSTATE\tAVOIDED\tIN FLIGHT\tPART\tHEALTH\tWARMTH\tSPEED",
		func(w io.Writer, m *sidecar.MemberRow) {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%.0f\t%.3f\t%.2f\t%.2f\t%.2f\n", m.ID, m.Service, m.Addr, orDash(m.Kind), m.State, orDash(m.Avoided), m.InFlight, m.Part, m.Health, m.Warmth, m.Speed)
		})
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (c *cli) teams(cmd *cobra.Command, _ []string) error {
	tight := false
	err := printRows(c, cmd.Context(), "teams", nil, "TEAM\tSERVICE\tRETRIES\tAHEAD OF SHARE\tCALLS, AHEAD OF RATE AND WORK", func(w io.Writer, t *sidecar.TeamRow) {
		var calls []string
		for _, a := range t.Calls {
			calls = append(calls, fmt.Sprintf("%s %v %v", orDash(a.Class), a.Requests.Round(time.Millisecond), a.Work.Round(time.Millisecond)))
		}
		name := t.Team
		if name == "" {
			name = "(no contract)"
		}
		tight = tight || t.Tight
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.3f s\t%s\n", name, t.Service, t.Retries, t.Queued, strings.Join(calls, "; "))
	})
	if err == nil && tight {
		fmt.Fprintln(c.out, "there is too little capacity for all: shares are enforced")
	}
	return err
}

// printReload prints the result of a reload or a diff.
func (c *cli) printReload(raw json.RawMessage, unchanged string) error {
	if c.json {
		return c.print(raw)
	}
	var r sidecar.ReloadResult
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	for _, change := range r.Changes {
		fmt.Fprintln(c.out, change)
	}
	if len(r.Faults) > 0 {
		return errors.New("it is not used:\n" + strings.Join(r.Faults, "\n"))
	}
	if len(r.Changes) == 0 {
		fmt.Fprintln(c.out, unchanged)
	}
	return nil
}

func (c *cli) reload(cmd *cobra.Command, _ []string) error {
	return c.callConsole(cmd.Context(), c.timeout, "reload", nil, func(raw json.RawMessage) error {
		return c.printReload(raw, "taken over; the operator's file changes nothing")
	})
}

func (c *cli) rejected(cmd *cobra.Command, _ []string) error {
	return printRows(c, cmd.Context(), "rejected", nil, "", func(w io.Writer, r *sidecar.RejectedFile) {
		fmt.Fprintf(w, "%s: %s since %s\n", r.File, r.Reason, r.At.Format(time.RFC3339))
		for _, f := range r.Faults {
			fmt.Fprintf(w, "  %s\n", f)
		}
	})
}

func (c *cli) diff(cmd *cobra.Command, args []string) error {
	text, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	return c.callConsole(cmd.Context(), c.timeout, "diff", map[string]string{"Name": args[0], "Text": string(text)}, func(raw json.RawMessage) error { return c.printReload(raw, "nothing changes") })
}

func (c *cli) explainCommand() *cobra.Command {
	var team, key, deadline string
	var fields []string
	var length int64
	cmd := c.newCommand(&cobra.Command{
		Use: "explain", Short: "what would become of a request now, and why; nothing is sent, and nothing charged",
		Example: "  spokegw explain GET '/map-tile/3/7?user=k' --team kiosks\n  spokegw explain POST /status-report --key k1 --length 200",
	}, []string{"METHOD", "PATH"}, func(cmd *cobra.Command, args []string) error {
		header := map[string]string{}
		for _, f := range fields {
			name, value, ok := strings.Cut(f, ":")
			if !ok {
				return &usageError{cmd, fmt.Errorf("--field is NAME:VALUE, not %.60q", f)}
			}
			header[name] = strings.TrimSpace(value)
		}
		for name, value := range map[string]string{"Req-Owner": team, "Idempotency-Key": key, "Req-Deadline": deadline} {
			if value != "" {
				header[name] = value
			}
		}
		a := sidecar.ExplainRequest{Method: args[0], Target: args[1], Header: header, Length: length}
		return c.callConsole(cmd.Context(), c.timeout, "explain", a, c.printExplanation)
	})
	cmd.Flags().StringVar(&team, "team", "", "Req-Owner: the `team` that asks")
	cmd.Flags().StringVar(&key, "key", "", "Idempotency-Key: the request's `key`")
	cmd.Flags().StringVar(&deadline, "deadline", "", "Req-Deadline: such as `800m`; 1000m without it")
	cmd.Flags().StringArrayVar(&fields, "field", nil, "another field, `NAME:VALUE`; again for more")
	cmd.Flags().Int64Var(&length, "length", 0, "`bytes` of its body; -1: not told")
	return cmd
}

func (c *cli) printExplanation(raw json.RawMessage) error {
	if c.json {
		return c.print(raw)
	}
	var e core.Explanation
	if err := json.Unmarshal(raw, &e); err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	if e.Class != "" {
		row("class", "%s of service %s, %s to repeat; aim %v, deadline %v", e.Class, e.Service, e.Effect, e.Aim, e.Deadline)
		row("contract", "of %s: %s", orDash(e.Team), e.Contract)
	}
	if e.Key != "" {
		row("key", "%s", e.Key)
	}
	for _, m := range e.Moves {
		row("move "+m.Move, "%s pool; %.3g%% of the requests meet the new one", m.Pool, 100*m.Share)
	}
	switch {
	case e.Status == 0:
		row("now", "it would be tried")
	case e.Retry > 0:
		row("now", "refused with %d: %s; best again after %v", e.Status, e.Reason, e.Retry.Round(time.Millisecond))
	default:
		row("now", "refused with %d: %s", e.Status, e.Reason)
	}
	if len(e.Candidates) > 0 {
		fmt.Fprintln(w, "\nENDPOINT\tPART\tNOT, SINCE\tAVOIDED")
	}
	for _, m := range e.Candidates {
		fmt.Fprintf(w, "%s\t%.3f\t%s\t%s\n", m.ID, m.Part, orDash(m.Not), orDash(m.Avoid))
	}
	return w.Flush()
}

func (c *cli) traceCommand() *cobra.Command {
	var t sidecar.TraceRequest
	cmd := c.newCommand(&cobra.Command{
		Use: "trace", Short: "the next requests, with every decision on each",
		Long:    "The next requests that fit, as they end, with every decision on each. Who serves waits for nobody: what is not read in time is left out, and counted at the end.",
		Example: "  spokegw trace --count 5 --status 500\n  spokegw trace --team kiosks --took 400ms --for 1m",
	}, nil, func(cmd *cobra.Command, _ []string) error {
		return c.callConsole(cmd.Context(), t.For+c.timeout, "trace", t, c.printTrace)
	})
	cmd.Flags().IntVar(&t.Count, "count", 10, "end after so many; 0: when the time is over")
	cmd.Flags().DurationVar(&t.For, "for", time.Minute, "end after so long")
	cmd.Flags().StringVar(&t.Class, "class", "", "of this `class` only")
	cmd.Flags().StringVar(&t.Team, "team", "", "of this `team` only")
	cmd.Flags().StringVar(&t.Path, "path", "", "whose path begins with `this`")
	cmd.Flags().IntVar(&t.Status, "status", 0, "answered with this `status` or a higher one")
	cmd.Flags().DurationVar(&t.Took, "took", 0, "that took so long at least")
	return cmd
}

func (c *cli) printTrace(raw json.RawMessage) error {
	if c.json {
		return c.print(raw)
	}
	var dropped sidecar.DroppedTraces
	if json.Unmarshal(raw, &dropped) == nil && dropped.Missed > 0 {
		fmt.Fprintf(c.out, "%d more fitted and were not read in time\n", dropped.Missed)
		return nil
	}
	var t core.Trace
	if err := json.Unmarshal(raw, &t); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s %s %s %s class=%s team=%s status=%d took=%v\n", t.At.Format("15:04:05.000"), t.ID, t.Method, t.Path, orDash(t.Class), orDash(t.Team), t.Status, t.Took.Round(time.Microsecond))
	for _, s := range t.Steps {
		fmt.Fprintf(c.out, "  %10v  %s: %s\n", s.After.Round(time.Microsecond), s.What, s.Detail)
	}
	return nil
}

// logCommand prints the log levels or sets one.
func (c *cli) logCommand() *cobra.Command {
	var duration time.Duration
	cmd := c.newCommand(&cobra.Command{
		Use: "log [[PART=]LEVEL]", Short: "the levels of the log by part, or set one",
		Long:    "The levels of the log by part, or set one: debug, info, warn or error, of a part such as core or http1, and without a part of all others.",
		Example: "  spokegw log\n  spokegw log core=debug --for 5m\n  spokegw log warn",
	}, nil, func(cmd *cobra.Command, args []string) error {
		a := logging.Level{For: duration}
		if len(args) > 0 {
			var ok bool
			if a.Part, a.Level, ok = strings.Cut(args[0], "="); !ok {
				a.Part, a.Level = "", args[0]
			}
		}
		return printRows(c, cmd.Context(), "log", a, "PART\tLEVEL\tFOR", func(w io.Writer, l *logging.Level) {
			part, duration := l.Part, "good"
			if part == "" {
				part = "(all others)"
			}
			if l.For > 0 {
				duration = l.For.Round(time.Second).String()
			}
			fmt.Fprintf(w, "%s\t%s\t%s\n", part, l.Level, duration)
		})
	})
	cmd.Args = cobra.MaximumNArgs(1)
	cmd.Flags().DurationVar(&duration, "for", 0, "as before after so long; 0: for good")
	return cmd
}

func (c *cli) versionCommand() *cobra.Command {
	cmd := c.newCommand(&cobra.Command{Use: "version", Short: "what this program was built of"}, nil, func(*cobra.Command, []string) error {
		v := struct {
			Go       string `json:"go"`
			Revision string `json:"revision"`
			Time     string `json:"time,omitempty"`
			Modified bool   `json:"modified"`
		}{Revision: "not known"}
		if info, ok := debug.ReadBuildInfo(); ok {
			v.Go = info.GoVersion
			for _, s := range info.Settings {
				switch s.Key {
				case "vcs.revision":
					v.Revision = s.Value
				case "vcs.time":
					v.Time = s.Value
				case "vcs.modified":
					v.Modified = s.Value == "true"
				}
			}
		}
		if c.json {
			return c.print(v)
		}
		changed := ""
		if v.Modified {
			changed = ", changed since"
		}
		_, err := fmt.Fprintf(c.out, "revision %s%s, %s\n", v.Revision, changed, v.Go)
		return err
	})
	cmd.Flags().BoolVar(&c.json, "json", false, "JSON")
	return cmd
}

// manCommand writes manual pages generated from the command definitions.
func (c *cli) manCommand(root *cobra.Command) *cobra.Command {
	return c.newCommand(&cobra.Command{Use: "man", Short: "write the manual's pages into a folder", Example: "  spokegw man /usr/local/share/man/man1"}, []string{"FOLDER"}, func(_ *cobra.Command, args []string) error {
		if err := os.MkdirAll(args[0], 0o755); err != nil {
			return err
		}
		root.DisableAutoGenTag = true
		if err := doc.GenManTree(root, &doc.GenManHeader{Title: "SPOKEGW", Section: "1"}, args[0]); err != nil {
			return err
		}
		pages, err := filepath.Glob(filepath.Join(args[0], "spokegw*.1"))
		fmt.Fprintf(c.out, "%d pages\n", len(pages))
		return err
	})
}
