package policy_test

import (
	"fmt"
	"time"

	"spokegw/policy"
)

// A sidecar creates one Balancer, reports events to it and carries out the
// actions that it returns.
func Example() {
	b, err := policy.New(policy.Settings{
		Classes:       []policy.Class{{Aim: 100 * time.Millisecond, Deadline: time.Second, Effect: policy.Idempotent, Worth: 1}},
		FleetSize:     1,
		MaxAttempts:   2,
		WarmupTime:    20 * time.Second,
		StartCapacity: 0.2,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 5 * time.Second // the sidecar's own monotonic clock
	b.Endpoints(now, []policy.Endpoint{{ID: 7}}, true)
	for _, action := range b.Request(now, policy.Request{ID: 1, TimeLeft: time.Second}) {
		switch a := action.(type) {
		case policy.Send:
			fmt.Println("send request", a.Request, "to endpoint", a.Endpoint)
		case policy.Refuse:
			fmt.Println("refuse request", a.Request)
		}
	}
	now += 20 * time.Millisecond
	b.Outcome(now, policy.Outcome{Request: 1, Endpoint: 7, Result: policy.Served, Complete: true, Elapsed: 20 * time.Millisecond})
	// Output: send request 1 to endpoint 7
}
