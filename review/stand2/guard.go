package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
)

// guard is a process that ends the sidecars of a play, and removes its folder, if the play itself is
// killed: it notices by the end of its standard input.
type guard struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
}

// startGuard starts the guard of a play with this folder.
func startGuard(folder string) (*guard, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	g := &guard{cmd: exec.Command(self, "guard", folder)}
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a signal to the play's group does not end it
	if g.stdin, err = g.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	return g, g.cmd.Start()
}

// tell tells the guard of a process that has started, or ended.
func (g *guard) tell(what string, pid int) { fmt.Fprintln(g.stdin, what, pid) }

// end ends the guard.
func (g *guard) end() {
	g.stdin.Close()
	g.cmd.Wait()
}

// keepGuard is the guard's own process.
func keepGuard(folder string) {
	running := map[int]bool{}
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		what, number, _ := strings.Cut(lines.Text(), " ")
		if pid, err := strconv.Atoi(number); err == nil && pid > 1 {
			running[pid] = what == "started"
		}
	}
	for pid, runs := range running {
		if runs {
			syscall.Kill(pid, syscall.SIGKILL)
		}
	}
	os.RemoveAll(folder)
}
