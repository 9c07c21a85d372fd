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
	// rampTime is how long after the end of a pace an endpoint's requests are still paced. The rate starts at the pace's own, or at rampStart
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

// pace is a reason to pace the requests to an endpoint: a limit that it states, or that it is cold.
type pace struct {
	perSecond float64
	// endsAt is when the pace ends or has ended; zero while that is not known.
	endsAt time.Time
}

func (p pace) inForce(now time.Time) bool { return p.endsAt.IsZero() || now.Before(p.endsAt) }

// over reports whether the requests need no pace any more.
func (p pace) over(now time.Time) bool { return !p.inForce(now) && now.Sub(p.endsAt) >= rampTime }

// rate returns the allowed requests a second.
func (p pace) rate(now time.Time) float64 {
	if p.inForce(now) {
		return max(p.perSecond, minLimit)
	}
	doublings := now.Sub(p.endsAt).Seconds() / rampDoubling.Seconds()
	return max(p.perSecond, rampStart) * math.Exp2(doublings)
}

// limiter paces the requests to an endpoint that states a limit or is cold, and for rampTime after both ended. It is a token bucket that fills
// at the lower of the two rates, and is empty at first.
type limiter struct {
	// stated is the limit that the endpoint's answers state, and cold the rate at which it takes requests while it is cold; nil for none.
	stated, cold *pace
	// observedAt is when the newest statement was received.
	observedAt time.Time
	// tokens is the number of requests that may be granted at updatedAt. It is negative after grants of other keepers.
	tokens    float64
	updatedAt time.Time
	// turns are those of this host while it decides alone.
	turns turns
}

func newLimiter(now time.Time, id endpoint.ID) *limiter {
	return &limiter{updatedAt: now, turns: newTurns(id)}
}

// isCold reports whether the endpoint is cold. It accepts a nil limiter.
func (l *limiter) isCold(now time.Time) bool { return l != nil && l.cold != nil && l.cold.inForce(now) }

// observe applies what an answer states.
func (l *limiter) observe(now time.Time, e LimitReported) {
	if l.stated == nil && e.Limit.State == endpoint.Unlimited {
		return
	}
	l.observedAt = e.ObservedAt
	if l.stated == nil {
		l.stated = &pace{perSecond: unreadableLimit}
	}
	switch e.Limit.State {
	case endpoint.Unlimited:
		if l.stated.endsAt.IsZero() {
			l.stated.endsAt = now
		}
	case endpoint.Limited:
		*l.stated = pace{perSecond: e.Limit.PerSecond}
	case endpoint.LimitUnreadable:
		l.stated.endsAt = time.Time{}
	}
}

// limited reports whether the endpoint states a limit, or did so less than rampTime ago. It accepts a nil limiter.
func (l *limiter) limited() bool { return l != nil && l.stated != nil }

// dropEnded removes the paces that are over and reports whether none is left.
func (l *limiter) dropEnded(now time.Time) bool {
	for _, p := range []**pace{&l.stated, &l.cold} {
		if *p != nil && (*p).over(now) {
			*p = nil
		}
	}
	return l.stated == nil && l.cold == nil
}

// avoided reports whether requests that can go elsewhere should. It accepts a nil limiter, of an endpoint without a limit.
func (l *limiter) avoided(now time.Time) bool {
	return l.limited() && l.stated.inForce(now) && now.Sub(l.observedAt) < limitTrialInterval
}

// idle reports whether the endpoint has little to do only because its requests are paced. It accepts a nil limiter.
func (l *limiter) idle(now time.Time) bool { return l != nil && l.cold != nil || l.avoided(now) }

// rate returns the allowed requests a second.
func (l *limiter) rate(now time.Time) float64 {
	rate := math.MaxFloat64
	for _, p := range []*pace{l.stated, l.cold} {
		if p != nil {
			rate = min(rate, p.rate(now))
		}
	}
	return rate
}

// refill adds the tokens of the time since the last refill, at the rate of its beginning. share is FleetCounted.ReachableShare.
func (l *limiter) refill(now time.Time, share float64) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.tokens += elapsed.Seconds() * l.rate(l.updatedAt) * share
		l.updatedAt = now
	}
	l.tokens = min(l.tokens, max(1, l.rate(now)*share*limitBurst.Seconds()))
}

// turn returns the turn of a host that decides alone.
func (l *limiter) turn(now time.Time, e SlotRequested) turn {
	return l.turns.at(now, e, l.rate(now), openTurns)
}

// allows reports whether the request may get a slot now.
func (l *limiter) allows(now time.Time, e SlotRequested, reachableShare float64) bool {
	if e.BudgetShare > 0 {
		return l.turns.free(l.turn(now, e))
	}
	l.refill(now, reachableShare)
	return l.tokens >= 1
}

// take counts a slot that was granted to the request.
func (l *limiter) take(now time.Time, e SlotRequested, reachableShare float64) {
	if e.BudgetShare > 0 {
		l.turns.last = l.turn(now, e).number
		return
	}
	l.refill(now, reachableShare)
	l.tokens--
}

// state returns the limit as it is told to other hosts.
func (l *limiter) state() endpoint.Limit {
	if l.stated == nil || !l.stated.endsAt.IsZero() {
		return endpoint.Limit{}
	}
	return endpoint.Limit{State: endpoint.Limited, PerSecond: l.stated.perSecond}
}

// turns divides the time of a host that decides alone into turns, in each of which it may send one request to an endpoint. It may do so in a part
// of each turn only, so that few hosts of a large fleet do at the same moment.
type turns struct {
	// endpoint is the hash of the endpoint's ID, so that a host's turns at the endpoints begin one after another.
	endpoint uint64
	// last is the turn in which the host sent the endpoint a request.
	last int64
}

func newTurns(id endpoint.ID) turns { return turns{endpoint: xxhash.Sum64String(string(id)), last: -1} }

// turn is one of the turns, and whether the host may send a request now.
type turn struct {
	number int64
	open   bool
}

// at returns the turn at a time, for a host that gets its share of the requests a second that the endpoint takes. open is how many hosts have a turn
// open at a moment, on average.
func (t turns) at(now time.Time, e SlotRequested, perSecond, open float64) turn {
	length := 1 / (perSecond * e.BudgetShare * aloneFraction)
	position := float64(now.UnixNano())/float64(time.Second)/length + t.phase(e.Ticket.Host)
	number := math.Floor(position)
	return turn{number: int64(number), open: position-number < min(1, open*e.BudgetShare)}
}

// phase returns how far the host's turns at the endpoint are shifted, from 0 to 1.
func (t turns) phase(self host.ID) float64 {
	return float64(mix64(xxhash.Sum64String(string(self))^t.endpoint)) / (1 << 64)
}

// free reports whether the host may send a request in the turn.
func (t turns) free(now turn) bool { return now.open && now.number != t.last }
