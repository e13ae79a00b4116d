package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

const labHelp = `spokegw lab starts, on loopback and with nothing else installed, a sidecar with
stand-in endpoints, a registry, a second service and two teams that ask steadily,
and prints each second what became of their requests. Ctrl-C ends it whole.`

// The capacity of the lab's endpoints, in seconds of work per second.
const (
	labEndpoints = 3
	labWorkers   = 4
	labCapacity  = labEndpoints * labWorkers
)

type labOptions struct {
	listen      string
	load, surge float64
	seconds     int
	noBroker    bool
	http3       bool
	move        string
}

func (c *cli) labCommand() *cobra.Command {
	var o labOptions
	cmd := c.newCommand(&cobra.Command{Use: "lab", Short: "try it: a sidecar with stand-ins and traffic, on loopback", Long: labHelp}, nil, func(cmd *cobra.Command, _ []string) error {
		if err := o.validate(); err != nil {
			return &usageError{cmd, err}
		}
		ctx := cmd.Context()
		if o.seconds > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(o.seconds)*time.Second)
			defer cancel()
		}
		slog.SetDefault(slog.New(slog.NewTextHandler(c.errOut, &slog.HandlerOptions{Level: slog.LevelWarn})))
		return runLab(ctx, o, c.out)
	})
	f := cmd.Flags()
	f.StringVar(&o.listen, "listen", "", "`address` where the sidecar listens; a free port of 127.0.0.1 without it")
	f.Float64Var(&o.load, "load", 0.7, "what each team asks for, in times of what it is owed")
	f.Float64Var(&o.surge, "surge", 1, "times that for team kiosks, 5 s of every 10 s")
	f.IntVar(&o.seconds, "seconds", 0, "end after so long; 0: at Ctrl-C")
	f.BoolVar(&o.noBroker, "no-broker", false, "without contracts, to compare")
	f.BoolVar(&o.http3, "http3", false, "with HTTP/3, under a throwaway certificate")
	f.StringVar(&o.move, "move", "", "with a move to a second pool of endpoints, which is `good, slow or failing`: it is taken on or undone")
	return cmd
}

// validate reports an option that is out of range or conflicts with another.
func (o *labOptions) validate() error {
	switch {
	case !(o.load > 0 && o.load <= 20 && o.surge > 0 && o.surge <= 20):
		return errors.New("--load and --surge are over 0 and up to 20")
	case !slices.Contains([]string{"", "good", "slow", "failing"}, o.move):
		return fmt.Errorf("--move is good, slow or failing, not %.40q", o.move)
	case o.move != "" && o.noBroker:
		return errors.New("--move is of the operator's file, which --no-broker does without")
	case o.http3 && o.noBroker:
		return errors.New("--http3 is of the operator's file, which --no-broker does without")
	}
	return nil
}

// labOperatorFile returns the operator's file of the lab.
func labOperatorFile(weather string) string {
	return fmt.Sprintf(`[[service]]
name = "maps"

[[service]]
name = "weather"
endpoints = [%q]
[[service.class]]
name = "forecast"
effect = "safe"
aim = "400ms"
deadline = "1.2s"

[[team]]
name = "kiosks"
share = 0.6
[[team.allow]]
service = "maps"
classes = ["map-tile"]
[[team.allow]]
service = "weather"
rate = 5
burst = 5

[[team]]
name = "patrols"
share = 0.4
[[team.allow]]
service = "maps"

[no-contract]
action = "refuse"
`, weather)
}

