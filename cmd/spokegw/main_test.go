package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"spokegw/internal/operator"
)

// TestMain runs the program itself where RUN_SPOKEGW is set, so that tests can start it as a process.
func TestMain(m *testing.M) {
	if os.Getenv("RUN_SPOKEGW") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const testTimeout = 20 * time.Second // bounds waits that normally end at once

// fakeRegistry starts a discovery service that sends the query of each call on called.
func fakeRegistry(t *testing.T) (addr string, called chan string) {
	called = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case called <- r.URL.RawQuery:
		default:
		}
		if r.URL.Query().Has("since") { // a watch, without changes
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
		}
		fmt.Fprint(w, `{"version":1,"full":true,"servers":[]}`)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), called
}

func await[T any](t *testing.T, what string, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
		return v
	}
}

// A reload on SIGHUP must not end the process, must use the discovery address of
// the file although the environment still names the old one, and must ignore a
// file that can't be parsed. SIGTERM still ends the process.
func TestReload(t *testing.T) {
	first, firstCalled := fakeRegistry(t)
	second, secondCalled := fakeRegistry(t)
	const listen = "127.0.0.1:0"
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text []byte) {
		if err := os.WriteFile(path+".new", text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	config := func(discovery string) []byte {
		text, _ := json.Marshal(map[string]any{
			"name": "n0", "listen": listen, "discovery": discovery,
			"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": 256},
			"settings": map[string]any{
				"fleet_size": 1, "discovery": "pushed", "limits": map[string]any{"send_cap": 3, "connect_timeout_ms": 50, "conn_idle_ms": 10000},
				"classes": []any{map[string]any{"name": "map-tile", "effect": "read_like", "hard_limit_ms": 200, "aim_ms": 100}},
			},
		})
		return text
	}
	write(config(first))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "RUN_SPOKEGW=1", "NODE_CONFIG="+path, "NODE_DISCOVERY="+first, "NODE_LISTEN="+listen, "NODE_NAME=n0")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan string, 1)
	go func() { ended <- fmt.Sprint(cmd.Wait()) }()
	t.Cleanup(func() { cmd.Process.Kill() })
	await(t, "a call to discovery", firstCalled)

	write([]byte(`{"discovery":`))
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for range 2 { // a watch takes a second, so the signal has been handled by then
		await(t, "a call to the old address", firstCalled)
	}
	write(config(second))
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if q := await(t, "a call to the new address", secondCalled); q != "" {
		t.Errorf("the first call to the new address asks for %q, want the whole list", q)
	}
	select {
	case err := <-ended:
		t.Fatalf("the program exited: %s", err)
	default:
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := await(t, "the program to exit", ended); err != "<nil>" {
		t.Errorf("the program exited with %s", err)
	}
}

