package policy

import (
	"fmt"
	"math"
	"time"
)

// Effect says what repeating a request of a class may do.
type Effect uint8

const (
	Idempotent Effect = iota // may run any number of times
	Keyed                    // repeats are discarded within Class.DedupWindow by the endpoints of Class.Scope
	Unsafe                   // must never run twice
)

// Scope says which endpoints discard repeats of a Keyed request.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Aim         time.Duration // an answer up to here has its full worth
	Deadline    time.Duration // the client's patience over all its tries
	Effect      Effect
	Scope       Scope
	DedupWindow time.Duration
	Worth       float64
	LateWorth   float64 // part of Worth that an answer after the aim has
}

// Tenant describes a party with an agreed fraction of the service.
type Tenant struct{ Share float64 }

// ReportField names one value of a load report.
type ReportField uint8

const (
	FieldOther    ReportField = iota // skipped
	FieldInFlight                    // requests held
	FieldQueue                       // requests waiting
	FieldRate                        // requests served per second
)

// Prices are points of the operator's result per first try; of 100 connections.
type Prices struct{ CrossZone, Probe, Connection, Handshake float64 }

// Settings is what an instance is told before its first event.
type Settings struct {
	Classes            []Class
	Tenants            []Tenant
	FleetSize          int // sidecars that send to the same endpoints
	Zone               int
	DiscoveryOnRequest bool          // discovery speaks only when asked
	PollWithin         time.Duration // unsubscribed and silent for longer counts as told
	DrainGrace         time.Duration // in which sends to an endpoint cease that drains or is gone; the host counts those after it
	WarmupTime         time.Duration // a started endpoint is warm after this
	StartCapacity      float64       // share of its capacity it starts with at least
	OverloadMultiple   float64       // a cold endpoint falls that all sidecars send this many times what it can do; 0: not told
	OverloadTime       time.Duration // if they do so for so long; 0: not told
	MaxAttempts        int
	HostRetryBudget    bool // the host holds the retry budgets: what it has no room for ends as NotSent
	HedgedAttempts     bool // two attempts of a request may be out together
	Cancel             bool // attempts may be called off
	MayProbe           bool
	ReportFields       []ReportField // order of the values in a load report
	Prices             Prices
	ConnIdleTimeout    time.Duration // a connection closes after so long without use
	WorthByWork        bool          // worth counts per unit of work
	WarmKeys           bool          // an endpoint that met a key lately serves it with less work
}

// validate names the first field that can't be worked with.
func (s *Settings) validate() error {
	for i, c := range s.Classes {
		if c.Effect > Unsafe || c.Scope > ScopeCell || min(c.Aim, c.Deadline, c.DedupWindow) < 0 {
			return fmt.Errorf("settings: classes[%d] has an unknown effect or key_scope, or a negative time", i)
		}
	}
	for i, n := range [...]int{len(s.Classes), s.FleetSize, s.MaxAttempts} {
		if n < 1 {
			return fmt.Errorf("settings: %s: %d, at least 1 is needed", [...]string{"classes", "fleet_size", "send_cap"}[i], n)
		}
	}
	if !(s.StartCapacity >= 0 && s.StartCapacity <= 1) {
		return fmt.Errorf("settings: start_capacity %v is outside 0 to 1", s.StartCapacity)
	}
	if !(s.OverloadMultiple >= 0) || math.IsInf(s.OverloadMultiple, 0) || s.OverloadTime < 0 {
		return fmt.Errorf("settings: fall_multiple %v or fall_ms %v is below 0", s.OverloadMultiple, s.OverloadTime)
	}
	return nil
}
