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

// cli holds the flags and outputs of a command line.
type cli struct {
	out, errOut io.Writer

	operator, management, socket string
	state                        string // directory
	log                          string // format
	level                        string // initial log levels
	record                       string // file that requests are recorded in; "": none
	timeout                      time.Duration
	json                         bool
}

// errUnreachable reports that no connection to the sidecar can be made.
var errUnreachable = errors.New("the sidecar can't be reached")

// usageError is an invalid command line of a command.
type usageError struct {
	cmd *cobra.Command
	err error
}

func (e *usageError) Error() string { return e.err.Error() }

// execute runs a command line, which excludes the program's name.
func execute(args []string, out, errOut io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newCLI(out, errOut)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	var usage *usageError
	switch {
	case errors.As(err, &usage):
		fmt.Fprintf(errOut, "%s: %v\n\n%s", usage.cmd.CommandPath(), usage.err, usage.cmd.UsageString())
		return errUsage
	case err != nil && strings.HasPrefix(err.Error(), "unknown command"): // cobra has no error type for it
		fmt.Fprintf(errOut, "spokegw: %v\nspokegw help tells them\n", err)
		return errUsage
	}
	return err
}

const rootHelp = `spokegw is a load-balancing sidecar for HTTP/1.1 and HTTP/3, and a broker between teams.

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

const rootExamples = `  spokegw                                       run the sidecar that NODE_CONFIG describes
  spokegw check --operator deploy/operator.toml tell every fault of a file
  spokegw lab --surge 3                         try it, with stand-ins, on loopback
  spokegw top --management 127.0.0.1:9800       look on, once a second
  spokegw explain GET /map-tile/3/7 --team kiosks`

// newCLI builds the command tree.
func newCLI(out, errOut io.Writer) *cobra.Command {
	c := &cli{out: out, errOut: errOut}
	root := c.newCommand(&cobra.Command{Use: "spokegw", Short: "a load-balancing sidecar and a broker between teams", Long: rootHelp, Example: rootExamples}, nil, func(*cobra.Command, []string) error { return c.run() })
	root.Args = nil // cobra's default, which reports an unknown command
	root.SilenceUsage, root.SilenceErrors = true, true
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error { return &usageError{cmd, err} })
	c.addOperatorFlag(root)
	c.addLogFlags(root)
	c.addStateFlag(root)
	c.addRecordFlag(root)
	runCmd := c.newCommand(&cobra.Command{Use: "run", Short: "run the sidecar"}, nil, func(*cobra.Command, []string) error { return c.run() })
	checkCmd := c.newCommand(&cobra.Command{Use: "check", Short: "check the configuration and the operator's file, and tell every fault"}, nil,
		func(*cobra.Command, []string) error { return checkFiles(c.operator, os.Getenv, out) })
	c.addOperatorFlag(runCmd)
	c.addLogFlags(runCmd)
	c.addStateFlag(runCmd)
	c.addRecordFlag(runCmd)
	c.addOperatorFlag(checkCmd)
	root.AddCommand(runCmd, checkCmd, c.labCommand(), c.versionCommand(), c.manCommand(root))
	root.AddCommand(c.managementCommands()...)
	root.AddCommand(c.consoleCommands()...)
	root.AddCommand(c.stateCommand())
	addExamples(root)
	return root
}

// newCommand makes a command that requires exactly the named arguments and reports
// any others as a usageError.
func (c *cli) newCommand(cmd *cobra.Command, args []string, runE func(*cobra.Command, []string) error) *cobra.Command {
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
	cmd.RunE = runE
	return cmd
}

func (c *cli) addOperatorFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.operator, "operator", os.Getenv("SPOKEGW_OPERATOR"), "the operator's `file`")
}

// addStateFlag adds the flag for a start with an operator's file that is too faulty to
// name the state directory.
func (c *cli) addStateFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.state, "state", os.Getenv("SPOKEGW_STATE"), "the `folder` of [state], looked into if the operator's file can't be read at all")
}

func (c *cli) addLogFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.log, "log", cmp.Or(os.Getenv("SPOKEGW_LOG"), logging.Formats[0]), "the log's `form`: "+strings.Join(logging.Formats, ", "))
	cmd.Flags().StringVar(&c.level, "log-level", os.Getenv("SPOKEGW_LOG_LEVEL"), "the log's `levels` at the start: one, or PART=LEVEL, several with commas")
}

// setLevels sets the log levels of a comma-separated list.
func setLevels(log *logging.Log, specs string) error {
	for spec := range strings.SplitSeq(specs, ",") {
		part, level, hasPart := strings.Cut(strings.TrimSpace(spec), "=")
		if !hasPart {
			part, level = "", part
		}
		if err := log.SetLevel(part, level, 0); err != nil {
			return fmt.Errorf("--log-level: %w", err)
		}
	}
	return nil
}

func (c *cli) addRecordFlag(cmd *cobra.Command) {
	cmd.Flags().StringVar(&c.record, "record", os.Getenv("SPOKEGW_RECORD"), "record every request, as it ends, in a `file` of JSON lines (-: standard error)")
}

// run runs the sidecar with a log of the configured format.
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
	return runSidecar(c.operator, c.state, c.record, log)
}

// addConnectionFlags adds the flags of a command that connects to a sidecar, at its
// management address or its console socket.
func (c *cli) addConnectionFlags(cmd *cobra.Command, bySocket bool) *cobra.Command {
	if bySocket {
		cmd.Flags().StringVar(&c.socket, "console", os.Getenv("SPOKEGW_CONSOLE"), "the sidecar's `socket`")
	} else {
		cmd.Flags().StringVar(&c.management, "management", os.Getenv("NODE_MANAGEMENT"), "the sidecar's second `address`")
	}
	cmd.Flags().DurationVar(&c.timeout, "timeout", defaultTimeout, "for an answer to begin")
	cmd.Flags().BoolVar(&c.json, "json", false, "JSON, one object a line")
	return cmd
}

// print writes a value as one line of JSON.
func (c *cli) print(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%s\n", b)
	return err
}

// terminal reports whether the output is a terminal.
func (c *cli) terminal() bool {
	f, ok := c.out.(*os.File)
	if !ok {
		return false
	}
	_, err := unix.IoctlGetTermios(int(f.Fd()), unix.TCGETS)
	return err == nil
}

// callConsole makes a call on the sidecar's console socket. timeout bounds the whole
// call; with 0 only ctx does.
func (c *cli) callConsole(ctx context.Context, timeout time.Duration, call string, args any, handle func(json.RawMessage) error) error {
	if c.socket == "" {
		return errors.New("--console or SPOKEGW_CONSOLE has to tell the sidecar's socket, which [console] of its operator's file names")
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	err := console.Ask(ctx, c.socket, call, args, handle)
	switch {
	case errors.Is(err, console.ErrUnreachable):
		return fmt.Errorf("%w at %s: %w; is it running, and is its file's [console] socket that?", errUnreachable, c.socket, err)
	case errors.Is(err, context.DeadlineExceeded):
		return fmt.Errorf("%s: no answer within %v; --timeout gives it longer", call, timeout)
	}
	return err
}
