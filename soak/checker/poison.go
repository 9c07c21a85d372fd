package checker

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Limits of BUDGET and LOST.
const (
	// poisonCrashes is the number of endpoints that a request may crash, and poisonPartCrashes the number that a part of a prompt may.
	// After KnowledgeLimit, allowedPoisonRetries further copies or requests with the part may be executed.
	poisonCrashes        = 3
	poisonPartCrashes    = 5
	KnowledgeLimit       = 3 * time.Second
	allowedPoisonRetries = 3
	// minSound is the least number of requests beside a part that crashes engines on which LOST is judged.
	minSound = 20
)

// poison is a request that crashes each endpoint that executes it, or a part of prompts that does. limitAt is when it crashed the last
// endpoint that it may, and retries how often a host without faults sent it to an endpoint more than KnowledgeLimit after that.
// lastSent is when the last copy of it was sent.
type poison struct {
	isPart            bool
	crashes, retries  int
	limitAt, lastSent Time
	// sound counts the requests that share only other parts, from 2 KnowledgeLimit after limitAt, and served those that were served.
	sound, served int
}

// allowedCrashes returns how many endpoints the request or part may crash.
func (p *poison) allowedCrashes() int {
	if p.isPart {
		return poisonPartCrashes
	}
	return poisonCrashes
}

func (c *Checker) checkPoison(now Time, e ExecutionStarted, r *request) {
	p := c.poison(r.RequestSent)
	p.crashes++
	c.counts.PoisonRuns++
	switch {
	case p.crashes == p.allowedCrashes():
		p.limitAt = now
	case p.crashes > p.allowedCrashes() && r.sentAt > p.limitAt+KnowledgeLimit && c.hostStable(now, r.Host):
		c.counts.PoisonRetries++
		if p.retries++; p.retries > allowedPoisonRetries {
			c.addViolation(now, "BUDGET", "%s is executed at %s, the %d. endpoint that it crashes, through host %d", r.Request, e.Endpoint, p.crashes, r.Host)
		}
	}
}

// poison returns the state of the request or part that crashes endpoints.
func (c *Checker) poison(e RequestSent) *poison {
	p := c.poisons[e.Poison]
	if p == nil {
		p = &poison{isPart: e.PoisonPart}
		c.poisons[e.Poison] = p
	}
	return p
}

// countSound counts a completed request for LOST, beside each part that should be blocked by the time it was sent. Requests that a
// fault can have disturbed are left out.
func (c *Checker) countSound(now Time, e RequestCompleted, r *request) {
	if !r.SharesPart || !slices.Contains(c.validKeys, r.Key) || !c.hostStable(now, r.Host) || c.anyEndpointFault() {
		return
	}
	for _, p := range c.poisons {
		if !p.isPart || p.crashes < p.allowedCrashes() || r.sentAt < p.limitAt+2*KnowledgeLimit || now-p.lastSent > KnowledgeLimit {
			continue
		}
		c.counts.SoundBeside++
		p.sound++
		if e.Status == http.StatusOK {
			p.served++
		}
	}
}

func (c *Checker) anyEndpointFault() bool {
	for _, state := range c.endpoints {
		if state.active > 0 {
			return true
		}
	}
	return false
}

// lostViolations returns the violations of LOST so far, in order of the parts' names.
func (c *Checker) lostViolations() []Violation {
	var lost []Violation
	for _, name := range slices.Sorted(maps.Keys(c.poisons)) {
		p := c.poisons[name]
		if p.sound >= minSound && 2*p.served < p.sound {
			lost = append(lost, Violation{p.lastSent, "LOST", fmt.Sprintf("beside part %s only %d of %d sound requests were served", name, p.served, p.sound)})
		}
	}
	return lost
}
