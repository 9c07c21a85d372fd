package pool

import (
	"math"
	"time"

	"balsamknot.org/fleet/endpoint"
)

const (
	// initialEventMs is the time between two events of a stream before one was seen, in milliseconds.
	initialEventMs = 30.0
	// speedWeight is the least weight of a new observation in the mean speeds of a service.
	speedWeight = 0.02
	// maxSpeedRatio bounds how far one observation may be from a mean, and maxPace how far an engine's pace from that of the others.
	maxSpeedRatio = 8.0
	maxPace       = 6.0
	// paceLifetime is the age at which an observation of an engine's pace has lost most of its weight, and paceDoubt the weight of the
	// assumption that an engine is like the others.
	paceLifetime = 1500 * time.Millisecond
	paceDoubt    = 0.5
	// minPaceRatio is the ratio from which an engine counts as slower or faster: smaller differences follow from what it happens to run.
	minPaceRatio = 1.3
	// fullSampleEvents is the number of events whose times make one full observation, and halfSampleMs the length of an answer, in milliseconds,
	// from which it says half as much: much of it was written some time ago.
	fullSampleEvents = 4.0
	halfSampleMs     = 300.0
	// statedLifetime is the age at which a stated slowdown says half as much as at once.
	statedLifetime = 100 * time.Millisecond
	// maxStatedError is the mean error of an engine's statements, on the log scale, from which they count for nothing.
	maxStatedError = 0.7
	statedWeight   = 0.2
	// minReadSample is the least number of tokens from which a speed of reading is learned.
	minReadSample = 1024
)

// speeds are the mean speeds of a service's engines, as they are seen from outside.
type speeds struct {
	// tokensPerMs is how many prompt tokens an engine reads in a millisecond, and eventMs the time between two events of a stream.
	tokensPerMs, eventMs float64
	reads, writes        float64
	// stated is the mean of the slowdowns that engines state.
	stated float64
}

func newSpeeds() speeds {
	return speeds{tokensPerMs: prefillTokensPerMs, eventMs: initialEventMs, stated: 1}
}

// observeEvent takes in a time between two events, in milliseconds.
func (s *speeds) observeEvent(ms float64) {
	s.writes++
	s.eventMs = moved(s.eventMs, ms, s.writes)
}

// observeRead takes in a speed of reading, in tokens a millisecond.
func (s *speeds) observeRead(tokensPerMs float64) {
	s.reads++
	s.tokensPerMs = moved(s.tokensPerMs, tokensPerMs, s.reads)
}

// moved returns a mean after its n-th observation.
func moved(mean, x, n float64) float64 {
	x = min(max(x, mean/maxSpeedRatio), mean*maxSpeedRatio)
	return mean * math.Pow(x/mean, max(1/(n+1), speedWeight))
}

// slowdown is how much longer an engine takes than the mean engine of its service: a mean of what was seen of it, on the log scale, that ages back to
// that of the others.
type slowdown struct {
	weight, sum float64
	at          time.Time
	// statedError is the moving average of the error of the engine's own statements, on the log scale.
	statedError float64
}

// factor returns how many times as long as at the mean engine work takes here: 1 is usual.
func (p *slowdown) factor(now time.Time) float64 {
	if p.weight == 0 {
		return 1
	}
	kept := math.Exp(-now.Sub(p.at).Seconds() / paceLifetime.Seconds())
	factor := math.Exp(kept * p.sum / (kept*p.weight + paceDoubt))
	if factor > 1/minPaceRatio && factor < minPaceRatio {
		return 1
	}
	return factor
}

// observe takes in a ratio to the mean engine with a weight of 1 for a full observation.
func (p *slowdown) observe(now time.Time, ratio, weight float64) {
	kept := math.Exp(-now.Sub(p.at).Seconds() / paceLifetime.Seconds())
	ratio = min(max(ratio, 1/maxPace), maxPace)
	p.weight = kept*p.weight + weight
	p.sum = kept*p.sum + weight*math.Log(ratio)
	p.at = now
}

// observeStatement compares what an engine stated with the ratio that was seen of the same run, and takes it in as far as it is fresh and the
// engine's statements agree with what is seen.
func (p *slowdown) observeStatement(now time.Time, l endpoint.Load, age time.Duration, seen, mean float64) {
	stated := min(max(l.Slowdown/mean, 1/maxPace), maxPace)
	p.statedError += statedWeight * (math.Abs(math.Log(stated/seen)) - p.statedError)
	trust := max(0, 1-p.statedError/maxStatedError)
	p.observe(now, stated, trust/(1+age.Seconds()/statedLifetime.Seconds()))
}

// learn takes in what a host saw of a run at an engine.
func (s *service) learn(now time.Time, h *heldSlot, r Run, result Result) {
	if s.engine == nil || r.FirstAfter <= 0 || r.Events == 0 {
		return
	}
	if result == Completed {
		s.lengths.Observe(h.work.request, r.Events)
	}
	s.learnReading(h, r)
	if r.Events < 2 {
		return
	}
	writeMs, events := max(milliseconds(r.Lasted-r.FirstAfter), 1), float64(r.Events-1)
	othersReadMs := float64(h.endpoint.work.given-h.work.readBefore) / s.speeds.tokensPerMs
	s.speeds.observeEvent(max((writeMs-othersReadMs*h.endpoint.slowdown.factor(now))/events, minEventMs))
	seen := min(max(writeMs/(events*s.speeds.eventMs+othersReadMs), 1/maxPace), maxPace)
	h.endpoint.slowdown.observe(now, seen, min(events/fullSampleEvents, 1)/(1+writeMs/halfSampleMs))
	if r.Load.Slowdown > 0 {
		s.speeds.stated = moved(s.speeds.stated, r.Load.Slowdown, s.speeds.writes)
		h.endpoint.slowdown.observeStatement(now, r.Load, r.Lasted-r.FirstAfter, seen, s.speeds.stated)
	}
}

// minEventMs is the least time between two events, in milliseconds: events that come together say nothing of the engine's speed.
const minEventMs = 0.5

// learnReading takes in the time to the first event of a long prompt that had to be read.
func (s *service) learnReading(h *heldSlot, r Run) {
	if h.work.readTokens < minReadSample {
		return
	}
	readMs := (milliseconds(r.FirstAfter)-h.work.waitMs)/h.work.slowdown - s.speeds.eventMs
	tokens := float64(h.work.readTokens)
	s.speeds.observeRead(tokens / max(readMs, tokens/s.speeds.tokensPerMs/maxSpeedRatio))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
