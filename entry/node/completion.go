package node

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/connection"
	"balsamknot.org/fleet/answer"
	"balsamknot.org/fleet/completion"
	"balsamknot.org/fleet/timer"
)

const (
	// endSettleTime is the time in which the ends of all connections of a process that ended arrive at this host.
	endSettleTime = 20 * time.Millisecond
	// minRestartTime is the time in which a new connection must be established to show that the endpoint did not stop listening.
	minRestartTime = 100 * time.Millisecond
	// endAnswerTime is the time in which the guard of an answer is heard if its process goes on.
	endAnswerTime = 200 * time.Millisecond
	// endRetryInterval is the time between two attempts to connect to an endpoint that does not react, and endCheckTimeout that after which
	// the end of its answer stays unconfirmed.
	endRetryInterval = 100 * time.Millisecond
	endCheckTimeout  = 500 * time.Millisecond
)

// errEndNotConfirmed means that an answer whose end is not marked ended with its endpoint's process, or may have.
var errEndNotConfirmed = errors.New("the endpoint ended with the answer, or may have")

// guardEnd has the end of an answer guarded from now on, unless it will be marked.
func (q *request) guardEnd(x *connection.Exchange) {
	q.guard = nil
	if !answer.EndMarked(x.Response) {
		q.guard = x.Guard()
	}
}

// confirmEnd returns nil if an answer that was read to its end is complete: its end is marked, or its endpoint goes on.
func (n *Node) confirmEnd(q *request, x *connection.Exchange) error {
	if q.guard == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), q.deadline.Sub(timer.BootClock())+endSettleTime)
	defer cancel()
	verdict, seen := checkEnd(ctx, x, q.guard)
	if q.disconnected() {
		return q.r.Context().Err()
	}
	q.logEvent(n.log, zerolog.InfoLevel, event.EndChecked).Str("Endpoint", string(q.endpoint)).Int("Open", seen.Open).Int("Ended", seen.Ended).
		Bool("NewOpen", seen.NewOpen).Str("Guard", string(seen.Guard)).Str("Verdict", string(verdict)).Send()
	n.meter.recordUnmarkedEnd(verdict)
	q.endConfirmed = verdict == completion.Complete
	if q.endConfirmed {
		return nil
	}
	return eris.Wrapf(errEndNotConfirmed, "read the answer of endpoint %s: %s", q.address, verdict)
}

// checkEnd carries out a completion.Check. It also returns what was last observed of the endpoint's connections.
func checkEnd(ctx context.Context, x *connection.Exchange, guard *connection.Guard) (verdict completion.Verdict, seen completion.Observed) {
	check := completion.New(completion.Config{
		Settle: endSettleTime, RestartTime: minRestartTime, AnswerTime: endAnswerTime, RetryInterval: endRetryInterval, Timeout: endCheckTimeout,
	})
	guard.Ask()
	others := x.Witnesses()
	var newest *connection.Witness
	next := check.Update(timer.BootClock(), completion.Ended{})
	for {
		switch c := next.(type) {
		case completion.Connect:
			if !timer.Sleep(ctx, c.After) {
				return completion.Unconfirmed, seen
			}
			witness, err := x.Connect(ctx)
			if err == nil {
				newest = &witness
				defer witness.Release()
			}
			next = check.Update(timer.BootClock(), resultOfConnect(err))
		case completion.Observe:
			if !timer.Sleep(ctx, c.After) {
				return completion.Unconfirmed, seen
			}
			seen = observe(others, newest)
			seen.Guard = guardStates[guard.State()]
			next = check.Update(timer.BootClock(), seen)
		case completion.Identify:
			if guard.State() == connection.GuardOpen {
				guard.GiveUp()
			}
			next = check.Update(timer.BootClock(), completion.Identified{Listener: identify(ctx, x, newest)})
		case completion.Conclude:
			return c.Verdict, seen
		}
	}
}

var guardStates = map[connection.GuardState]completion.Guard{
	connection.GuardAbsent: completion.GuardAbsent, connection.GuardOpen: completion.GuardOpen, connection.GuardSilent: completion.GuardSilent,
	connection.GuardAlive: completion.GuardAlive, connection.GuardEnded: completion.GuardEnded,
}

// identify returns which process the newest connection leads to, if there is one.
func identify(ctx context.Context, x *connection.Exchange, newest *connection.Witness) completion.Listener {
	if newest == nil || newest.Ended() {
		return completion.ListenerUnknown
	}
	registered, known := x.Listener(ctx, *newest)
	switch {
	case !known:
		return completion.ListenerUnknown
	case registered:
		return completion.ListenerRegistered
	}
	return completion.ListenerOther
}

// observe returns the state of the connections that were there before, and of the newest one, if any.
func observe(others []connection.Witness, newest *connection.Witness) completion.Observed {
	seen := completion.Observed{NewOpen: newest != nil && !newest.Ended()}
	for _, w := range others {
		switch {
		case w.Open():
			seen.Open++
		case w.Ended():
			seen.Ended++
		}
	}
	return seen
}

// resultOfConnect returns the event for a connection attempt that ended with err. A refusal counts only if it is the endpoint's: a host that is cut
// off from endpoints is refused as well.
func resultOfConnect(err error) completion.Event {
	var failed *pathError
	switch {
	case err == nil:
		return completion.Connected{}
	case errors.As(err, &failed) && failed.refused:
		return completion.Refused{}
	}
	return completion.Unreachable{}
}
