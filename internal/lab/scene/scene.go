// Package scene puts a whole arrangement up on loopback: a sidecar with its
// registry, the endpoints of its services, and an operator's file.
package scene

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"spokegw/internal/discovery"
	"spokegw/internal/journal"
	"spokegw/internal/lab"
	"spokegw/internal/operator"
	"spokegw/internal/sidecar"
)

// Config is what a scene is made of.
type Config struct {
	Listen    string               // "": a free port
	Maps      []lab.EndpointConfig // endpoints of the platform's service
	Listed    []discovery.Entry    // what the registry lists; nil: Maps
	Operator  string               // the operator's file; "": none
	Sockets   int                  // the sidecar's limit; 0: 1,024
	MemoryMB  int                  // 0: 128
	Aim       time.Duration        // of map-tile; 0: 400 ms
	Deadline  time.Duration        // 0: 1.2 s
	Window    time.Duration        // in which endpoints drop repeats of a keyed request; 0: 600 ms
	MaxTries  int                  // 0: 3
	SecondTry bool                 // second copies may go out
	Beside    *Scene               // another process of the sidecar, whose endpoints and registry are used; nil: own ones
	Disk      journal.Disk         // that is kept on; nil: the machine's
	Folder    string               // that processes of the sidecar share; "": none
	Made      func()               // is called when the sidecar is made, before it runs; nil: nothing is
	HTTP3     bool                 // with a front for HTTP/3, under a certificate of its own
	HTTP3More string               // further settings of it
}

// Scene is an arrangement that is up.
type Scene struct {
	Sidecar  *sidecar.Sidecar
	Maps     []*lab.Endpoint
	Registry *lab.Registry

	// Certificate is that of the front for HTTP/3, in PEM; nil where it is off.
	Certificate  []byte
	HTTP3Section string // of the operator's file, for reloads

	folder string // of the certificate's files
	made   Config // what it is made of
	beside bool   // endpoints and registry are another's
	config sidecar.Config
	stop   context.CancelFunc
	ended  chan error
	wait   sync.Once
	err    error
}

// Entries list endpoints as a registry would.
func Entries(endpoints ...*lab.Endpoint) []discovery.Entry {
	entries := []discovery.Entry{} // a list, also with none in it
	for i, e := range endpoints {
		entries = append(entries, discovery.Entry{ID: fmt.Sprint("maps-", i), Addr: e.Addr(), Kind: "std", Cell: i / 4, State: "active", Weight: 1})
	}
	return entries
}

// listed is the list as told, or that of the endpoints.
func listed(told []discovery.Entry, endpoints []*lab.Endpoint) []discovery.Entry {
	if told != nil {
		return told
	}
	return Entries(endpoints...)
}

// Start puts a scene up. It ends with Close.
func Start(c Config) (*Scene, error) {
	s := &Scene{ended: make(chan error, 1), stop: func() {}, made: c}
	if err := s.start(c); err != nil {
		s.closeStandIns()
		return nil, err
	}
	return s, nil
}

