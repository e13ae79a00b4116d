package sidecar_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"spokegw/internal/lab"
	"spokegw/internal/lab/scene"
)

// keyRuns are the endpoints at which keys arrived.
type keyRuns struct {
	mu sync.Mutex
	at map[string][]int
}

// pods starts endpoints that record the keys of requests. Of each key the first request is not answered, so that
// it may have run.
func (k *keyRuns) pods(t *testing.T, n int) (pods []*lab.Endpoint) {
	for i := range n {
		pods = append(pods, endpoint(t, lab.EndpointConfig{Workers: 64, Answer: func(w http.ResponseWriter, r *http.Request) bool {
			key := r.Header.Get("Idempotency-Key")
			k.mu.Lock()
			first := len(k.at[key]) == 0
			k.at[key] = append(k.at[key], i)
			k.mu.Unlock()
			if first {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			return false
		}}))
	}
	return pods
}

// checkOnePodEach checks that a number of keys were sent, each to one pod.
func (k *keyRuns) checkOnePodEach(t *testing.T, keys int) {
	t.Helper()
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, at := range k.at {
		for _, pod := range at {
			if pod != at[0] {
				t.Errorf("%s was sent to the pods %v", key, at)
				break
			}
		}
	}
	if len(k.at) != keys {
		t.Errorf("%d of %d keys were sent", len(k.at), keys)
	}
}

// closures returns the section of a keyed service, each endpoint of which is a pod.
func closures(pods []*lab.Endpoint) string {
	text := weather("/closures", pods...)
	return strings.NewReplacer("'weather'", "'closures'", "'forecast'", "'closures'", "'safe'", "'keyed'\nscope = 'pod'\nwindow = '30s'\nmethods = ['POST']",
		"aim = '4s'", "aim = '100ms'", "deadline = '8s'", "deadline = '300ms'", "[[service.class]]", "attempts = 3\nsecond-copies = false\n[[service.class]]").Replace(text)
}

// Guards against keys that may have run and are forgotten when the operator's file changes their service, so that
// their repeats run at another pod.
func TestReloadOfServiceKeepsKeys(t *testing.T) {
	const keys = 12
	allowed := contract("kiosks", 0.5, "service = 'closures'", "service = 'maps'")
	for name, change := range map[string]*strings.Replacer{
		"attempts":        strings.NewReplacer("attempts = 3", "attempts = 2"),
		"second copies":   strings.NewReplacer("second-copies = false", "second-copies = true"),
		"a longer window": strings.NewReplacer("window = '30s'", "window = '40s'"),
		"the deadline":    strings.NewReplacer("deadline = '300ms'", "deadline = '1s'"),
		"timeouts":        strings.NewReplacer("attempts = 3", "attempts = 3\nconnect-timeout = '90ms'\nidle = '7s'"),
		"another class":   strings.NewReplacer("[[service.class]]", "[[service.class]]\nname = 'other'\npaths = ['/other']\neffect = 'safe'\naim = '1s'\ndeadline = '1s'\n[[service.class]]"),
		"weight, path":    strings.NewReplacer("attempts = 3", "attempts = 3\nweight = 2.0", "'/closures'", "'/closures', '/closed'"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := &keyRuns{at: map[string][]int{}}
			pods := runs.pods(t, 4)
			s := start(t, scene.Config{Operator: maps + closures(pods) + allowed})
			send := func(key, id string) int {
				r, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+s.Addr()+"/closures/3", nil)
				if err != nil {
					t.Fatal(err)
				}
				r.Header = http.Header{"Req-Id": {id}, "Idempotency-Key": {key}, "Req-Owner": {"kiosks"}, "Req-Deadline": {"300m"}}
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				return resp.StatusCode
			}
			sendAll := func(series string) {
				var sending sync.WaitGroup
				for i := range keys {
					sending.Go(func() {
						if status := send(fmt.Sprint("key-", i), fmt.Sprint(name, series, i)); status == 400 || status == 403 || status == 404 {
							t.Errorf("answered %d", status)
						}
					})
				}
				sending.Wait()
			}
			sendAll("first")
			if err := s.Reload(change.Replace(maps + closures(pods) + allowed)); err != nil {
				t.Fatal(err)
			}
			sendAll("again")
			runs.checkOnePodEach(t, keys)
			if n := s.Sidecar.RetiredServices(); n > 0 {
				t.Errorf("%d services were made anew", n)
			}
		})
	}
}
