package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spokegw/internal/management"
)

const (
	defaultTimeout = time.Second
	topInterval    = time.Second
)

var errNoManagement = errors.New("--management or NODE_MANAGEMENT has to tell the sidecar's second address")

// managementCommands returns the commands that use a sidecar's management address.
func (c *cli) managementCommands() []*cobra.Command {
	var times int
	top := c.newCommand(&cobra.Command{Use: "top", Short: "what a sidecar does, once a second, in rates"}, nil, func(cmd *cobra.Command, _ []string) error { return c.top(cmd.Context(), times) })
	top.Flags().IntVarP(&times, "times", "n", 0, "end after so many; 0: when it is stopped")
	all := []*cobra.Command{
		c.newCommand(&cobra.Command{Use: "ready", Short: "ask whether a sidecar serves; exits with 1 if not"}, nil, c.ready),
		c.newCommand(&cobra.Command{Use: "status", Short: "what a sidecar tells: requests since its start, figures, endpoints"}, nil, func(cmd *cobra.Command, _ []string) error { return c.status(cmd.Context()) }),
		top,
		c.newCommand(&cobra.Command{Use: "moves", Short: "moves between pools: step, share, evidence"}, nil, func(cmd *cobra.Command, _ []string) error { return c.moves(cmd.Context()) }),
		c.requestCommand("drain", "ask clients to leave, and be not ready; whoever comes is served", "drain", nil),
		c.requestCommand("resume", "take a drain back", "resume", nil),
		c.requestCommand("disable", "send an endpoint nothing new, whatever discovery says of it", "disable-server", []string{"ID"}),
		c.requestCommand("enable", "take that back", "enable-server", []string{"ID"}),
	}
	for _, cmd := range all {
		c.addConnectionFlags(cmd, false)
	}
	return append(all, c.moveCommand())
}

// requestCommand makes a command that sends a request to a sidecar's management address
// and prints that it succeeded.
func (c *cli) requestCommand(use, short, request string, args []string) *cobra.Command {
	return c.newCommand(&cobra.Command{Use: use, Short: short}, args, func(cmd *cobra.Command, args []string) error {
		for _, a := range args {
			if a == "" || strings.ContainsAny(a, " \t\r\n") {
				return &usageError{cmd, fmt.Errorf("a name without spaces is expected, not %.60q", a)}
			}
		}
		if _, err := c.callManagement(cmd.Context(), strings.Join(append([]string{request}, args...), " ")); err != nil {
			return err
		}
		done := strings.Join(append([]string{use}, args...), " ") + ": done"
		if c.json {
			return c.print(map[string]string{"done": done})
		}
		_, err := fmt.Fprintln(c.out, done)
		return err
	})
}

func (c *cli) ready(cmd *cobra.Command, _ []string) error {
	_, err := c.callManagement(cmd.Context(), "ready")
	switch {
	case err != nil && c.json && !errors.Is(err, errUnreachable):
		c.print(map[string]any{"ready": false, "why": err.Error()}) // the returned error is reported even if this fails
	case err == nil && c.json:
		return c.print(map[string]any{"ready": true})
	case err == nil:
		fmt.Fprintln(c.out, "YES")
	}
	return err
}

// callManagement makes a call on the management address.
func (c *cli) callManagement(ctx context.Context, line string) ([]string, error) {
	if c.management == "" {
		return nil, errNoManagement
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	lines, err := management.Call(ctx, c.management, line)
	switch {
	case ctx.Err() != nil:
		return nil, fmt.Errorf("%s: no answer within %v; --timeout gives it longer", line, c.timeout)
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, fmt.Errorf("%w at %s: %w; is it running, and is that its second address?", errUnreachable, c.management, err)
	}
	return lines, err
}

// snapshot is what a sidecar reports at one time.
type snapshot struct {
	at      time.Time
	ready   string
	figures map[string]float64
	members []map[string]string
}

func (c *cli) takeSnapshot(ctx context.Context) (*snapshot, error) {
	s := &snapshot{at: time.Now(), ready: "yes", figures: map[string]float64{}}
	if _, err := c.callManagement(ctx, "ready"); errors.Is(err, errUnreachable) || errors.Is(err, errNoManagement) {
		return nil, err
	} else if err != nil {
		s.ready = "no: " + err.Error()
	}
	lines, err := c.callManagement(ctx, "show-stat")
	if err != nil {
		return nil, err
	}
	for _, line := range lines {
		name, rest, _ := strings.Cut(line, ":")
		value, _, _ := strings.Cut(rest, "|")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("show-stat: %.100q is no figure", line)
		}
		s.figures[strings.TrimPrefix(name, "node.")] = x
	}
	if lines, err = c.callManagement(ctx, "show-members"); err != nil {
		return nil, err
	}
	for _, line := range lines {
		s.members = append(s.members, parseFields(line))
	}
	return s, nil
}

