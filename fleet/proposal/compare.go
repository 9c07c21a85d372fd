package proposal

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"balsamknot.org/fleet/site"
)

// Difference says what publishing a set changes about one object, in words for operators. It contains no keys.
type Difference struct {
	Object  Object
	Changes []string
}

// Compare returns what changes when next takes the place of inForce: limits, routes in the order of the sets, services and workspaces by name. Both
// must be indexed.
func Compare(inForce, next *site.Set) []Difference {
	d := &differences{from: inForce, to: next}
	d.compareLimits()
	d.compareRoutes()
	d.compareServices()
	d.compareWorkspaces()
	return d.list
}

// differences collects the differences of two sets.
type differences struct {
	from, to *site.Set
	list     []Difference
}

func (d *differences) add(o Object, changes []string) {
	if len(changes) > 0 {
		d.list = append(d.list, Difference{Object: o, Changes: changes})
	}
}

// changes collects what changes about one object.
type changes []string

// note adds a value that changes.
func note[T comparable](c *changes, what string, from, to T) {
	if from != to {
		*c = append(*c, fmt.Sprintf("%s: %v → %v", what, from, to))
	}
}

// noteTime adds a time that changes, where 0 stands for none.
func noteTime(c *changes, what string, from, to time.Duration) {
	note(c, what, timeOrNone(from), timeOrNone(to))
}

func timeOrNone(t time.Duration) string {
	if t == 0 {
		return "none"
	}
	return t.String()
}

func (d *differences) compareLimits() {
	var c changes
	from, to := d.from.Limits, d.to.Limits
	note(&c, "header size in bytes", from.HeaderBytes, to.HeaderBytes)
	note(&c, "body size in bytes", from.BodyBytes, to.BodyBytes)
	noteTime(&c, "time to send headers", from.HeaderTimeout, to.HeaderTimeout)
	noteTime(&c, "idle time", from.IdleTimeout, to.IdleTimeout)
	d.add(Object{Kind: KindLimits}, c)
}

// compareServices compares what the sets say of services; the routes to them are compared apart.
func (d *differences) compareServices() {
	for _, name := range namesOf(d.from.Services, d.to.Services) {
		from, before := d.from.Services[name]
		to, after := d.to.Services[name]
		switch {
		case !before:
			d.add(serviceObject(name), changes{"new"})
		case !after:
			d.add(serviceObject(name), changes{"removed: its endpoints get no requests"})
		default:
			d.add(serviceObject(name), compareService(from, to))
		}
	}
}

func compareService(from, to site.Service) changes {
	var c changes
	note(&c, "path of the health check", from.HealthPath, to.HealthPath)
	note(&c, "connections an endpoint", from.MaxConnections, to.MaxConnections)
	noteTime(&c, "endpoints are cold for", from.ColdTime, to.ColdTime)
	note(&c, "requests a second of a cold endpoint", from.ColdRate, to.ColdRate)
	note(&c, "has engines", yesOrNo(from.Engine != nil), yesOrNo(to.Engine != nil))
	if from.Engine == nil || to.Engine == nil {
		return c
	}
	note(&c, "slots an engine", from.Engine.Slots, to.Engine.Slots)
	note(&c, "cache of an engine in tokens", from.Engine.CacheTokens, to.Engine.CacheTokens)
	note(&c, "engines fetch parts of prompts from each other", yesOrNo(from.Engine.CacheTransfer), yesOrNo(to.Engine.CacheTransfer))
	note(&c, "subscribers an engine", from.Engine.MaxEventSubscribers, to.Engine.MaxEventSubscribers)
	return c
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// namesOf returns the names of both maps in order.
func namesOf[K ~string, V any](from, to map[K]V) []K {
	names := slices.AppendSeq(slices.Collect(maps.Keys(from)), maps.Keys(to))
	slices.Sort(names)
	return slices.Compact(names)
}

// compareWorkspaces compares workspaces and counts their keys, which it does not name.
func (d *differences) compareWorkspaces() {
	for _, name := range namesOf(d.from.Workspaces, d.to.Workspaces) {
		from, before := d.from.Workspaces[name]
		to, after := d.to.Workspaces[name]
		var c changes
		switch {
		case !before:
			c = append(c, "new")
		case !after:
			c = append(c, "removed")
		}
		note(&c, "priority", priorityOf(from), priorityOf(to))
		note(&c, "regions in which requests run", regionsOf(from.Homes), regionsOf(to.Homes))
		d.add(workspaceObject(name), append(c, d.compareKeys(name)...))
	}
}

func priorityOf(w site.Workspace) string {
	if !w.HasPriority {
		return "that of the route"
	}
	return strconv.Itoa(w.Priority)
}

// compareKeys returns how the keys of a workspace change.
func (d *differences) compareKeys(name site.WorkspaceName) changes {
	kept, withdrawn, added := 0, 0, 0
	moved := make(map[site.WorkspaceName]int)
	for key, owner := range d.from.Keys {
		if owner != name {
			continue
		}
		switch next, valid := d.to.Keys[key]; {
		case !valid:
			withdrawn++
		case next != name:
			moved[next]++
		default:
			kept++
		}
	}
	for key, owner := range d.to.Keys {
		if _, known := d.from.Keys[key]; owner == name && !known {
			added++
		}
	}
	var c changes
	if withdrawn > 0 {
		c = append(c, fmt.Sprintf("keys withdrawn: %d of %d", withdrawn, withdrawn+kept))
	}
	for _, next := range slices.Sorted(maps.Keys(moved)) {
		c = append(c, fmt.Sprintf("keys that become those of workspace %s: %d", next, moved[next]))
	}
	if added > 0 {
		c = append(c, fmt.Sprintf("new keys: %d", added))
	}
	return c
}
