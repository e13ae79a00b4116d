package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"spokegw/internal/console"
	"spokegw/internal/logging"
)

// cli is a command line that is being carried out.
type cli struct {
	out, errOut io.Writer

	operator, management, socket string
	state                        string // folder
	log                          string // its form
	level                        string // of the log's parts at the start
	record                       string // where requests are recorded; "": nowhere
	timeout                      time.Duration
	json                         bool
}

// errUnreachable tells that a sidecar does not answer.
var errUnreachable = errors.New("the sidecar can't be reached")

// usageError is a fault of the command line.
type usageError struct {
	of  *cobra.Command
	err error
}

func (e *usageError) Error() string { return e.err.Error() }

// command carries out a command line without the program's name.
func command(args []string, out, errOut io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newCLI(out, errOut)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	var usage *usageError
	switch {
	case errors.As(err, &usage):
		fmt.Fprintf(errOut, "%s: %v\n\n%s", usage.of.CommandPath(), usage.err, usage.of.UsageString())
		return errUsage
	case err != nil && strings.HasPrefix(err.Error(), "unknown command"): // cobra has no type for it
		fmt.Fprintf(errOut, "spokegw: %v\nspokegw help tells them\n", err)
		return errUsage
	}
	return err
}

const about = `spokegw is a load-balancing sidecar for HTTP/1.1 and HTTP/3, and a broker between teams.

Environment of run and check:
  NODE_CONFIG       the configuration's file (JSON); check does without it
  NODE_NAME, NODE_LISTEN, NODE_DISCOVERY
                    name, listening address and registry, as the platform tells them
  SPOKEGW_OPERATOR  the operator's file (TOML), where --operator does not name it;
                    without one there are no contracts
  SPOKEGW_LOG       the log's form, where --log does not tell it: text, json, pretty
  SPOKEGW_LOG_LEVEL the log's levels at the start, where --log-level does not tell them
  SPOKEGW_RECORD    the file in which every request is recorded, where --record does not
                    tell it; -: standard error
  TMPDIR            the folder in which a new process finds the one before it
Of the commands that speak to a sidecar:
  NODE_MANAGEMENT   its second address, where --management does not tell it
  SPOKEGW_CONSOLE   its socket ([console] of the operator's file), where --console does not

Signals: SIGHUP reads both files again; SIGTERM and SIGINT finish what was taken and end.

Exit codes: 0 done, or yes; 1 no, or it went wrong, with the reason; 2 the command line
can't be read; 3 the sidecar can't be reached.`

const examples = `  spokegw                                       run the sidecar that NODE_CONFIG describes
  spokegw check --operator deploy/operator.toml tell every fault of a file
  spokegw lab --surge 3                         try it, with stand-ins, on loopback
  spokegw top --management 127.0.0.1:9800       look on, once a second
  spokegw explain GET /map-tile/3/7 --team kiosks`

// newCLI makes the commands.
func newCLI(out, errOut io.Writer) *cobra.Command {
	c := &cli{out: out, errOut: errOut}
	root := c.command(&cobra.Command{Use: "spokegw", Short: "a load-balancing sidecar and a broker between teams", Long: about, Example: examples}, nil, func(*cobra.Command, []string) error { return c.run() })
	root.Args = nil // cobra's own: an unknown command is told as such
	root.SilenceUsage, root.SilenceErrors = true, true
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(func(of *cobra.Command, err error) error { return &usageError{of, err} })
	c.operatorFlag(root)
	c.logFlag(root)
	c.stateFlag(root)
	c.recordFlag(root)
	runs := c.command(&cobra.Command{Use: "run", Short: "run the sidecar"}, nil, func(*cobra.Command, []string) error { return c.run() })
	checks := c.command(&cobra.Command{Use: "check", Short: "check the configuration and the operator's file, and tell every fault"}, nil,
		func(*cobra.Command, []string) error { return check(c.operator, os.Getenv, out) })
	c.operatorFlag(runs)
	c.logFlag(runs)
	c.stateFlag(runs)
	c.recordFlag(runs)
	c.operatorFlag(checks)
	root.AddCommand(runs, checks, c.labCommand(), c.versionCommand(), c.manCommand(root))
	root.AddCommand(c.managementCommands()...)
	root.AddCommand(c.consoleCommands()...)
	root.AddCommand(c.stateCommand())
	addExamples(root)
	return root
}