// classes returns the names of the classes that have metrics.
func (s *snapshot) classes() []string { return s.namesBetween("downstream_requests.", ".completed") }

// quotas returns the names of the fleet's quotas that have metrics.
func (s *snapshot) quotas() []string { return s.namesBetween("fleet.quota.", ".own") }

// namesBetween returns the parts of metric names between a prefix and a suffix, sorted.
func (s *snapshot) namesBetween(prefix, suffix string) (names []string) {
	for name := range s.figures {
		if rest, ok := strings.CutPrefix(name, prefix); ok {
			if part, ok := strings.CutSuffix(rest, suffix); ok {
				names = append(names, part)
			}
		}
	}
	slices.Sort(names)
	return names
}

// status prints one snapshot, with counts since the sidecar's start.
func (c *cli) status(ctx context.Context) error {
	s, err := c.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	return c.printSnapshot(s, nil)
}

// printSnapshot prints a snapshot, with rates since the previous one if there is one.
func (c *cli) printSnapshot(s, previous *snapshot) error {
	if c.json {
		return c.print(map[string]any{"at": s.at, "ready": s.ready, "figures": s.figures, "members": s.members})
	}
	return s.print(c.out, previous)
}

// top prints a snapshot a second, with rates since the previous one, until ctx ends or
// n are printed. If the output is no terminal it is not cleared in between.
func (c *cli) top(ctx context.Context, n int) error {
	var previous *snapshot
	clear := c.terminal()
	for i := 0; n <= 0 || i < n; i++ {
		s, err := c.takeSnapshot(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if clear {
			io.WriteString(c.out, "\x1b[H\x1b[2J") // cursor home, screen cleared (ECMA-48)
		} else if previous != nil && !c.json {
			fmt.Fprintln(c.out)
		}
		if err := c.printSnapshot(s, previous); err != nil {
			return err
		}
		previous = s
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(topInterval):
		}
	}
	return nil
}

// print prints the snapshot: counts, or rates per second since the previous one.
func (s *snapshot) print(out io.Writer, previous *snapshot) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	count := func(name string) string {
		if previous == nil {
			return strconv.FormatFloat(s.figures[name], 'f', -1, 64)
		}
		return strconv.FormatFloat((s.figures[name]-previous.figures[name])/s.at.Sub(previous.at).Seconds(), 'f', 1, 64) + "/s"
	}
	fmt.Fprintf(w, "ready\t%s\npending\t%.0f\nattempts\t%s\nmembers\t%.0f, %.0f avoided\nreloads\t%.0f, %.0f turned down\n\n",
		s.ready, s.figures["pending"], count("upstream_requests"), s.figures["members"], s.figures["members_unavailable"],
		s.figures["config_reloads"], s.figures["config_reload_errors"])
	if up, inFleet := s.figures["fleet.up"]; inFleet {
		fmt.Fprintf(w, "fleet\t%.0f up\nQUOTA\tOWN\tGRANTED\tDEMAND\n", up)
		for _, name := range s.quotas() {
			value := func(field string) float64 { return s.figures["fleet.quota."+name+"."+field] / 1000 }
			fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\n", name, value("own"), value("granted"), value("demand"))
		}
		if _, hasWeights := s.figures["fleet.duty.here"]; hasWeights {
			fmt.Fprintf(w, "WEIGHTS\tTABLE\tAGE\tSTALE\tENDPOINTS\tDUTY HERE\n\t%.0f\t%.1fs\t%.0f\t%.0f\t%.0f\n", s.figures["fleet.weights.table"],
				s.figures["fleet.weights.age"]/1000, s.figures["fleet.weights.stale"], s.figures["fleet.weights.endpoints"], s.figures["fleet.duty.here"])
		}
		if names := s.namesBetween("fleet.site.", ".state"); len(names) > 0 {
			fmt.Fprintln(w, "SITE\tSTATE\tMET")
			for _, name := range names {
				state := min(max(int(s.figures["fleet.site."+name+".state"]), 0), 3)
				fmt.Fprintf(w, "%s\t%s\t%.2f\n", name, [...]string{"healthy", "suspected", "lost", "returning"}[state], s.figures["fleet.site."+name+".met"]/1000)
			}
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "CLASS\tCOMPLETED\tREJECTED\tFAILED")
	for _, class := range s.classes() {
		value := func(outcome string) string { return count("downstream_requests." + class + "." + outcome) }
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", class, value("completed"), value("rejected"), value("failed"))
	}
	fmt.Fprintln(w, "\nENDPOINT\tSERVICE\tADDRESS\tKIND\tSTATE\tAVOIDED\tIN FLIGHT\tPART\tSPEED")
	for _, m := range s.members {
		field := func(name string) string { return cmp.Or(m[name], "-") }
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", field("id"), field("service"), field("addr"), field("kind"),
			field("state"), field("avoided"), field("in_flight"), field("part"), field("speed"))
	}
	return w.Flush()
}
