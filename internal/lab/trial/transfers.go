package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"spokegw/internal/lab"
)

// Transfers are keyed requests to a service of the operator's file, whose endpoints are pods that each
// drop the repeats of a key by themselves. The file changes between a request and its repeat.
const (
	transferPods   = 4
	transferKeys   = 10 // of one reload
	transferWindow = 4 * time.Second
	transferLimit  = 300 * time.Millisecond
	// afterReload is how long after SIGHUP the repeats are sent, within transferWindow.
	leastAfterReload, mostAfterReload = 50 * time.Millisecond, 600 * time.Millisecond
)

// transfers are the pods, and which keys each has run.
type transfers struct {
	pods []*lab.Endpoint

	mu   sync.Mutex
	runs map[string][]int // pods by key
}

// startTransfers starts the pods. Of each key the first request is not answered, so that it may have run.
func startTransfers() (*transfers, error) {
	t := &transfers{runs: map[string][]int{}}
	for i := range transferPods {
		pod, err := lab.StartEndpoint(lab.EndpointConfig{Workers: manyTurns, Answer: func(_ http.ResponseWriter, r *http.Request) bool {
			if t.run(r.Header.Get("Idempotency-Key"), i) {
				panic(http.ErrAbortHandler)
			}
			return false
		}})
		if err != nil {
			return t, err
		}
		t.pods = append(t.pods, pod)
	}
	return t, nil
}

func (t *transfers) close() {
	for _, pod := range t.pods {
		pod.Close()
	}
}

// run records that a pod runs a key, and reports whether it is the first run.
func (t *transfers) run(key string, pod int) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[key] = append(t.runs[key], pod)
	return len(t.runs[key]) == 1
}

// podsOf returns the pods that have run a key.
func (t *transfers) podsOf(key string) []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]int(nil), t.runs[key]...)
}

// operatorFile is the operator's file, as far as it changes.
type operatorFile struct {
	attempts     int
	secondCopies bool
	weight       float64
	otherClass   bool
}

var usualOperatorFile = operatorFile{attempts: 3, weight: 1}

func (f operatorFile) text(pods []*lab.Endpoint) string {
	var addresses []string
	for _, pod := range pods {
		addresses = append(addresses, strconv.Quote(pod.Addr()))
	}
	text := fmt.Sprintf("[[service]]\nname = 'maps'\n[[service]]\nname = 'transfers'\nendpoints = [%s]\nattempts = %d\nsecond-copies = %t\nweight = %.1f\n",
		strings.Join(addresses, ", "), f.attempts, f.secondCopies, f.weight)
	if f.otherClass {
		text += "[[service.class]]\nname = 'query'\npaths = ['/query']\neffect = 'safe'\naim = '1s'\ndeadline = '1s'\n"
	}
	text += fmt.Sprintf("[[service.class]]\nname = 'transfer'\npaths = ['/transfer']\nmethods = ['POST']\neffect = 'keyed'\nscope = 'pod'\nwindow = '%v'\naim = '%v'\ndeadline = '%v'\n",
		transferWindow, transferLimit/2, transferLimit)
	return text + "[[team]]\nname = 'trial'\nshare = 0.5\n[[team.allow]]\nservice = 'maps'\n[[team.allow]]\nservice = 'transfers'\n[no-contract]\naction = 'share'\nshare = 0.5\n"
}

// changed is a file that differs, or one that is broken.
func (f operatorFile) changed(rng *rand.Rand, pods []*lab.Endpoint) (text, how string) {
	switch rng.IntN(6) {
	case 0:
		f.attempts = 2
		how = "fewer attempts"
	case 1:
		f.attempts, f.secondCopies = 4, true
		how = "more attempts, second copies"
	case 2:
		f.weight = 2
		how = "another weight"
	case 3:
		f.otherClass = true
		how = "another class"
	case 4:
		return strings.Replace(f.text(pods), "scope = 'pod'\n", "scope = 'none'\n", 1), "a scope that there is not"
	default:
		whole := f.text(pods)
		return whole[:len(whole)/2], "cut off"
	}
	return f.text(pods), how
}

// changeOperatorFile has a sidecar reload the operator's file between keyed requests that may have run
// and their repeats. These may run where the first ones did and nowhere else.
func (p *play) changeOperatorFile(ctx context.Context, rng *rand.Rand) {
	p.exchangeFree(rng, func(s *sidecarProcess) {
		series := fmt.Sprintf("transfer-%s-%x", s.name, rng.Uint32())
		p.transferAll(s, series, "first")
		text, how := usualOperatorFile.changed(rng, p.transfers.pods)
		p.note("%s: the operator's file: %s", s.name, how)
		if replaceFile(s.operator, []byte(text)) != nil {
			return
		}
		s.proc.Signal(syscall.SIGHUP)
		if wait(ctx, span(rng, leastAfterReload, mostAfterReload)) {
			p.transferAll(s, series, "again")
			p.judgeTransfers(series)
		}
		if replaceFile(s.operator, []byte(usualOperatorFile.text(p.transfers.pods))) == nil {
			s.proc.Signal(syscall.SIGHUP)
		}
	})
}

// transferAll sends a request for each key of a series, at the same time.
func (p *play) transferAll(s *sidecarProcess, series, name string) {
	var sending sync.WaitGroup
	for i := range transferKeys {
		sending.Go(func() { p.transfer(s, fmt.Sprint(series, "-", i), name) })
	}
	sending.Wait()
}

// transfer sends a keyed request on a connection of its own, and awaits its end.
func (p *play) transfer(s *sidecarProcess, key, name string) {
	conn, err := net.DialTimeout("tcp", s.listen, dialWithin)
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /transfer HTTP/1.1\r\nHost: b\r\nReq-Id: %s-%s\r\nReq-Owner: %s\r\nReq-Deadline: %dm\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}",
		key, name, teamName, transferLimit.Milliseconds(), key)
	conn.SetReadDeadline(time.Now().Add(transferLimit + 3*answerSlack))
	io.Copy(io.Discard, conn)
}

// judgeTransfers judges that each key of a series ran at one pod.
func (p *play) judgeTransfers(series string) {
	for i := range transferKeys {
		key := fmt.Sprint(series, "-", i)
		pods := p.transfers.podsOf(key)
		for _, pod := range pods {
			if pod != pods[0] {
				p.judge.breaks(Duplicate, sure, "%s ran at the pods %v", key, pods)
				break
			}
		}
	}
}

// teamName is the team of all clients in the operator's file.
const teamName = "trial"

// replaceFile replaces a file as a whole.
func replaceFile(path string, text []byte) error {
	return errors.Join(os.WriteFile(path+".new", text, fs.FileMode(0o600)), os.Rename(path+".new", path))
}
