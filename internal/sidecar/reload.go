package sidecar

import (
	"fmt"
	"log/slog"
	"reflect"
	"strings"

	"spokegw/internal/core"
	"spokegw/internal/jsonfile"
	"spokegw/internal/operator"
	"spokegw/internal/wire"
)

// settingsChange is a change of a service's settings that is applied together with a table.
type settingsChange struct {
	classes []core.Class
	update  *core.SettingsUpdate
}

// settingsChanges are those of a reload.
type settingsChanges map[*runningService]settingsChange

// apply applies the changes, which have been validated.
func (c settingsChanges) apply() error {
	for r, change := range c {
		if err := change.update.Apply(); err != nil {
			return fmt.Errorf("service %q: %w", r.definition.Name, err)
		}
	}
	return nil
}

// operatorChanges prepares the changes of the settings of services that go on under an operator's
// file.
func (s *Sidecar) operatorChanges(f *operator.File, services []*runningService) (settingsChanges, error) {
	changes := settingsChanges{}
	for i, r := range services {
		d := &f.Services[i]
		if d.Platform || sameSettings(r.definition, *d) {
			continue
		}
		var c core.ServiceConfig
		s.describe(&c, d)
		update, err := r.service.PrepareSettings(c.Settings)
		if err != nil {
			return nil, fmt.Errorf("service %q: %w", d.Name, err)
		}
		changes[r] = settingsChange{s.classes(d), update}
	}
	return changes, nil
}

// Reload applies what a new configuration may change in a running sidecar: the discovery
// address and, of the settings, classes, tenants and the limits of requests. Address, limits,
// kinds and zones stay as they were at the start. Open requests end under the rules that they
// were accepted under, and learned state stays. If it returns an error, nothing has changed.
func (s *Sidecar) Reload(c Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.Stopping() {
		return errStopping
	}
	if missing := s.config.missingKeys(&c); len(missing) > 0 {
		return fmt.Errorf("the file lacks keys that the one in force has: %w", &jsonfile.MissingKeysError{Keys: missing})
	}
	if err := s.updateSettings(&c.Settings); err != nil {
		return err
	}
	s.config.outline, s.config.Discovery = c.outline, c.Discovery
	for _, r := range s.services {
		if r.definition.Platform {
			r.watcher.Redirect(c.Discovery)
		}
	}
	slog.Info("reloaded", "discovery", c.Discovery, "classes", s.config.Settings.Classes)
	return nil
}

// missingKeys returns the paths of required keys that the file of next is short of. A file need have
// none that the one in force does without.
func (c *Config) missingKeys(next *Config) []string {
	return c.outline.Missing(next.outline, requiredKeys)
}

// requiredKeys returns the keys that each object of a kind in a configuration must have.
func requiredKeys(kind string) []string {
	const settings = "settings"
	switch kind {
	case "":
		return []string{"name", "listen", "discovery", "seed", "limits", "peer_listen", "peers", "peers_all", "known", settings}
	case "limits":
		return []string{"cores", "memory_mb", "sockets"}
	case settings:
		return wire.RequiredKeys("")
	}
	if inSettings, found := strings.CutPrefix(kind, settings+"."); found {
		return wire.RequiredKeys(inSettings)
	}
	return nil
}

// updateSettings applies the settings that may change.
func (s *Sidecar) updateSettings(settings *wire.Settings) error {
	current := &s.config.Settings
	next := *settings
	next.Kinds, next.Zones, next.Report, next.ConnectTimeout = current.Kinds, current.Zones, current.Report, current.ConnectTimeout
	next.Policy.ReportFields = current.Policy.ReportFields
	if reflect.DeepEqual(*current, next) {
		return nil
	}
	if s.config.Operator != nil {
		if err := s.config.Operator.Check(next.Classes); err != nil {
			return err
		}
	}
	changes := settingsChanges{}
	for _, r := range s.services {
		if !r.definition.Platform {
			continue
		}
		update, err := r.service.PrepareSettings(s.platformSettings(&next))
		if err != nil {
			return err
		}
		changes[r] = settingsChange{platformClasses(&next), update}
	}
	if len(changes) == 0 { // the operator's file lacks the platform's service
		s.config.Settings = next
		return nil
	}
	table, terms, err := s.buildTable(s.config.Operator, s.services, changes)
	if err == nil {
		err = changes.apply()
	}
	if err != nil {
		return err
	}
	if s.config.Operator != nil {
		s.core.SetTableAndTerms(table, terms)
	} else {
		s.core.SetTable(table)
	}
	s.config.Settings = next
	return nil
}