// spokegw check prints every fault with its position and exits with 1 if there is one;
// an invalid command line exits with 2 and prints the usage.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.toml", "[[service]]\nname = 'maps'\n")
	bad := write("bad.toml", "[[service]]\nname = 'maps'\nweigth = 2\n[[team]]\nname = 'a'\nshare = 2\n")
	classless := write("classless.toml", "[[service]]\nname = 'maps'\n[[team]]\nname = 'a'\n[[team.allow]]\nservice = 'maps'\nclasses = ['order']\n")
	config := write("config.json", `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"fleet_size":1,"limits":{"send_cap":1},"classes":[{"name":"tile","effect":"read_like","hard_limit_ms":100}]}}`)
	syntax := write("syntax.json", "{\"listen\":\"127.0.0.1:0\",\n\"name\":\"n\",\n\"limits\":}\n")
	kind := write("kind.json", "{\"listen\":\"127.0.0.1:0\",\n\"settings\":\n{\n\"fleet_size\":\"many\",\n\"classes\":[{},{\"aim_ms\":[]}]},\n\"limits\":3}\n")
	value := write("value.json", `{"settings":{"fleet_size":1,"classes":[
{"name":"tile"},
{"effect":"read_like","dedup_window_ms":-1}]},
"limits":{"sockets":3},
"seed":"x"}`)
	bare := write("bare.json", `{"settings":{"fleet_size":1,"limits":{"send_cap":1},"classes":[{"effect":"read_like","hard_limit_ms":100}]}}`)
	for _, c := range []struct {
		env  []string
		args []string
		code int
		want []string
	}{
		{nil, []string{"help"}, 0, []string{"spokegw check", "SPOKEGW_OPERATOR"}},
		{nil, []string{"--help"}, 0, []string{"spokegw check"}},
		{nil, []string{"lab", "--help"}, 0, []string{"--surge"}},
		{nil, []string{"chekc"}, 2, []string{"unknown command \"chekc\""}},
		{nil, []string{"check", "--operater", good}, 2, []string{"operater", "spokegw check"}},
		{nil, []string{"check", good}, 2, []string{"is not expected"}},
		{nil, []string{"lab", "--load", "0"}, 2, []string{"over 0"}},
		{nil, []string{"check"}, 1, []string{"nothing to check"}},
		{nil, []string{"check", "--operator", good}, 0, []string{"no fault"}},
		{nil, []string{"check", "--operator", filepath.Join(dir, "none")}, 1, []string{"no such file"}},
		{nil, []string{"check", "--operator", bad}, 1, []string{bad + ":3: service[0].weigth: unknown key", bad + ":6: team[0].share", bad + ":4: team[0]: at least one"}},
		{nil, []string{"check", "--operator", classless}, 0, []string{"no fault"}},
		{[]string{"NODE_CONFIG=" + config}, []string{"check", "--operator", classless}, 1, []string{classless + ":7: team[0].allow[0].classes", "it has tile"}},
		{[]string{"NODE_CONFIG=" + config, "SPOKEGW_OPERATOR=" + good}, []string{"check"}, 0, []string{"no fault"}},
		{[]string{"NODE_CONFIG=" + bad, "SPOKEGW_OPERATOR=" + bad}, []string{"check"}, 1, []string{bad + ":1: invalid character", bad + ":3"}},
		{[]string{"NODE_CONFIG=" + syntax}, []string{"check"}, 1, []string{syntax + ":3: invalid character '}'"}},
		{[]string{"NODE_CONFIG=" + kind}, []string{"check"}, 1, []string{kind + ":4: settings.fleet_size: a whole number is expected, not \"many\"", kind + ":5: settings.classes[1].aim_ms: a number", kind + ":6: limits: an object"}},
		{[]string{"NODE_CONFIG=" + value}, []string{"check"}, 1, []string{
			value + ":1: settings.limits.send_cap: at least 1 is expected, not 0", value + ":2: settings.classes[0].effect: idempotency_key, non_idempotent, read_like is expected, not \"\"",
			value + ":3: settings.classes[1].dedup_window_ms", value + ":4: limits.sockets: at least 32", value + ":5: seed"}},
		{[]string{"NODE_CONFIG=" + bare}, []string{"check"}, 1, []string{bare + ": listen: an address", bare + ": discovery: the registry's"}},
		{[]string{"NODE_CONFIG=" + config}, []string{"--operator", bad}, 1, []string{bad + ":3"}},
		{[]string{"NODE_CONFIG=" + config}, []string{"--log-level", "core=loud"}, 1, []string{"--log-level", "loud"}},
		{[]string{"NODE_CONFIG=" + config}, []string{"--log-level", "core=debug, warn", "--record", filepath.Join(dir, "none", "x")}, 1, []string{"record:", "no such file"}},
	} {
		runCommand(t, c.env, c.args, c.code, c.want...)
	}
}

// runCommand runs a command line and checks its exit code and output.
func runCommand(t *testing.T, env, args []string, code int, want ...string) string {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), append(env, "RUN_SPOKEGW=1")...)
	out, _ := cmd.CombinedOutput()
	if got := cmd.ProcessState.ExitCode(); got != code {
		t.Errorf("%v %v: exit code %d, want %d\n%s", env, args, got, code, out)
	}
	for _, w := range want {
		if !strings.Contains(string(out), w) {
			t.Errorf("%v %v: %q is not in the output\n%s", env, args, w, out)
		}
	}
	return string(out)
}

// Every command has an example that names an existing command.
func TestExamples(t *testing.T) {
	var all func(cmd *cobra.Command)
	all = func(cmd *cobra.Command) {
		if !strings.Contains(cmd.Example, cmd.CommandPath()) {
			t.Errorf("%s has no example that uses it: %q", cmd.CommandPath(), cmd.Example)
		}
		for line := range strings.Lines(cmd.Example) {
			words := strings.Fields(line)
			if i := slices.Index(words, "spokegw"); i >= 0 {
				if _, _, err := cmd.Root().Find(words[i+1:]); err != nil {
					t.Errorf("%s: %v", line, err)
				}
			}
		}
		for _, sub := range cmd.Commands() {
			all(sub)
		}
	}
	all(newCLI(io.Discard, io.Discard))
}

