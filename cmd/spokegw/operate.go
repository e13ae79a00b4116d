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
	callPatience = time.Second
	topPeriod    = time.Second
)

var errNoManagement = errors.New("--management or NODE_MANAGEMENT has to tell the sidecar's second address")

// managementCommands are those that speak to a sidecar's second address.
func (c *cli) managementCommands() []*cobra.Command {
	var times int
	top := c.command(&cobra.Command{Use: "top", Short: "what a sidecar does, once a second, in rates"}, nil, func(cmd *cobra.Command, _ []string) error { return c.top(cmd.Context(), times) })
	top.Flags().IntVarP(&times, "times", "n", 0, "end after so many; 0: when it is stopped")
	all := []*cobra.Command{
		c.command(&cobra.Command{Use: "ready", Short: "ask whether a sidecar serves; exits with 1 if not"}, nil, c.ready),
		c.command(&cobra.Command{Use: "status", Short: "what a sidecar tells: requests since its start, figures, endpoints"}, nil, func(cmd *cobra.Command, _ []string) error { return c.status(cmd.Context()) }),
		top,
		c.command(&cobra.Command{Use: "moves", Short: "moves between pools: step, share, evidence"}, nil, func(cmd *cobra.Command, _ []string) error { return c.moves(cmd.Context()) }),
		c.wordCommand("drain", "ask clients to leave, and be not ready; whoever comes is served", "drain", nil),
		c.wordCommand("resume", "take a drain back", "resume", nil),
		c.wordCommand("disable", "send an endpoint nothing new, whatever discovery says of it", "disable-server", []string{"ID"}),
		c.wordCommand("enable", "take that back", "enable-server", []string{"ID"}),
	}
	for _, cmd := range all {
		c.speaking(cmd, false)
	}
	return append(all, c.moveCommand())
}

