package admission

import (
	"math"
	"time"
)

const (
	// demandTime is the time over which the rate of requests is averaged, and shareTime that over which the served ones of a class are
	// compared with those of others.
	demandTime = 500 * time.Millisecond
	shareTime  = 3 * time.Second
	// releaseTime is the time over which the rate of released slots is averaged, and priorTime the weight of the expected rate.
	releaseTime = 500 * time.Millisecond
	priorTime   = 125 * time.Millisecond
	// meanWeight is the weight of the newest value in a mean.
	meanWeight = 0.02
)

// counter is an exponentially decaying count of events.
type counter struct {
	n         float64
	updatedAt time.Time
}

// at returns the count at now if it decays to 1/e in time decay.
func (c *counter) at(now time.Time, decay time.Duration) float64 {
	if elapsed := now.Sub(c.updatedAt); elapsed > 0 {
		c.n *= math.Exp(-elapsed.Seconds() / decay.Seconds())
		c.updatedAt = now
	}
	return c.n
}

func (c *counter) add(now time.Time, decay time.Duration) { c.addN(now, decay, 1) }

func (c *counter) addN(now time.Time, decay time.Duration, n float64) { c.n = c.at(now, decay) + n }

// shares counts requests, those of them that got a slot, and those that got it at their first attempt.
type shares struct{ asked, served, servedFirst counter }

// servedShare returns the share of the requests that got a slot.
func (s *shares) servedShare(now time.Time) float64 { return s.share(now, &s.served) }

// servedFirstShare returns the share of the requests that got a slot at their first attempt.
func (s *shares) servedFirstShare(now time.Time) float64 { return s.share(now, &s.servedFirst) }

func (s *shares) share(now time.Time, c *counter) float64 {
	asked := s.asked.at(now, shareTime)
	if asked == 0 {
		return 1
	}
	return min(c.at(now, shareTime)/asked, 1)
}

// mean is the moving average of a time; while there are few values, all have the same weight.
type mean struct {
	value time.Duration
	n     int
}

func (m *mean) add(d time.Duration) {
	m.n++
	m.value += time.Duration(max(meanWeight, 1/float64(m.n)) * float64(d-m.value))
}

// releaseMeter measures how often held slots are released.
type releaseMeter struct {
	held     int
	released counter
	// slotSeconds is the decaying sum of the time for which slots were held.
	slotSeconds float64
	updatedAt   time.Time
}

func (m *releaseMeter) advance(now time.Time) {
	elapsed := now.Sub(m.updatedAt)
	if elapsed <= 0 {
		return
	}
	kept := math.Exp(-elapsed.Seconds() / releaseTime.Seconds())
	m.slotSeconds = kept*m.slotSeconds + (1-kept)*releaseTime.Seconds()*float64(m.held)
	m.updatedAt = now
}

func (m *releaseMeter) hold(now time.Time) {
	m.advance(now)
	m.held++
}

func (m *releaseMeter) release(now time.Time) {
	m.advance(now)
	m.held = max(m.held-1, 0)
	m.released.add(now, releaseTime)
}

// rate returns how many of the slots that are held now are released a second. An expected rate counts as long as few slots were held.
func (m *releaseMeter) rate(now time.Time, expected float64) float64 {
	if m.held == 0 {
		return expected
	}
	m.advance(now)
	prior := priorTime.Seconds()
	return (m.released.at(now, releaseTime) + expected*prior) / (m.slotSeconds/float64(m.held) + prior)
}
