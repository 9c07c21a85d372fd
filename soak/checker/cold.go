package checker

import "time"

// Limits of COLD. ColdFactor and ColdSlack are those of the hosts' settings.
const (
	ColdFactor = 1.5
	ColdSlack  = 5
	coldWindow = time.Second
)

// ColdBound returns how many requests may reach an endpoint within a second that takes perSecond while it is cold.
func ColdBound(perSecond float64) int { return int(perSecond*ColdFactor + ColdSlack) }

// coldState is the state of an endpoint that is cold until a time.
type coldState struct {
	until Time
	bound int
	// arrivals holds when requests reached it while it was cold, within the last coldWindow.
	arrivals []Time
	// exceeded is true once the violation was recorded.
	exceeded bool
}

// coldStarted begins a cold time, or makes the present one longer.
func (c *Checker) coldStarted(now Time, e ColdStarted) {
	s := c.cold[e.Endpoint]
	if s == nil || now >= s.until {
		s = &coldState{}
		c.cold[e.Endpoint] = s
	}
	s.until, s.bound = max(s.until, now+e.For), ColdBound(e.PerSecond)
}

// checkCold checks a request that reaches an endpoint against the bound on cold ones. It holds for all hosts, also for those that have faults. What
// a link delivers that was disturbed, or the soak's own process after a stall, may not have been sent within a second.
func (c *Checker) checkCold(now Time, e RequestArrived) {
	s := c.cold[e.Endpoint]
	if s == nil || now >= s.until {
		return
	}
	if now-c.lastStall < coldWindow || !faultFree(c.endpointLinks, e.Endpoint, now, coldWindow) {
		s.arrivals = nil
		return
	}
	c.counts.Cold++
	s.arrivals = append(s.arrivals, now)
	for now-s.arrivals[0] > coldWindow {
		s.arrivals = s.arrivals[1:]
	}
	c.counts.MostCold = max(c.counts.MostCold, len(s.arrivals))
	if len(s.arrivals) > s.bound && !s.exceeded {
		s.exceeded = true
		c.addViolation(now, "COLD", "%d requests reached endpoint %s within %s, which is cold until %.3f s; allowed %d",
			len(s.arrivals), e.Endpoint, coldWindow, s.until.Seconds(), s.bound)
	}
}
