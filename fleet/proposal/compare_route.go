package proposal

import (
	"fmt"
	"strings"

	"balsamknot.org/fleet/site"
)

func routesByName(s *site.Set) map[site.RouteName]site.Route {
	routes := make(map[site.RouteName]site.Route, len(s.Routes))
	for _, r := range s.Routes {
		routes[r.Name] = r
	}
	return routes
}

func (d *differences) compareRoutes() {
	before, after := routesByName(d.from), routesByName(d.to)
	for _, r := range d.to.Routes {
		if old, known := before[r.Name]; known {
			d.add(routeObject(r.Name), compareRoute(old, r))
			continue
		}
		d.add(routeObject(r.Name), changes{
			fmt.Sprintf("new: %s%s leads to %s", r.Host, r.Prefix, backendsOf(r)), "until now such requests " + fateOf(d.from, r),
		})
	}
	for _, r := range d.from.Routes {
		if _, kept := after[r.Name]; !kept {
			d.add(routeObject(r.Name), changes{fmt.Sprintf("removed: requests for %s%s %s", r.Host, r.Prefix, fateOf(d.to, r))})
		}
	}
}

// fateOf says what becomes of requests for a route's host and prefix in a set that does not have the route.
func fateOf(s *site.Set, r site.Route) string {
	match, matches := s.Match(r.Host, r.Prefix)
	if !matches {
		return "are refused: no route matches them"
	}
	return "are taken by route " + string(match.Name)
}

func compareRoute(from, to site.Route) changes {
	var c changes
	note(&c, "matches", from.Host+from.Prefix, to.Host+to.Prefix)
	note(&c, "leads to", backendsOf(from), backendsOf(to))
	note(&c, "answers", answersOf(from), answersOf(to))
	note(&c, "requests may run", runsOf(from), runsOf(to))
	note(&c, "endpoints a request", from.MaxEndpoints, to.MaxEndpoints)
	noteTime(&c, "time limit", from.Timeout, to.Timeout)
	noteTime(&c, "objective", from.Objective, to.Objective)
	noteTime(&c, "objective for gaps between events", from.MaxEventGap, to.MaxEventGap)
	note(&c, "priority", from.Priority, to.Priority)
	note(&c, "callers need a key", yesOrNo(!from.Public), yesOrNo(!to.Public))
	note(&c, "requests carry the parts of their prompts", yesOrNo(from.PrefixAffinity), yesOrNo(to.PrefixAffinity))
	note(&c, "regions in which requests run", regionsOf(from.Homes), regionsOf(to.Homes))
	return c
}

// backendsOf names the services of a route, with the share of each in percent if there are several.
func backendsOf(r site.Route) string {
	if len(r.Backends) == 1 {
		return string(r.Backends[0].Service)
	}
	total := 0
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
	}
	var names []string
	for _, b := range r.Backends {
		share := 0.0
		if total > 0 {
			share = 100 * float64(max(b.Weight, 0)) / float64(total)
		}
		names = append(names, fmt.Sprintf("%s (%.3g%%)", b.Service, share))
	}
	return strings.Join(names, ", ")
}

func answersOf(r site.Route) string {
	if r.Streaming {
		return "streams"
	}
	return "whole answers"
}

func runsOf(r site.Route) string {
	switch r.RetryMode {
	case site.Idempotent:
		return "more than once"
	case site.Resumable:
		return "on at another endpoint"
	case site.NonIdempotent:
	}
	return "once"
}