// command makes a command whose arguments are those named, all of them, and whose
// faults of use are told as such.
func (c *cli) command(cmd *cobra.Command, args []string, do func(*cobra.Command, []string) error) *cobra.Command {
	if len(args) > 0 {
		cmd.Use += " " + strings.Join(args, " ")
	}
	cmd.Args = func(cmd *cobra.Command, got []string) error {
		switch {
		case len(got) > len(args):
			return &usageError{cmd, fmt.Errorf("%.100q is not expected", got[len(args)])}
		case len(got) < len(args):
			return &usageError{cmd, fmt.Errorf("%s is expected", args[len(got)])}
		}
		return nil
	}
	cmd.RunE = do
	return cmd
}

func (c *cli) operatorFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.operator, "operator", os.Getenv("SPOKEGW_OPERATOR"), "the operator's `file`")
}

// stateFlag is for a start with a file that does not even tell the folder.
func (c *cli) stateFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.state, "state", os.Getenv("SPOKEGW_STATE"), "the `folder` of [state], looked into if the operator's file can't be read at all")
}

func (c *cli) logFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.log, "log", cmp.Or(os.Getenv("SPOKEGW_LOG"), logging.Formats[0]), "the log's `form`: "+strings.Join(logging.Formats, ", "))
	cmd.Flags().StringVar(&c.level, "log-level", os.Getenv("SPOKEGW_LOG_LEVEL"), "the log's `levels` at the start: one, or PART=LEVEL, several with commas")
}

// setLevels sets the levels that the command line names.
func setLevels(log *logging.Log, all string) error {
	for one := range strings.SplitSeq(all, ",") {
		part, level, named := strings.Cut(strings.TrimSpace(one), "=")
		if !named {
			part, level = "", part
		}
		if err := log.SetLevel(part, level, 0); err != nil {
			return fmt.Errorf("--log-level: %w", err)
		}
	}
	return nil
}

func (c *cli) recordFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.record, "record", os.Getenv("SPOKEGW_RECORD"), "record every request, as it ends, in a `file` of JSON lines (-: standard error)")
}

// run runs the sidecar, with a log of the form that was asked for.
func (c *cli) run() error {
	log, err := logging.New(c.log, c.errOut)
	if err != nil {
		return err
	}
	if c.level != "" {
		if err := setLevels(log, c.level); err != nil {
			return err
		}
	}
	slog.SetDefault(slog.New(log))
	return run(c.operator, c.state, c.record, log)
}

// speaking adds the flags of a command that speaks to a sidecar, by its second address
// or its socket.
func (c *cli) speaking(cmd *cobra.Command, bySocket bool) *cobra.Command {
	if bySocket {
		cmd.Flags().StringVar(&c.socket, "console", os.Getenv("SPOKEGW_CONSOLE"), "the sidecar's `socket`")
	} else {
		cmd.Flags().StringVar(&c.management, "management", os.Getenv("NODE_MANAGEMENT"), "the sidecar's second `address`")
	}
	cmd.Flags().DurationVar(&c.timeout, "timeout", callPatience, "for an answer to begin")
	cmd.Flags().BoolVar(&c.json, "json", false, "JSON, one object a line")
	return cmd
}

// print writes a value as JSON in a line.
func (c *cli) print(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%s\n", b)
	return err
}

// terminal reports whether the output is one.
func (c *cli) terminal() bool {
	f, ok := c.out.(*os.File)
	if !ok {
		return false
	}
	_, err := unix.IoctlGetTermios(int(f.Fd()), unix.TCGETS)
	return err == nil
}

// ask makes a call on the sidecar's socket. within bounds the whole of it; 0: nothing
// but ctx does.
func (c *cli) ask(ctx context.Context, within time.Duration, call string, args any, each func(json.RawMessage) error) error {
	if c.socket == "" {
		return errors.New("--console or SPOKEGW_CONSOLE has to tell the sidecar's socket, which [console] of its operator's file names")
	}
	if within > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, within)
		defer cancel()
	}
	err := console.Ask(ctx, c.socket, call, args, each)
	switch {
	case errors.Is(err, console.ErrUnreachable):
		return fmt.Errorf("%w at %s: %w; is it running, and is its file's [console] socket that?", errUnreachable, c.socket, err)
	case errors.Is(err, context.DeadlineExceeded):
		return fmt.Errorf("%s: no answer within %v; --timeout gives it longer", call, within)
	}
	return err
}
