package proposal

import (
	"strings"

	"balsamknot.org/fleet/site"
)

// address is what a route matches. Hosts match without regard to case.
type address struct{ host, prefix string }

func addressOf(r site.Route) address { return address{strings.ToLower(r.Host), r.Prefix} }

func (c *check) checkRoutes() {
	if len(c.set.Routes) == 0 {
		c.errorf(wholeSet, "there are no routes: all requests are refused")
	}
	names := make(map[site.RouteName]bool)
	first := make(map[address]site.RouteName)
	for _, r := range c.set.Routes {
		o := routeObject(r.Name)
		if r.Name == "" {
			c.errorf(o, "the route of %s%s has no name", r.Host, r.Prefix)
		}
		if names[r.Name] {
			c.errorf(o, "another route has the same name")
		}
		names[r.Name] = true
		if other, taken := first[addressOf(r)]; taken {
			c.errorf(o, "it never matches: route %s comes before it with the same host and prefix, %s%s", other, r.Host, r.Prefix)
		} else {
			first[addressOf(r)] = r.Name
		}
		c.checkAddress(r)
		c.checkBackends(r)
		c.checkTimes(r)
		c.checkAttempts(r)
	}
}

// checkAddress checks that there are requests that a route's host and prefix match.
func (c *check) checkAddress(r site.Route) {
	o := routeObject(r.Name)
	if r.Host == "" || strings.ContainsAny(r.Host, "/?#@ *") {
		c.errorf(o, "it never matches: %q is not the name of a host", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") || strings.ContainsAny(r.Prefix, "?#") {
		c.errorf(o, "it never matches: %q is not the beginning of a path", r.Prefix)
	}
}

func (c *check) checkBackends(r site.Route) {
	o, split := routeObject(r.Name), len(r.Backends) > 1
	seen := make(map[site.ServiceName]bool)
	total := 0
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
		if seen[b.Service] {
			c.warnf(o, "service %s is listed twice", b.Service)
		}
		seen[b.Service] = true
		switch {
		case b.Weight < 0:
			c.errorf(o, "the weight of service %s, %d, is negative", b.Service, b.Weight)
		case b.Weight == 0 && split:
			c.warnf(o, "service %s gets no requests: its weight is 0", b.Service)
		case b.Weight == 0:
			c.warnf(o, "the weight of its only service, %s, is 0, and has no effect", b.Service)
		}
		c.checkBackend(r, b)
	}
	if split && total == 0 {
		c.errorf(o, "all its services have weight 0: its requests are refused")
	}
}

// checkBackend checks the service to which a route leads.
func (c *check) checkBackend(r site.Route, b site.Backend) {
	o := routeObject(r.Name)
	service, known := c.set.Services[b.Service]
	switch {
	case !known && (b.Weight > 0 || len(r.Backends) == 1):
		c.errorf(o, "there is no service %q: requests for it are refused", b.Service)
	case !known:
		c.warnf(o, "there is no service %q", b.Service)
	case r.PrefixAffinity && service.Engine == nil:
		c.warnf(o, "its requests carry the parts of their prompts, but service %s has no engines that cache them", b.Service)
	}
}

// checkTimes checks the limits and objectives of a route against each other.
func (c *check) checkTimes(r site.Route) {
	o := routeObject(r.Name)
	switch {
	case r.Timeout < 0, r.Objective < 0, r.MaxEventGap < 0:
		c.errorf(o, "a time is negative: time limit %s, objective %s, objective for gaps %s", r.Timeout, r.Objective, r.MaxEventGap)
		return
	case r.Timeout > 0 && r.Objective > r.Timeout:
		c.warnf(o, "the objective, %s, is above the time limit, %s: no request can miss it", r.Objective, r.Timeout)
	}
	switch {
	case r.MaxEventGap > 0 && !r.Streaming:
		c.warnf(o, "the objective for gaps between events, %s, has no effect: its answers are no streams", r.MaxEventGap)
	case r.Timeout > 0 && r.MaxEventGap > r.Timeout:
		c.warnf(o, "the objective for gaps between events, %s, is above the time limit, %s: no stream can miss it", r.MaxEventGap, r.Timeout)
	}
	if r.Priority < 0 {
		c.warnf(o, "priority %d is above the highest, 0", r.Priority)
	}
}

// checkAttempts notes what further endpoints are for on a route whose requests may run only once.
func (c *check) checkAttempts(r site.Route) {
	if r.RetryMode == site.NonIdempotent && r.MaxEndpoints > 1 {
		c.add(Note, routeObject(r.Name), "its requests may run only once: of %d endpoints, the next gets one only if those before it say that they did not run it", r.MaxEndpoints)
	}
}