// wordCommand says a word to a sidecar, and that it was taken.
func (c *cli) wordCommand(use, short, word string, args []string) *cobra.Command {
	return c.command(&cobra.Command{Use: use, Short: short}, args, func(cmd *cobra.Command, args []string) error {
		for _, a := range args {
			if a == "" || strings.ContainsAny(a, " \t\r\n") {
				return &usageError{cmd, fmt.Errorf("a name without spaces is expected, not %.60q", a)}
			}
		}
		if _, err := c.call(cmd.Context(), strings.Join(append([]string{word}, args...), " ")); err != nil {
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
	_, err := c.call(cmd.Context(), "ready")
	switch {
	case err != nil && c.json && !errors.Is(err, errUnreachable):
		c.print(map[string]any{"ready": false, "why": err.Error()}) // the error says so too
	case err == nil && c.json:
		return c.print(map[string]any{"ready": true})
	case err == nil:
		fmt.Fprintln(c.out, "YES")
	}
	return err
}

// call makes a call on the second address.
func (c *cli) call(ctx context.Context, line string) ([]string, error) {
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

// look is what a sidecar tells at an instant.
type look struct {
	at      time.Time
	ready   string
	figures map[string]float64
	members []map[string]string
}

func (c *cli) look(ctx context.Context) (*look, error) {
	l := &look{at: time.Now(), ready: "yes", figures: map[string]float64{}}
	if _, err := c.call(ctx, "ready"); errors.Is(err, errUnreachable) || errors.Is(err, errNoManagement) {
		return nil, err
	} else if err != nil {
		l.ready = "no: " + err.Error()
	}
	lines, err := c.call(ctx, "show-stat")
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
		l.figures[strings.TrimPrefix(name, "node.")] = x
	}
	if lines, err = c.call(ctx, "show-members"); err != nil {
		return nil, err
	}
	for _, line := range lines {
		l.members = append(l.members, fieldsOf(line))
	}
	return l, nil
}

// classes are the names of the classes that there are figures of.
func (l *look) classes() []string { return l.between("downstream_requests.", ".completed") }

// quotas are the names of the fleet's quotas that there are figures of.
func (l *look) quotas() []string { return l.between("fleet.quota.", ".own") }

// between are the parts of figures' names between what they begin and end with.
func (l *look) between(begin, end string) (names []string) {
	for name := range l.figures {
		if rest, ok := strings.CutPrefix(name, begin); ok {
			if part, ok := strings.CutSuffix(rest, end); ok {
				names = append(names, part)
			}
		}
	}
	slices.Sort(names)
	return names
}

// status prints what a sidecar tells once, counts since its start.
func (c *cli) status(ctx context.Context) error {
	l, err := c.look(ctx)
	if err != nil {
		return err
	}
	return c.show(l, nil)
}

// show prints a look, in rates since an earlier one if there is one.
func (c *cli) show(l, before *look) error {
	if c.json {
		return c.print(map[string]any{"at": l.at, "ready": l.ready, "figures": l.figures, "members": l.members})
	}
	return l.print(c.out, before)
}

// top prints a screen a second, with rates since the one before, until ctx ends or it
// has done so n times. Where no terminal is, screens come one below the other.
func (c *cli) top(ctx context.Context, n int) error {
	var before *look
	clear := c.terminal()
	for i := 0; n <= 0 || i < n; i++ {
		l, err := c.look(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if clear {
			io.WriteString(c.out, "\x1b[H\x1b[2J") // cursor home, screen cleared (ECMA-48)
		} else if before != nil && !c.json {
			fmt.Fprintln(c.out)
		}
		if err := c.show(l, before); err != nil {
			return err
		}
		before = l
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(topPeriod):
		}
	}
	return nil
}

// print prints the look: counts, or rates a second since an earlier one.
func (l *look) print(out io.Writer, before *look) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	count := func(name string) string {
		if before == nil {
			return strconv.FormatFloat(l.figures[name], 'f', -1, 64)
		}
		return strconv.FormatFloat((l.figures[name]-before.figures[name])/l.at.Sub(before.at).Seconds(), 'f', 1, 64) + "/s"
	}
	fmt.Fprintf(w, "ready\t%s\npending\t%.0f\nattempts\t%s\nmembers\t%.0f, %.0f avoided\nreloads\t%.0f, %.0f turned down\n\n",
		l.ready, l.figures["pending"], count("upstream_requests"), l.figures["members"], l.figures["members_unavailable"],
		l.figures["config_reloads"], l.figures["config_reload_errors"])
	if up, part := l.figures["fleet.up"]; part {
		fmt.Fprintf(w, "fleet\t%.0f up\nQUOTA\tOWN\tGRANTED\tDEMAND\n", up)
		for _, name := range l.quotas() {
			of := func(what string) float64 { return l.figures["fleet.quota."+name+"."+what] / 1000 }
			fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\n", name, of("own"), of("granted"), of("demand"))
		}
		if _, on := l.figures["fleet.duty.here"]; on {
			fmt.Fprintf(w, "WEIGHTS\tTABLE\tAGE\tSTALE\tENDPOINTS\tDUTY HERE\n\t%.0f\t%.1fs\t%.0f\t%.0f\t%.0f\n", l.figures["fleet.weights.table"],
				l.figures["fleet.weights.age"]/1000, l.figures["fleet.weights.stale"], l.figures["fleet.weights.endpoints"], l.figures["fleet.duty.here"])
		}
		if names := l.between("fleet.site.", ".state"); len(names) > 0 {
			fmt.Fprintln(w, "SITE\tSTATE\tMET")
			for _, name := range names {
				state := min(max(int(l.figures["fleet.site."+name+".state"]), 0), 3)
				fmt.Fprintf(w, "%s\t%s\t%.2f\n", name, [...]string{"whole", "doubted", "lost", "returning"}[state], l.figures["fleet.site."+name+".met"]/1000)
			}
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "CLASS\tCOMPLETED\tREJECTED\tFAILED")
	for _, class := range l.classes() {
		of := func(outcome string) string { return count("downstream_requests." + class + "." + outcome) }
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", class, of("completed"), of("rejected"), of("failed"))
	}
	fmt.Fprintln(w, "\nENDPOINT\tSERVICE\tADDRESS\tKIND\tSTATE\tAVOIDED\tIN FLIGHT\tPART\tSPEED")
	for _, m := range l.members {
		field := func(name string) string { return cmp.Or(m[name], "-") }
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", field("id"), field("service"), field("addr"), field("kind"),
			field("state"), field("avoided"), field("in_flight"), field("part"), field("speed"))
	}
	return w.Flush()
}
