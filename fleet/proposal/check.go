package proposal

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"balsamknot.org/fleet/site"
)

func (c *check) add(severity Severity, o Object, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Object: o, Message: fmt.Sprintf(format, args...)})
}

func (c *check) errorf(o Object, format string, args ...any) { c.add(Error, o, format, args...) }

func (c *check) warnf(o Object, format string, args ...any) { c.add(Warning, o, format, args...) }

var wholeSet = Object{Kind: KindSet}

func routeObject(name site.RouteName) Object { return Object{Kind: KindRoute, Name: string(name)} }

func serviceObject(name site.ServiceName) Object {
	return Object{Kind: KindService, Name: string(name)}
}

func workspaceObject(name site.WorkspaceName) Object {
	return Object{Kind: KindWorkspace, Name: string(name)}
}

// checkVersion checks that hosts will take the set in place of the one in force.
func (c *check) checkVersion(inForce *site.Set) {
	switch {
	case c.set.Version <= 0:
		c.errorf(wholeSet, "version %d is not positive", c.set.Version)
	case inForce != nil && c.set.Version <= inForce.Version:
		c.errorf(wholeSet, "version %d is not above version %d, which is in force: hosts don't take it", c.set.Version, inForce.Version)
	}
}

func (c *check) checkDuplicates(d Duplicates) {
	for _, name := range d.Services {
		c.errorf(serviceObject(name), "it is listed more than once; only the last entry counts")
	}
	for _, name := range d.Workspaces {
		c.errorf(workspaceObject(name), "it is listed more than once; only the priority of the last entry counts")
	}
	for _, key := range d.Keys {
		if key.First == key.Second {
			c.warnf(workspaceObject(key.First), "a key of it is listed twice")
			continue
		}
		c.errorf(workspaceObject(key.First), "a key of it is also one of workspace %s, to which its callers then belong", key.Second)
	}
}

func (c *check) checkServices() {
	used := make(map[site.ServiceName]bool)
	for _, r := range c.set.Routes {
		for _, b := range r.Backends {
			used[b.Service] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.set.Services)) {
		service, o := c.set.Services[name], serviceObject(name)
		if name == "" {
			c.errorf(o, "a service has no name")
		}
		if !used[name] {
			c.warnf(o, "no route leads to it")
		}
		if service.Engine != nil && service.Engine.Slots <= 0 {
			c.warnf(o, "its engines have %d slots; the slots of their registrations count", service.Engine.Slots)
		}
		switch {
		case service.ColdTime > 0 && service.ColdRate == 0:
			c.warnf(o, "endpoints are cold for %s, but no rate is set: cold ones get as many requests as others", service.ColdTime)
		case service.ColdTime == 0 && service.ColdRate > 0:
			c.warnf(o, "cold endpoints get %g requests a second, but no time is set for which they are cold", service.ColdRate)
		}
	}
}

func (c *check) checkWorkspaces() {
	keys := make(map[site.WorkspaceName]int)
	for key, name := range c.set.Keys {
		keys[name]++
		if key == "" {
			c.errorf(workspaceObject(name), "a key of it is empty: callers without a key belong to it")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		if _, known := c.set.Workspaces[name]; !known {
			c.errorf(workspaceObject(name), "keys are listed for it, but there is no such workspace")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.set.Workspaces)) {
		w, o := c.set.Workspaces[name], workspaceObject(name)
		if name == "" {
			c.errorf(o, "a workspace has no name")
		}
		if keys[name] == 0 {
			c.warnf(o, "it has no keys, so that nobody can call for it")
		}
		if w.HasPriority && w.Priority < 0 {
			c.warnf(o, "priority %d is above the highest, 0", w.Priority)
		}
	}
	if len(c.set.Workspaces) == 0 && slices.ContainsFunc(c.set.Routes, func(r site.Route) bool { return !r.Public }) {
		c.warnf(wholeSet, "there are no workspaces: all routes take requests without a key, also those that aren't public")
	}
}

func (c *check) checkLimits() {
	l, o := c.set.Limits, Object{Kind: KindLimits}
	checkLimit(c, o, "header size", int64(l.HeaderBytes))
	checkLimit(c, o, "body size", l.BodyBytes)
	checkLimit(c, o, "time to send headers", l.HeaderTimeout)
	checkLimit(c, o, "idle time", l.IdleTimeout)
}

// checkLimit checks a limit that must be positive to hold.
func checkLimit[T int64 | time.Duration](c *check, o Object, what string, limit T) {
	switch {
	case limit < 0:
		c.errorf(o, "the limit on the %s, %v, is negative", what, limit)
	case limit == 0:
		c.warnf(o, "there is no limit on the %s: hosts use their own", what)
	}
}
