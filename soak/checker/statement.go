package checker

import "time"

const (
	// restGrace is how long after it asked a host for rest an endpoint may get requests that were on their way, and allowedInRest how many
	// it may get from that host in the rest of the time.
	restGrace     = 500 * time.Millisecond
	allowedInRest = 2
	// allowedFalls, and fallShare of the endpoints of a service, is how often they may fall in one time in which they are brittle.
	allowedFalls = 2
	fallShare    = 0.1
)

// link is a host and an endpoint to which it sends requests.
type link struct {
	host     int
	endpoint string
}

// rest is the time for which an endpoint asked a host to send it no requests, and the number that came all the same.
type rest struct {
	askedAt, until Time
	late           int
}

// brittleTime is a time in which the endpoints of a service are brittle.
type brittleTime struct{ endpoints, falls int }

// statements is the state of what endpoints say of themselves.
type statements struct {
	rests   map[link]*rest
	leaving map[link]Time
	brittle map[string]*brittleTime
}

func newStatements() statements {
	return statements{rests: make(map[link]*rest), leaving: make(map[link]Time), brittle: make(map[string]*brittleTime)}
}

// recordStatement records what an endpoint says and what follows from it.
func (c *Checker) recordStatement(now Time, event Event) {
	s := &c.statements
	switch e := event.(type) {
	case RestAsked:
		if r := c.requests[e.Request]; r != nil {
			l := link{r.Host, e.Endpoint}
			if known := s.rests[l]; known == nil || now >= known.until {
				s.rests[l] = &rest{askedAt: now, until: now + e.For}
			}
		}
	case LeavingStated:
		if r := c.requests[e.Request]; r != nil {
			if l := (link{r.Host, e.Endpoint}); s.leaving[l] == 0 {
				s.leaving[l] = now
			}
		}
	case LeavingEnded:
		for l := range s.leaving {
			if l.endpoint == e.Endpoint {
				delete(s.leaving, l)
			}
		}
	case BrittleStarted:
		s.brittle[e.Service] = &brittleTime{endpoints: e.Endpoints}
	case EndpointFell:
		c.endpointFell(now, e)
	}
}

func (c *Checker) endpointFell(now Time, e EndpointFell) {
	b := c.statements.brittle[e.Service]
	if b == nil || !c.hostStable(now, AllHosts) || !c.allHostsStable(now) {
		return
	}
	if b.falls++; float64(b.falls) > allowedFalls+fallShare*float64(b.endpoints) {
		c.addViolation(now, "LIMIT", "%d brittle endpoints of %s fell %d times", b.endpoints, e.Service, b.falls)
	}
}

// allHostsStable reports whether time limits apply to every host.
func (c *Checker) allHostsStable(now Time) bool {
	for host := range c.hosts {
		if !c.hostStable(now, host) {
			return false
		}
	}
	return true
}

// checkRest checks a request that reaches an endpoint against the rest that the endpoint asked its host for, and against its leaving.
func (c *Checker) checkRest(now Time, e RequestArrived, r *request) {
	l := link{r.Host, e.Endpoint}
	if !c.hostStable(now, r.Host) || !faultFree(c.endpoints, e.Endpoint, now, stabilityWindow) {
		return
	}
	if rest := c.statements.rests[l]; rest != nil && now > rest.askedAt+restGrace && now < rest.until {
		c.counts.Rested++
		if rest.late++; rest.late == allowedInRest+1 {
			c.addViolation(now, "BUDGET", "endpoint %s asked host %d for rest at %.3f s until %.3f s, and got %d requests of it", e.Endpoint, r.Host,
				rest.askedAt.Seconds(), rest.until.Seconds(), rest.late)
		}
	}
	if told, ok := c.statements.leaving[l]; ok && r.sentAt > told+drainLimit {
		c.addViolation(now, "DRAIN", "endpoint %s told host %d at %.3f s that it leaves, and gets request %s, sent at %.3f s", e.Endpoint, r.Host,
			told.Seconds(), r.Request, r.sentAt.Seconds())
	}
}
