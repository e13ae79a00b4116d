package sidecar

import (
	"testing"

	"spokegw/internal/operator"
)

// A service that has not been started yet starts with the endpoints of the last reload.
func TestReloadBeforeStart(t *testing.T) {
	d := operator.Service{Name: "weather", Endpoints: []string{"127.0.0.1:1"}}
	r := &runningService{definition: d, initial: entries(d.Endpoints)}
	d.Endpoints = []string{"127.0.0.1:2"}
	r.reconfigure(d)
	if len(r.initial) != 1 || r.initial[0].Addr != "127.0.0.1:2" {
		t.Errorf("the service starts with %v", r.initial)
	}
}
