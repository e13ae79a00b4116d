// Command spokegw is the sidecar: it balances an application's requests over the
// endpoints of the services behind it, and enforces the contracts of teams.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"spokegw/internal/logging"
	"spokegw/internal/operator"
	"spokegw/internal/shutdown"
	"spokegw/internal/sidecar"
)

// Exit codes: a negative result or a failure; an invalid command line; an unreachable
// sidecar.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitUnreachable = 3
)

// errUsage reports an invalid command line whose fault has already been printed.
var errUsage = errors.New("usage")

func main() {
	err := execute(os.Args[1:], os.Stdout, os.Stderr)
	switch {
	case err == nil:
		return
	case errors.Is(err, errUsage):
		os.Exit(exitUsage)
	}
	fmt.Fprintln(os.Stderr, "spokegw:", err)
	if errors.Is(err, errUnreachable) {
		os.Exit(exitUnreachable)
	}
	os.Exit(exitFailure)
}

// checkFiles validates the files that a sidecar would start with and prints every
// fault. Without a configuration the operator's file is validated by itself.
func checkFiles(path string, getenv func(string) string, out io.Writer) error {
	var faults []error
	var config sidecar.Config
	checked := getenv("NODE_CONFIG") != ""
	if checked {
		var err error
		if config, err = sidecar.LoadConfig(getenv); err != nil {
			faults, checked = append(faults, err), false
		}
	}
	if path != "" {
		f, err := operator.Load(path)
		if err == nil && checked {
			err = config.CheckOperator(f)
		}
		if err != nil {
			faults = append(faults, err)
		}
	}
	switch {
	case len(faults) > 0:
		for _, f := range faults {
			fmt.Fprintln(out, f)
		}
		return errors.New("faults were found")
	case path == "" && getenv("NODE_CONFIG") == "":
		return errors.New("nothing to check: NODE_CONFIG, --operator or SPOKEGW_OPERATOR is expected")
	case path != "" && !checked:
		fmt.Fprintln(out, "no fault; without NODE_CONFIG the classes of the platform's service are not checked")
	default:
		fmt.Fprintln(out, "no fault")
	}
	return nil
}

// runSidecar runs the sidecar until SIGTERM or SIGINT.
func runSidecar(operatorPath, stateDir, record string, log *logging.Log) error {
	ctx, stop := notifyStop()
	defer stop()
	// Handled before anything else, as an unhandled SIGHUP ends the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	config, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	if err := config.LoadOperator(operatorPath, stateDir); err != nil {
		return err
	}
	sidecar.ApplyLimits(config.Limits)
	s, err := sidecar.New(config)
	if err != nil {
		return err
	}
	if record != "" {
		end, err := s.Record(record)
		if err != nil {
			return err
		}
		defer end()
	}
	var file func() (*operator.File, error)
	if operatorPath != "" {
		file = func() (*operator.File, error) { return operator.Load(operatorPath) }
	}
	read := func() sidecar.ReloadResult {
		return s.ReloadFiles(func() (sidecar.Config, error) { return sidecar.LoadConfig(os.Getenv) }, file)
	}
	s.OnReload(read)
	s.SetLog(log)
	go reload(ctx, hangup, read)
	return s.Run(ctx)
}

// notifyStop returns a context that ends at the first SIGTERM or SIGINT, with the time of the signal as
// its cause. Later ones have no effect. stop ends it without a signal.
func notifyStop() (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { // it ends with ctx
		select {
		case <-signals:
			cancel(&shutdown.Requested{At: time.Now()})
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// reload reads the files again at every SIGHUP until ctx ends.
func reload(ctx context.Context, hangup <-chan os.Signal, read func() sidecar.ReloadResult) {
	for {
		select {
		case <-ctx.Done():
			return // SIGHUP stays handled, so that it does not interrupt the drain
		case <-hangup:
			read()
		}
	}
}
