// Command glenpick is the sidecar: it spreads an application's requests over
// the endpoints that discovery lists. NODE_CONFIG names its configuration.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"ploverusher/internal/sidecar"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "glenpick:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	config, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	sidecar.ApplyLimits(config.Limits)
	s, err := sidecar.New(config)
	if err != nil {
		return err
	}
	return s.Run(ctx)
}
