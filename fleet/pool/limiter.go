package pool

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
)

const (
	// minLimit, in requests a second, is the least that an endpoint with a limit gets, a limit of 0 included: only an answer shows that
	// the limit has ended.
	minLimit = 0.25
	// limitBurst is how much of a limit may be saved up for requests that come together.
	limitBurst = 500 * time.Millisecond
	// rampTime is how long after the end of a limit an endpoint's requests are still paced. The pace starts at the limit, or at rampStart
	// requests a second if that is more, and doubles every rampDoubling.
	rampTime     = 6 * time.Second
	rampDoubling = time.Second
	rampStart    = 1.0
	// aloneFraction is the part of a host's share of a limit that it uses while it decides alone, since it does not know what the keeper
	// grants meanwhile. openTurns is how many of the hosts that decide alone have a turn open at the same moment, on average.
	aloneFraction = 0.5
	openTurns     = 1.0
	// limitTrialInterval is the time without an answer after which an endpoint with a limit is no longer avoided, so that an answer
	// shows whether the limit holds.
	limitTrialInterval = 2 * time.Second
)

// limiter paces the requests to an endpoint that states a limit, and for rampTime after the limit ended. It is a token bucket.
type limiter struct {
	perSecond  float64
	observedAt time.Time
	// endedAt is when the first answer without the limit was reported; zero while the limit is in force.
	endedAt time.Time
	// tokens is the number of requests that may be granted at updatedAt. It is negative after grants of other keepers.
	tokens    float64
	updatedAt time.Time
	// unshared counts the grants of this keeper that it has not told the others.
	unshared int
	sharedAt time.Time
	// shareTurn is the last turn in which this host granted a slot while it decided alone; see turn.
	shareTurn int64
}

// ended reports whether the requests need no pace any more.
func (l *limiter) ended(now time.Time) bool {
	return !l.endedAt.IsZero() && now.Sub(l.endedAt) >= rampTime
}

// avoided reports whether requests that can go elsewhere should. It accepts a nil limiter, of an endpoint without a limit.
func (l *limiter) avoided(now time.Time) bool {
	return l != nil && l.endedAt.IsZero() && now.Sub(l.observedAt) < limitTrialInterval
}

// rate returns the allowed requests a second.
func (l *limiter) rate(now time.Time) float64 {
	if l.endedAt.IsZero() {
		return max(l.perSecond, minLimit)
	}
	doublings := max(now.Sub(l.endedAt), 0).Seconds() / rampDoubling.Seconds()
	return max(l.perSecond, rampStart) * math.Exp2(doublings)
}

// refill adds the tokens of the time since the last refill, at the rate of its beginning. share is FleetCounted.ReachableShare.
func (l *limiter) refill(now time.Time, share float64) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.tokens += elapsed.Seconds() * l.rate(l.updatedAt) * share
		l.updatedAt = now
	}
	l.tokens = min(l.tokens, max(1, l.rate(now)*share*limitBurst.Seconds()))
}

// turn returns the number of the current turn of a host that decides alone, and whether the host may grant a slot in it: it is open for a
// part of each turn, so that few hosts of a large fleet are at the same moment. share is the host's share of the limit.
func (l *limiter) turn(now time.Time, self host.ID, share float64) (number int64, open bool) {
	length := 1 / (l.rate(now) * share * aloneFraction)
	phase := float64(xxhash.Sum64String(string(self))) / (1 << 64)
	turns := float64(now.UnixNano())/float64(time.Second)/length + phase
	whole := math.Floor(turns)
	return int64(whole), turns-whole < min(1, openTurns*share)
}

// allows reports whether the request may get a slot now.
func (l *limiter) allows(now time.Time, e SlotRequested, reachableShare float64) bool {
	if e.BudgetShare > 0 {
		number, open := l.turn(now, e.Ticket.Host, e.BudgetShare)
		return open && number != l.shareTurn
	}
	l.refill(now, reachableShare)
	return l.tokens >= 1
}

// take counts a slot that was granted to the request.
func (l *limiter) take(now time.Time, e SlotRequested, reachableShare float64) {
	l.unshared++
	if e.BudgetShare > 0 {
		l.shareTurn, _ = l.turn(now, e.Ticket.Host, e.BudgetShare)
		return
	}
	l.refill(now, reachableShare)
	l.tokens--
}

// state returns the limit as it is told to other hosts.
func (l *limiter) state() endpoint.Limit {
	if !l.endedAt.IsZero() {
		return endpoint.Limit{}
	}
	return endpoint.Limit{State: endpoint.Limited, PerSecond: l.perSecond}
}
