package policy

import (
	"fmt"
	"math"
	"time"
)

// Effect is what repeating a request of a class may do.
type Effect uint8

const (
	Idempotent Effect = iota // may run any number of times
	Keyed                    // repeats are discarded within Class.DedupWindow by the endpoints of Class.Scope
	Unsafe                   // must never run twice
)

// Scope is the set of endpoints that discard repeats of a Keyed request.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Aim         time.Duration // latency target: an answer up to here has its full worth
	Deadline    time.Duration // the client's timeout over all its tries
	Effect      Effect
	Scope       Scope
	DedupWindow time.Duration
	Worth       float64
	LateWorth   float64 // fraction of Worth that an answer after the latency target has
}

// Tenant describes a party with an agreed share of the service.
type Tenant struct{ Share float64 }

// ReportField is the meaning of one value of a load report.
type ReportField uint8

const (
	FieldOther    ReportField = iota // skipped
	FieldInFlight                    // requests in the server
	FieldQueue                       // requests waiting
	FieldRate                        // requests served per second
)

// Prices are in points of the operator's score per first try; those of connections are for 100 of them.
type Prices struct{ CrossZone, Probe, Connection, Handshake float64 }

// Settings configure an instance.
type Settings struct {
	Classes            []Class
	Tenants            []Tenant
	FleetSize          int // sidecars that send to the same endpoints
	Zone               int
	DiscoveryOnRequest bool          // discovery sends changes only to a watch that was requested
	PollWithin         time.Duration // after this time without a watch or a message, a change counts as notified
	DrainGrace         time.Duration // sends to a draining or removed endpoint must stop within it; the host counts those after it
	WarmupTime         time.Duration // time after its start from which an endpoint is warm
	StartCapacity      float64       // minimum fraction of its capacity that an endpoint starts with
	OverloadMultiple   float64       // a cold endpoint fails if all sidecars together send it this multiple of its capacity; 0: unknown
	OverloadTime       time.Duration // if they do so for this long; 0: unknown
	MaxAttempts        int
	HostRetryBudget    bool // the host keeps the retry budgets: what exceeds them ends as NotSent
	HedgedAttempts     bool // two attempts of a request may be open at once
	Cancel             bool // attempts may be cancelled
	MayProbe           bool
	ReportFields       []ReportField // order of the values in a load report
	Prices             Prices
	ConnIdleTimeout    time.Duration // a connection is closed after this long without use
	WorthByWork        bool          // worth counts per unit of work
	WarmKeys           bool          // an endpoint that served a key recently serves it again with less work
}

// validate returns an error that names the first invalid field.
func (s *Settings) validate() error {
	for i, c := range s.Classes {
		if c.Effect > Unsafe || c.Scope > ScopeCell || min(c.Aim, c.Deadline, c.DedupWindow) < 0 {
			return fmt.Errorf("settings: classes[%d] has an unknown effect or key_scope, or a negative time", i)
		}
	}
	for i, n := range [...]int{len(s.Classes), s.FleetSize, s.MaxAttempts} {
		if n < 1 {
			return fmt.Errorf("settings: %s: %d, want at least 1", [...]string{"classes", "fleet_size", "send_cap"}[i], n)
		}
	}
	if !(s.StartCapacity >= 0 && s.StartCapacity <= 1) {
		return fmt.Errorf("settings: start_capacity %v is outside 0 to 1", s.StartCapacity)
	}
	if !(s.OverloadMultiple >= 0) || math.IsInf(s.OverloadMultiple, 0) || s.OverloadTime < 0 {
		return fmt.Errorf("settings: fall_multiple %v or fall_ms %v is negative or not finite", s.OverloadMultiple, s.OverloadTime)
	}
	return nil
}