// runLab runs the lab until ctx ends, then drains it.
func runLab(ctx context.Context, o labOptions, out io.Writer) error {
	weather, err := lab.StartEndpoint(lab.EndpointConfig{Workers: labWorkers, Work: 10 * time.Millisecond, Body: 512})
	if err != nil {
		return err
	}
	defer weather.Close()
	folder, err := os.MkdirTemp("", "spokegw-lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	socket := filepath.Join(folder, "console.sock")
	config := scene.Config{Listen: o.listen, HTTP3: o.http3}
	for range labEndpoints {
		config.Maps = append(config.Maps, lab.EndpointConfig{Workers: labWorkers, Work: 20 * time.Millisecond, Body: 4096})
	}
	if !o.noBroker {
		config.Operator = labOperatorFile(weather.Addr())
	}
	if !o.noBroker {
		config.Operator += fmt.Sprintf("\n[console]\nsocket = %q\n", socket)
	}
	if o.move != "" {
		config.Operator += labMoveConfig
		config.Maps = movePools(o.move)
	}
	s, err := scene.Start(config)
	if err != nil {
		return err
	}
	printIntro(out, s.Addr(), config.Operator)
	printCommands(out, s.Sidecar.AddrManagement(), socket, !o.noBroker)
	if addr := s.Sidecar.AddrHTTP3(); addr != nil {
		fmt.Fprintf(out, "By HTTP/3, with a curl that has it:\n\n  curl --http3-only -k -i https://%s/map-tile/3/7 -H \"Req-Id: $RANDOM$RANDOM\" -H 'Req-Deadline: 1000m' -H 'Req-Owner: kiosks'\n\n", addr)
	}
	loads := labLoads(o)
	var running sync.WaitGroup
	for i, l := range loads {
		running.Go(func() { l.Run(ctx, s.Addr(), uint64(i+1)) })
	}
	if o.move != "" {
		running.Go(func() { reportMove(ctx, s.Sidecar.AddrManagement(), out) })
	}
	reportLoads(ctx, out, loads)
	running.Wait()
	fmt.Fprintln(out, "ending: what was taken is finished")
	return s.Close()
}

func printIntro(out io.Writer, addr, file string) {
	fmt.Fprintf(out, "The sidecar listens at %s. Try, from another shell:\n\n", addr)
	curl := func(more, path, team string) {
		fmt.Fprintf(out, "  curl -i http://%s%s -H \"Req-Id: $RANDOM$RANDOM\" -H 'Req-Deadline: 1000m' -H 'Req-Owner: %s'%s\n", addr, path, team, more)
	}
	curl("", "/map-tile/3/7", "kiosks")
	curl(" -H 'Idempotency-Key: k1' -d '{}'", "/status-report", "patrols")
	curl(" -H 'Idempotency-Key: k2' -d '{}'", "/status-report", "kiosks")
	curl("", "/forecast/today", "kiosks")
	curl("", "/map-tile/3/7", "nobody")
	if file != "" {
		fmt.Fprintf(out, "\nThe third is 403, no contract has it; so is the last, who has none. Of the forecasts 5 a second are allowed.\nThe operator's file:\n\n%s", file)
	}
	fmt.Fprintln(out)
}

// printCommands prints commands to observe and control the sidecar with.
func printCommands(out io.Writer, management, socket string, console bool) {
	fmt.Fprintf(out, "To look on, in another shell:\n\n  export NODE_MANAGEMENT=%s\n", management)
	commands := []string{"top", "disable maps-1", "members"}
	if console {
		fmt.Fprintf(out, "  export SPOKEGW_CONSOLE=%s\n", socket)
		commands = append(commands, "teams", "explain GET /forecast/today --team kiosks", "trace --team kiosks --count 3")
	} else {
		commands[2] = "enable maps-1"
	}
	for _, c := range commands {
		fmt.Fprintf(out, "  spokegw %s\n", c)
	}
	fmt.Fprintln(out)
}

// labLoads returns the lab's traffic, one load per team.
func labLoads(o labOptions) []*lab.Load {
	const cost = 30 * time.Millisecond
	rate := func(share float64) float64 { return o.load * share * labCapacity / cost.Seconds() }
	kiosks := &lab.Load{Team: "kiosks", Path: "/map-tile/3/7", Kind: "map-tile", Cost: cost, Rate: func(at time.Duration) float64 {
		if at%(10*time.Second) >= 5*time.Second {
			return rate(0.6) * o.surge
		}
		return rate(0.6)
	}}
	patrols := &lab.Load{Team: "patrols", Method: "POST", Path: "/status-report", Kind: "status-report", Keyed: true, Cost: cost,
		Rate: func(time.Duration) float64 { return rate(0.4) }}
	loads := []*lab.Load{kiosks, patrols}
	for _, l := range loads {
		l.Wanted, l.Give = 400*time.Millisecond, 1200*time.Millisecond
	}
	return loads
}

// labMoveConfig is the lab's move, with short steps and the default guards.
const labMoveConfig = `
[[move]]
name = "new"
service = "maps"
steps = ["5%", "25%", "50%", "100%"]
step-time = "3s"
step-requests = 50
watch = "10s"
warming = "0s"
begin = "itself"
from.pod = 0
to.pod = 1
`

// movePools returns four normal endpoints in one pod and four in another whose
// behaviour is good, slow or failing.
func movePools(behaviour string) (all []lab.EndpointConfig) {
	for i := range 8 {
		c := lab.EndpointConfig{Workers: labWorkers, Work: 20 * time.Millisecond, Body: 4096}
		if i >= 4 {
			c.Answer = func(w http.ResponseWriter, _ *http.Request) bool {
				switch {
				case behaviour == "slow":
					time.Sleep(10 * time.Millisecond)
				case behaviour == "failing" && rand.IntN(10) == 0:
					w.WriteHeader(http.StatusInternalServerError)
					return true
				}
				return false
			}
		}
		all = append(all, c)
	}
	return all
}

// reportMove prints the state of the move every three seconds.
func reportMove(ctx context.Context, addr string, out io.Writer) {
	tick := time.NewTicker(3 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			var text bytes.Buffer
			c := &cli{out: &text, management: addr, timeout: defaultTimeout}
			if err := c.moves(ctx); err == nil {
				fmt.Fprintf(out, "\n%s\n", text.String())
			}
		}
	}
}

// reportLoads prints a line per team every second.
func reportLoads(ctx context.Context, out io.Writer, loads []*lab.Load) {
	const heading = "second  team      asked  in time  late  refused  other  p50 ms  p99 ms"
	begun := time.Now()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for second := 0; ; second++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if second < 1 {
			continue // requests of the last second may still be in flight
		}
		if (second-1)%10 == 0 {
			fmt.Fprintln(out, heading)
		}
		for _, l := range loads {
			s := l.Between(begun.Add(time.Duration(second-1)*time.Second), begun.Add(time.Duration(second)*time.Second))
			fmt.Fprintf(out, "%6d  %-8s %6d %8d %5d %8d %6d  %6.1f  %6.1f\n", second, s.Team, s.Asked, s.InTime, s.Late, s.Refused, s.Other,
				s.P50.Seconds()*1e3, s.P99.Seconds()*1e3)
		}
	}
}
