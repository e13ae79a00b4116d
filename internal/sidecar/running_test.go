package sidecar

import (
	"testing"

	"spokegw/internal/operator"
)

// A reload that comes before a service follows its list has it begin with the new one.
func TestReloadBeforeStart(t *testing.T) {
	d := operator.Service{Name: "weather", Endpoints: []string{"127.0.0.1:1"}}
	r := &running{definition: d, known: entries(d.Endpoints)}
	d.Endpoints = []string{"127.0.0.1:2"}
	r.adopt(d)
	if len(r.known) != 1 || r.known[0].Addr != "127.0.0.1:2" {
		t.Errorf("it begins with %v", r.known)
	}
}
