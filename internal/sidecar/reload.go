package sidecar

import (
	"fmt"
	"log/slog"
	"reflect"
	"strings"

	"spokegw/internal/core"
	"spokegw/internal/wire"
)

// retuned is a change of the platform's settings that comes with a table.
type retuned struct {
	classes []core.Class
	to      *core.SettingsUpdate
}

// Reload takes over what a new configuration may change in a running sidecar:
// where discovery is, and of the settings classes, tenants and what requests may
// do. Address, limits, kinds and zones stay as they were at the start. Requests
// under way end by the rules that they came under, and what was learnt stays. On
// an error nothing has changed.
func (s *Sidecar) Reload(c Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if missing := s.config.keys.Missing(c.keys); len(missing) > 0 {
		return fmt.Errorf("the file lacks what the one in force has: %s", strings.Join(missing, ", "))
	}
	if err := s.retune(&c.Settings); err != nil {
		return err
	}
	s.config.keys, s.config.Discovery = c.keys, c.Discovery
	for _, r := range s.services {
		if r.definition.Platform {
			r.watcher.Redirect(c.Discovery)
		}
	}
	slog.Info("reloaded", "discovery", c.Discovery, "classes", s.config.Settings.Classes)
	return nil
}

// retune puts the settings in force that may change.
func (s *Sidecar) retune(set *wire.Settings) error {
	now := &s.config.Settings
	next := *set
	next.Kinds, next.Zones, next.Report, next.ConnectTimeout = now.Kinds, now.Zones, now.Report, now.ConnectTimeout
	next.Policy.ReportFields = now.Policy.ReportFields
	if reflect.DeepEqual(*now, next) {
		return nil
	}
	if s.config.Operator != nil {
		if err := s.config.Operator.Check(next.Classes); err != nil {
			return err
		}
	}
	var change *retuned
	for _, r := range s.services {
		if !r.definition.Platform {
			continue
		}
		to, err := r.service.PrepareSettings(s.platformSettings(&next))
		if err != nil {
			return err
		}
		change = &retuned{plainClasses(&next), to}
	}
	if change == nil { // the operator's file has no such service
		s.config.Settings = next
		return nil
	}
	table, terms, err := s.table(s.config.Operator, s.services, change)
	if err == nil {
		err = change.to.Apply()
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

// CountReload counts a file that was read again, taken or turned down.
func (s *Sidecar) CountReload(err error) {
	if err != nil {
		s.figures.ReloadErrors.Add(1)
	} else {
		s.figures.Reloads.Add(1)
	}
}