func (s *Scene) start(c Config) error {
	if c.Beside != nil {
		c.Maps = nil
	}
	for _, ec := range c.Maps {
		e, err := lab.StartEndpoint(ec)
		if err != nil {
			return err
		}
		s.Maps = append(s.Maps, e)
	}
	var err error
	if b := c.Beside; b != nil {
		s.Maps, s.Registry, s.beside = b.Maps, b.Registry, true
	} else if s.Registry, err = lab.StartRegistry(listed(c.Listed, s.Maps), nil); err != nil {
		return err
	}
	if s.config, err = sidecar.ParseConfig("platform", s.platform(c, Classes(c))); err != nil {
		return err
	}
	s.config.Folder, s.config.Disk = c.Folder, c.Disk
	if c.HTTP3 {
		section, err := s.http3(c.HTTP3More)
		if err != nil {
			return err
		}
		c.Operator += section
	}
	if c.Operator != "" {
		f, err := operator.Parse("operator.toml", []byte(c.Operator))
		if err == nil {
			err = s.config.CheckOperator(f)
		}
		if err != nil {
			return err
		}
		s.config.Operator = f
	}
	if s.Sidecar, err = sidecar.New(s.config); err != nil {
		return err
	}
	if c.Made != nil {
		c.Made()
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() { s.ended <- s.Sidecar.Run(ctx) }()
	return nil
}

// http3 makes a throwaway certificate and the section of the operator's file
// that names it.
func (s *Scene) http3(more string) (section string, err error) {
	if s.folder, err = os.MkdirTemp("", "spokegw-lab-"); err != nil {
		return "", err
	}
	if err := s.NewCertificate(); err != nil {
		return "", err
	}
	cert, key := s.certificateFiles()
	s.HTTP3Section = fmt.Sprintf("[http3]\nlisten = '127.0.0.1:0'\ncertificate = %q\nkey = %q\n%s", cert, key, more)
	return s.HTTP3Section, nil
}

func (s *Scene) certificateFiles() (cert, key string) {
	return filepath.Join(s.folder, "cert.pem"), filepath.Join(s.folder, "key.pem")
}

// NewCertificate replaces the certificate in the files of the front for HTTP/3.
func (s *Scene) NewCertificate() (err error) {
	s.Certificate, err = lab.WriteCertificate(s.certificateFiles())
	return err
}

// Class is a class of the platform's settings, as they tell it.
type Class map[string]any

// Classes are those that a scene begins with.
func Classes(c Config) []Class {
	ms := func(d, fallback time.Duration) int64 {
		if d == 0 {
			d = fallback
		}
		return d.Milliseconds()
	}
	return []Class{
		{"name": "map-tile", "effect": "read_like", "worth": 1, "late_worth": 0.5,
			"aim_ms": ms(c.Aim, 400*time.Millisecond), "hard_limit_ms": ms(c.Deadline, 1200*time.Millisecond)},
		{"name": "status-report", "effect": "idempotency_key", "key_scope": "cell", "dedup_window_ms": ms(c.Window, 600*time.Millisecond),
			"worth": 3, "late_worth": 0.4, "aim_ms": ms(c.Aim, 400*time.Millisecond), "hard_limit_ms": ms(c.Deadline, 1200*time.Millisecond)},
	}
}

// Retune has the sidecar take over settings with other classes.
func (s *Scene) Retune(classes ...Class) error {
	c, err := sidecar.ParseConfig("platform", s.platform(s.made, classes))
	if err != nil {
		return err
	}
	return s.Sidecar.Reload(c)
}

// platform is the configuration that the platform would give.
func (s *Scene) platform(c Config, classes []Class) []byte {
	return Configuration(Platform{
		Listen: cmp.Or(c.Listen, "127.0.0.1:0"), Management: "127.0.0.1:0", Registry: s.Registry.Addr(), Endpoints: s.Maps, Listed: c.Listed,
		MemoryMB: c.MemoryMB, Sockets: c.Sockets, MaxTries: c.MaxTries, SecondCopies: c.SecondTry, Classes: classes,
		ConnectTimeout: time.Second, // on a machine that is short of processors 100 ms pass before a stand-in accepts
	})
}

// Platform is what the platform tells a sidecar.
type Platform struct {
	Name               string // "": lab
	Listen, Management string // Management "": not told
	Registry           string
	Endpoints          []*lab.Endpoint
	Listed             []discovery.Entry // in place of them; nil: they are
	MemoryMB, Sockets  int               // 0: 128 and 1,024
	MaxTries           int               // 0: 3
	FleetSize          int               // sidecars of the deployment; 0: 1
	ConnectTimeout     time.Duration     // 0: 100 ms
	SecondCopies       bool
	Cold               lab.ColdStart // of new endpoints, from a fifth of their capacity where Least is 0
	Asked              bool          // discovery is asked by all; else an agent has what is pushed
	Grace              time.Duration // in which sends to an endpoint that drains cease; 0: not told
	Classes            []Class
}

// Configuration is the file that it tells that by.
func Configuration(p Platform) []byte {
	way := "pushed"
	if p.Asked {
		way = "on_request"
	}
	text, _ := json.Marshal(map[string]any{ // of plain values
		"name": cmp.Or(p.Name, "lab"), "listen": p.Listen, "discovery": p.Registry, "management": p.Management,
		"limits": map[string]any{"cores": 1, "memory_mb": cmp.Or(p.MemoryMB, 128), "sockets": cmp.Or(p.Sockets, 1024)},
		"known":  map[string]any{"version": 1, "full": true, "servers": listed(p.Listed, p.Endpoints)},
		"settings": map[string]any{
			"fleet_size": cmp.Or(p.FleetSize, 1), "discovery": way, "kinds": []string{"std"},
			"limits": map[string]any{
				"send_cap": cmp.Or(p.MaxTries, 3), "connect_timeout_ms": cmp.Or(p.ConnectTimeout, 100*time.Millisecond).Milliseconds(), "conn_idle_ms": 10000,
				"cancelling": true, "second_copies": p.SecondCopies,
			},
			"classes": p.Classes,
			"rules": map[string]any{
				"cold_ms": p.Cold.Time.Milliseconds(), "start_capacity": cmp.Or(p.Cold.Least, 0.2),
				"fall_multiple": p.Cold.Multiple, "fall_ms": p.Cold.Span.Milliseconds(),
				"ask_within_ms": 10000, "drain_grace_ms": p.Grace.Milliseconds(),
			},
		},
	})
	return text
}

// Addr is where the sidecar listens.
func (s *Scene) Addr() string { return s.Sidecar.Addr().String() }

// Reload takes over another operator's file.
func (s *Scene) Reload(text string) error {
	if !strings.Contains(text, "[http3]") {
		text += s.HTTP3Section
	}
	f, err := operator.Parse("operator.toml", []byte(text))
	if err != nil {
		return err
	}
	return s.Sidecar.ReloadOperator(f)
}

// Stop asks the sidecar to stop; it finishes what it has taken.
func (s *Scene) Stop() { s.stop() }

// Wait waits until the sidecar has stopped.
func (s *Scene) Wait() error {
	s.wait.Do(func() { s.err = <-s.ended })
	return s.err
}

// Close stops the sidecar, which finishes what it has taken, and then the rest.
func (s *Scene) Close() error {
	s.Stop()
	err := s.Wait()
	s.closeStandIns()
	return err
}

func (s *Scene) closeStandIns() {
	for _, e := range s.Maps {
		if !s.beside {
			e.Close()
		}
	}
	if s.Registry != nil && !s.beside {
		s.Registry.Close()
	}
	if s.folder != "" {
		os.RemoveAll(s.folder)
	}
}
