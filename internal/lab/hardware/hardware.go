// Package hardware plays a fleet of gateways before endpoints of unlike hardware in virtual
// time: the decision module at each gateway, endpoints with workers, speeds, queues and
// neighbours that take a part of the machine, and what the gateways decide together, over
// the links and faults of package gateways.
package hardware

import (
	"fmt"
	"math"
	"time"

	"spokegw/internal/fleet/quota"
	"spokegw/internal/fleet/weights"
	"spokegw/internal/lab/gateways"
	"spokegw/policy"
)

// Way is how gateways weigh endpoints.
type Way int

const (
	Even    Way = iota // of two drawn at random the one with fewer in flight
	List               // the same, drawn by the list's weights
	Alone              // the decision module, each gateway for itself
	Breaker            // the same; a site at which attempts fail in a row gets nothing for 5 s, and all again then
	Fleet              // the decision module with the fleet's measured weights
	Sites              // and with the fleet's plan for sites
)

func (w Way) String() string {
	return [...]string{"even weights", "list weights", "each alone", "breaker", "fleet weights", "fleet plan"}[w]
}

// Class is one of the requests' classes.
type Class struct {
	policy.Class
	Part  float64       // of the requests
	Work  time.Duration // mean, on a worker of speed 1
	Spray float64       // of the log of the work
	Hint  float64       // over the true work; 0: there is none
}

// Config is what is played.
type Config struct {
	Seed     uint64
	Way      Way
	Gateways int
	Servers  []*Server
	Classes  []Class
	Load     func(now time.Duration) float64 // part of the capacity that is asked for
	// SiteNames are those of the fleet's gateways, in turn; none: there are no sites.
	SiteNames []string
	Skewed    bool // some gateways have several times the traffic of others
	// Quota is how many requests a second all gateways together may admit, with bursts of so
	// many; 0: there is no quota.
	Quota, Burst float64
}

// Tally is what became of requests.
type Tally struct {
	Asked, Good, Late, Refused, Failed, OverQuota int
	Worth, Possible                               float64
}

// Lab is a fleet that is played.
type Lab struct {
	*gateways.World
	Config
	Tally    Tally
	Falls    int // of cold servers
	names    []string
	Bytes    int // of messages to others, as they are packed
	set      quota.Settings
	gateways map[string]*gateway
	order    []*gateway
	ids      []weights.ID
	load     []float64 // running sum of gateways' parts of the traffic
	lastID   policy.RequestID
	until    time.Duration // requests come
	asking   bool
	whole    float64 // capacity at the beginning
	admitted admitted
}

// New makes a fleet at rest.
func New(c Config) *Lab {
	l := &Lab{Config: c, gateways: map[string]*gateway{}, set: quota.Settings{Lease: 2 * time.Second, Period: 200 * time.Millisecond, Drift: 0.01}}
	for i := range c.Servers {
		l.names = append(l.names, fmt.Sprint(i))
		l.ids = append(l.ids, weights.NewID("", l.names[i], 0))
	}
	l.World = gateways.New(c.Seed, l.set, c.Gateways, 1, l.start)
	sum := 0.0
	for range l.order {
		part := 1.0
		if c.Skewed {
			part = math.Min(0.3/l.Rand.Float64(), 6)
		}
		sum += part
		l.load = append(l.load, sum)
	}
	return l
}

func (l *Lab) list() (all []policy.Endpoint) {
	for i, s := range l.Servers {
		all = append(all, policy.Endpoint{ID: policy.EndpointID(i), Kind: s.Kind, NominalSize: s.Listed, Started: s.started})
	}
	return all
}

// Play has requests come for so long.
func (l *Lab) Play(lasts time.Duration) error {
	if l.whole == 0 {
		l.whole = l.Capacity()
	}
	if l.until = l.Now + lasts; !l.asking {
		l.asking = true
		l.After(0, l.arrive)
	}
	return l.Run(l.until)
}

// Capacity is the work that all servers can do in a second.
func (l *Lab) Capacity() (sum float64) {
	for _, s := range l.Servers {
		sum += s.Capacity(l.Now)
	}
	return sum
}

func (l *Lab) arrive() {
	if l.Now >= l.until {
		l.asking = false
		return
	}
	rate := l.Load(l.Now) * l.whole / l.meanWork()
	l.After(time.Duration(l.Rand.ExpFloat64()/rate*float64(time.Second)), l.arrive)
	for range 100 { // clients of a gateway that is down go to another
		at, i := l.Rand.Float64()*l.load[len(l.load)-1], 0
		for l.load[i] < at {
			i++
		}
		if l.Nodes[i].Serves() {
			l.order[i].request()
			return
		}
	}
}
