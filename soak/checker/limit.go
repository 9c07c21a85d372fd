package checker

import "time"

// Limits of LIMIT.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitState is the state of an endpoint that states a limit. statedAt is when it first stated it; 0 before.
type limitState struct {
	perSecond float64
	statedAt  Time
	// arrivals holds when requests reached it through hosts without faults, within the last limitWindow.
	arrivals []Time
	// exceeded is true once the violation was recorded.
	exceeded bool
}

// limitChanged starts a new state for each limit: what was allowed before does not count against it.
func (c *Checker) limitChanged(e LimitChanged) {
	delete(c.limits, e.Endpoint)
	if e.Limited {
		c.limits[e.Endpoint] = &limitState{perSecond: e.PerSecond}
	}
}

// forgetLimit makes an endpoint count as one that has not stated its limit: it may have restarted, which ends what hosts know of it.
func (c *Checker) forgetLimit(endpoint string) {
	if l := c.limits[endpoint]; l != nil {
		c.limits[endpoint] = &limitState{perSecond: l.perSecond}
	}
}

func (c *Checker) limitStated(now Time, e LimitStated) {
	if l := c.limits[e.Endpoint]; l != nil && l.statedAt == 0 {
		l.statedAt = now
	}
}

func (c *Checker) requestArrived(now Time, e RequestArrived) {
	c.checkCold(now, e)
	l, r := c.limits[e.Endpoint], c.requests[e.Request]
	if r != nil {
		c.checkRest(now, e, r)
	}
	if l == nil || r == nil || l.statedAt == 0 || now < l.statedAt+KnowledgeLimit || !c.hostStable(now, r.Host) || !faultFree(c.endpoints, e.Endpoint, now, 0) {
		return
	}
	c.counts.Limited++
	l.arrivals = append(l.arrivals, now)
	for now-l.arrivals[0] > limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	if allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack; float64(len(l.arrivals)) > allowed && !l.exceeded {
		l.exceeded = true
		c.addViolation(now, "LIMIT", "%d requests reached endpoint %s in %s, which states a limit of %.2f a second; allowed %.0f",
			len(l.arrivals), e.Endpoint, limitWindow, l.perSecond, allowed)
	}
}
