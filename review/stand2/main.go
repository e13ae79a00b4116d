// Command stand2 plays the cases 6 to 10 of the review: clients, endpoints, discovery and the
// platform round the project's own sidecar, as separate processes on loopback addresses.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases by name; each file adds its own.
var cases = map[string]func(*play) error{}

// limit is how long a case may take in all.
const limit = 115 * time.Second

func main() {
	if len(os.Args) == 3 && os.Args[1] == "guard" {
		keepGuard(os.Args[2])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE ROOT FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns the exit code.
func run(name, root, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	p := &play{root: root, trouble: os.Getenv("TROUBLE") != "0", record: record, begun: time.Now()}
	if p.folder, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(p.folder)
	if p.guard, err = startGuard(p.folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer p.guard.end()
	defer p.end()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	p.note("case %s, trouble %v", name, p.trouble)
	done := make(chan error, 1)
	go func() { done <- cases[name](p) }()
	select {
	case err = <-done:
	case s := <-ended:
		err = fmt.Errorf("ended by a signal: %v", s)
	case <-time.After(limit):
		err = fmt.Errorf("the case took longer than %v", limit)
	}
	if err != nil {
		p.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	broken := p.brokenRules()
	for _, b := range broken {
		p.note("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	p.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