func writeFile(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// The commands that connect to a running sidecar or read its state files.
func TestOperatorCommands(t *testing.T) {
	s, folder := newStateFixture(t)
	p := s.start()
	p.ready(t)
	awaitState(t, folder, `"Name":"n0"`)
	env := []string{"NODE_MANAGEMENT=" + p.Management, "SPOKEGW_CONSOLE=" + filepath.Join(folder, "console.sock")}
	bad := filepath.Join(s.dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("[[service]]\nname = 'maps'\n[[team]]\nname = 'a'\nshare = 2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	run := func(code int, line string, want ...string) string {
		t.Helper()
		return runCommand(t, env, strings.Fields(line), code, want...)
	}
	run(0, "ready", "YES")
	run(0, "explain GET /map-tile/1 --team free", "safe to repeat", "it would be tried", "maps-0")
	run(0, "explain GET /nowhere", "refused with 404")
	run(0, "members", "ENDPOINT", "maps-0")
	run(0, "teams", "free", "(no contract)")
	run(0, "trace --for 10ms")
	run(0, "diff "+s.operator, "nothing changes")
	run(1, "diff "+bad, bad+":5: team[0].share")
	run(0, "reload", "taken over")
	whole, err := os.ReadFile(s.operator)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, s.operator, append(slices.Clone(whole), "\nshare = 'much'\n"...))
	run(1, "reload")
	run(0, "rejected", "operator's file: invalid since", s.operator)
	writeFile(t, s.operator, whole)
	run(0, "reload", "taken over")
	if text := run(0, "rejected"); text != "" {
		t.Errorf("after a whole file these are shown as rejected: %s", text)
	}
	run(0, "disable maps-0", "disable maps-0: done")
	run(0, "members", "disabled")
	run(1, "disable maps-7", "maps-7")
	run(0, "enable maps-0", "done")
	run(0, "drain", "done")
	run(1, "ready", "drained")
	run(0, "resume", "done")
	run(0, "moves", "new", "waiting")
	run(2, "move begin", "NAME is expected")
	run(0, "state show --directory "+folder, "n0", "ago", "teams")
	run(0, "state verify --directory "+folder, "whole")
	run(1, "state show --directory "+s.dir, "--directory names")
	run(0, "version", "revision")
	run(0, "log", "(all others)", "info")
	run(0, "log core=debug --for 5m", "core", "debug", "5m0s")
	run(1, "log loud", "debug, info, warn or error")
	run(0, "man "+filepath.Join(folder, "man"), "pages")
	run(0, "completion bash", "spokegw")
	run(3, "explain GET / --console "+bad, "is it running")
	run(3, "status --management 127.0.0.1:1", "can't be reached")
	for _, line := range []string{"status --json", "members --json", "teams --json", "moves --json", "explain GET /map-tile/1 --json", "ready --json", "version --json", "state show --json --directory " + folder, "state export --directory " + folder} {
		for text := range strings.Lines(run(0, line)) {
			if !json.Valid([]byte(text)) {
				t.Errorf("%s: %s", line, text)
			}
		}
	}
	p.Kill()
	await(t, "the killed process to end", p.Ended)
	files, _ := filepath.Glob(filepath.Join(folder, "*.state"))
	f, err := os.OpenFile(files[0], os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(f, "half of a record")
	f.Close()
	run(1, "state verify --directory "+folder, "torn or spoilt")
	run(0, "state compact --directory "+folder, "written anew")
	run(0, "state verify --directory "+folder)
}

// The example file in deploy, which shows every setting, has no fault.
func TestExampleFile(t *testing.T) {
	const example = "../../deploy/operator.toml"
	f, err := operator.Load(example)
	if err == nil {
		err = f.Check([]string{"map-tile", "status-report"})
	}
	if err != nil {
		t.Fatal(err)
	}
}

// The lab serves requests, prints its table, and exits cleanly on an interrupt.
func TestLab(t *testing.T) {
	cmd := exec.Command(os.Args[0], "lab", "--load", "0.3")
	cmd.Env = append(os.Environ(), "RUN_SPOKEGW=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	lines := make(chan string, 1000)
	go func() {
		defer close(lines)
		for scan := bufio.NewScanner(out); scan.Scan(); {
			lines <- scan.Text()
		}
	}()
	addr := ""
	for rows := 0; rows < 4; {
		line := await(t, "a line of the lab", lines)
		if at, ok := strings.CutPrefix(line, "The sidecar listens at "); ok {
			addr = strings.TrimSuffix(strings.Fields(at)[0], ".")
		}
		var second, asked, inTime int
		var team string
		if n, _ := fmt.Sscan(line, &second, &team, &asked, &inTime); n == 4 {
			if rows++; inTime == 0 {
				t.Errorf("no request is served in time: %s", line)
			}
		}
	}
	resp, err := http.Get("http://" + addr + "/health/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if err := cmd.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	for range lines { // until the output ends
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the lab exited with %v", err)
	}
}
