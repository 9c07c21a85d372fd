package pool

import (
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/forecast"
)

const (
	// maxWorkWeight and minWorkWeight bound the weight of a request, the ratio of its expected length to the mean.
	minWorkWeight = 0.05
	maxWorkWeight = 4.0
	// maxReadBacklog bounds how long an engine is assumed to read what was given to it.
	maxReadBacklog = 2 * time.Second
)

// work is what a request was expected to cost when it got its slot.
type work struct {
	request forecast.Request
	// weight is the ratio of the answer's expected length to the mean.
	weight float64
	// readTokens is how many tokens of the prompt the engine has to read, after a wait of waitMs, at its pace.
	readTokens       int
	waitMs, slowdown float64
	// readBefore is how many tokens the engine had been given to read, this request's included.
	readBefore int
}

// engineWork is what an engine still has to do, by the requests that it runs.
type engineWork struct {
	// readUntil is when the prompts given to the engine are expected to be read, and given is how many tokens it was given to read.
	readUntil time.Time
	given     int
	// weight adds up the weights of the running requests.
	running int
	weight  float64
	// endedAt is when a request ended last.
	endedAt time.Time
	// awaiting counts the requests that wait for the engine's next slots in a pass over the queue, which drain numbers.
	awaiting, drain int
}

// begin adds a request, which the engine takes readMs to read.
func (w *engineWork) begin(now time.Time, added work, readMs float64) {
	w.running++
	w.weight += added.weight
	w.given += added.readTokens
	if w.readUntil.Before(now) {
		w.readUntil = now
	}
	w.readUntil = w.readUntil.Add(time.Duration(readMs * float64(time.Millisecond)))
	if latest := now.Add(maxReadBacklog); w.readUntil.After(latest) {
		w.readUntil = latest
	}
}

// end removes a request. An engine that runs nothing has nothing left to read.
func (w *engineWork) end(now time.Time, removed work) {
	w.running--
	w.weight -= removed.weight
	w.endedAt = now
	if w.running <= 0 {
		w.weight, w.readUntil = 0, now
	}
}

// readMs returns for how long the engine is still expected to read, in milliseconds.
func (w *engineWork) readMs(now time.Time) float64 { return max(milliseconds(w.readUntil.Sub(now)), 0) }

// forecastRequest returns what a request's length is expected by.
func forecastRequest(e SlotRequested) forecast.Request {
	return forecast.Request{
		Kind:       forecast.Kind{Route: e.Route, Workspace: e.Workspace, Model: e.Prompt.Model},
		HintTokens: e.LengthHint, MaxTokens: e.Prompt.MaxOutputTokens,
	}
}

// expect returns the work of a request, apart from what depends on the engine.
func (s *service) expect(e SlotRequested) work {
	if s.engine == nil {
		return work{weight: 1}
	}
	r := forecastRequest(e)
	events := s.lengths.Expect(r).Mean()
	return work{request: r, readTokens: unsharedTokens(e.Prompt), weight: min(max(events/s.lengths.MeanEvents(), minWorkWeight), maxWorkWeight)}
}

// expectAt returns the work of a request at the engine that was chosen for it, and the time to read its prompt there in milliseconds.
func (s *service) expectAt(now time.Time, e SlotRequested, c choice) (w work, readMs float64) {
	w = s.expect(e)
	if s.engine == nil {
		return w, 0
	}
	missing := c.missingTokens
	if c.source != nil {
		missing = c.sourceMissingTokens
	}
	w.readTokens += missing
	w.readBefore = c.target.work.given + w.readTokens
	w.waitMs, w.slowdown = c.target.work.readMs(now), c.target.slowdown.factor(now)
	return w, float64(w.readTokens) / s.speeds.tokensPerMs * w.slowdown
}

// unsharedTokens returns the length of the part of a prompt that no other prompt shares.
func unsharedTokens(p chat.Prompt) int {
	if len(p.Parts) == 0 {
		return 0
	}
	return p.Parts[len(p.Parts)-1].Tokens
}
