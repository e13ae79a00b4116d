package operator

import (
	"fmt"
	"slices"
	"strings"
)

func (f *File) checkServices() {
	r := f.reader
	names, prefixes := map[string]bool{}, map[string]string{}
	platform := 0
	for i := range f.Services {
		s := &f.Services[i]
		if names[s.Name] {
			r.fault(s.key+".name", "the service %q is defined twice", s.Name)
		}
		names[s.Name] = true
		if s.Platform {
			if platform++; platform == 2 {
				r.fault(s.key, "endpoints or a registry are expected: the platform's own service is already defined")
			}
		}
		classes := map[string]bool{}
		for _, c := range s.Classes {
			if classes[c.Name] {
				r.fault(c.key+".name", "the class %q is defined twice", c.Name)
			}
			classes[c.Name] = true
			for _, p := range c.Paths {
				if owner := prefixes[p]; owner != "" {
					r.fault(c.key+".paths", "the path %s already belongs to %s", p, owner)
				}
				prefixes[p] = fmt.Sprintf("class %q of service %q", c.Name, s.Name)
				if len(s.Paths) > 0 && !slices.ContainsFunc(s.Paths, func(prefix string) bool { return p == prefix || strings.HasPrefix(p, prefix+"/") }) {
					r.fault(c.key, "the path %s of the class is outside the paths of its service", p)
				}
			}
		}
	}
	f.checkServicePaths(prefixes)
	if platform == 0 {
		r.fault("", `the platform's own service is expected too, as a [[service]] with nothing but a name, such as name = "maps"`)
	}
}

// checkServicePaths checks that no service or class has a path of another service.
func (f *File) checkServicePaths(prefixes map[string]string) {
	owners := map[string]string{}
	for i := range f.Services {
		s := &f.Services[i]
		for _, p := range s.Paths {
			if owner, taken := owners[p]; taken {
				f.reader.fault(s.key+".paths", "the path %s already belongs to service %q", p, owner)
			}
			owners[p] = s.Name
			if owner := prefixes[p]; owner != "" && !strings.HasSuffix(owner, fmt.Sprintf("of service %q", s.Name)) {
				f.reader.fault(s.key+".paths", "the path %s belongs to %s", p, owner)
			}
		}
	}
}

// checkTeams checks the contracts for consistency with one another and with the services.
func (f *File) checkTeams() {
	r := f.reader
	sum := 0.0
	if f.Strangers != nil {
		sum = f.Strangers.Share
	}
	names := map[string]bool{}
	for i := range f.Teams {
		t := &f.Teams[i]
		if names[t.Name] {
			r.fault(t.key+".name", "the team %q is defined twice", t.Name)
		}
		names[t.Name] = true
		if before := sum; before <= 1+shareTolerance {
			if sum += t.Share; sum > 1+shareTolerance {
				r.fault(t.key+".share", "shares up to here, including that of teams without a contract, sum to %.4g; at most 1 is expected: more can't be guaranteed", sum)
			}
		}
		f.checkAllows(t)
	}
}

func (f *File) checkAllows(t *Team) {
	r := f.reader
	type serviceClass struct{ service, class string }
	taken := map[serviceClass]bool{}
	for _, a := range t.Allow {
		i := slices.IndexFunc(f.Services, func(s Service) bool { return s.Name == a.Service })
		if i < 0 {
			if a.Service != "" {
				r.fault(a.key+".service", "there is no service %.60q", a.Service)
			}
			continue
		}
		s := &f.Services[i]
		classes := a.Classes
		if len(classes) == 0 {
			classes = []string{""} // all classes
		}
		for _, c := range classes {
			if c != "" && !s.Platform && !slices.ContainsFunc(s.Classes, func(k Class) bool { return k.Name == c }) {
				r.fault(a.key+".classes", "service %q has no class %.60q", s.Name, c)
			}
			if taken[serviceClass{a.Service, c}] || taken[serviceClass{a.Service, ""}] || c == "" && slices.ContainsFunc(t.Allow, func(b Allow) bool { return b.Service == a.Service && b.key != a.key }) {
				r.fault(a.key, "class %q of service %q is in two allows of team %q", c, a.Service, t.Name)
			}
			taken[serviceClass{a.Service, c}] = true
		}
	}
}

// Check checks the file against the platform's classes: their names are also their paths, and
// contracts may name them. The error is of type fault.Faults.
func (f *File) Check(platform []string) error {
	r := f.reader
	ofPlatform := func(path string) bool { // the path of a platform class, or below it
		first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
		return slices.Contains(platform, first)
	}
	for i := range f.Services {
		s := &f.Services[i]
		for _, p := range s.Paths {
			if ofPlatform(p) {
				r.fault(s.key+".paths", "the path %s belongs to a class of the platform's", p)
			}
		}
		for _, c := range s.Classes {
			for _, p := range c.Paths {
				if ofPlatform(p) {
					r.fault(c.key, "the path %s belongs to a class of the platform's", p)
				}
			}
		}
	}
	for _, t := range f.Teams {
		for _, a := range t.Allow {
			i := slices.IndexFunc(f.Services, func(s Service) bool { return s.Name == a.Service })
			for _, c := range a.Classes {
				if i >= 0 && f.Services[i].Platform && !slices.Contains(platform, c) {
					r.fault(a.key+".classes", "the platform's service %q has no class %.60q, it has %s", a.Service, c, strings.Join(platform, ", "))
				}
			}
		}
	}
	f.checkPlatformGuards(platform)
	return f.err()
}
