package checker

import (
	"fmt"
	"net/http"
	"slices"
)

const (
	// allowedMixed is the number of streams of a run that may hold events of two versions.
	allowedMixed = 2
	// minTakenUp is the least number of streams that are taken up on which LOST is judged.
	minTakenUp = 12
)

// countStream counts a completed request for a stream, for ORDER and LOST.
func (c *Checker) countStream(now Time, e RequestCompleted, r *request) {
	if e.Mixed {
		c.mixedStreams = append(c.mixedStreams, Violation{now, "ORDER", fmt.Sprintf(
			"request %s through host %d, which takes up %q: events of another version than the one that began the stream", r.Request, r.Host, r.TakesUp)})
	}
	if r.Kind != Resumable || r.Poison != "" || !slices.Contains(c.validKeys, r.Key) || !c.hostStable(now, r.Host) || c.anyEndpointFault() {
		return
	}
	served := 0
	if e.Status == http.StatusOK {
		served = 1
	}
	if r.TakesUp == "" {
		c.counts.Begun++
		c.counts.Streamed += served
		return
	}
	c.counts.TakenUp++
	c.counts.WentOn += served
}

// lostStreams returns a violation of LOST if too few of the streams that were taken up went on.
func (c *Checker) lostStreams() []Violation {
	n := c.counts
	if n.TakenUp < minTakenUp || n.Begun == 0 || 2*n.WentOn*n.Begun >= n.Streamed*n.TakenUp {
		return nil
	}
	return []Violation{{0, "LOST", fmt.Sprintf("%d of %d streams that were taken up went on, while %d of %d new ones were served", n.WentOn, n.TakenUp, n.Streamed, n.Begun)}}
}
