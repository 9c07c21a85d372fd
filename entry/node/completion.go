package node

import (
	"context"
	"errors"
	"syscall"
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
	// endRetryInterval is the time between two attempts to connect to an endpoint that does not react, and endCheckTimeout that after which
	// the end of its answer stays unconfirmed.
	endRetryInterval = 100 * time.Millisecond
	endCheckTimeout  = 2 * time.Second
)

// errEndNotConfirmed means that an answer whose end is not marked ended with its endpoint's process, or may have.
var errEndNotConfirmed = errors.New("the endpoint ended with the answer, or may have")

// confirmEnd returns nil if an answer that was read to its end is complete: its end is marked, or its endpoint goes on.
func (n *Node) confirmEnd(q *request, x *connection.Exchange) error {
	if answer.EndMarked(x.Response) {
		return nil
	}
	verdict, seen := checkEnd(q.r.Context(), x)
	q.logEvent(n.log, zerolog.InfoLevel, event.EndChecked).Str("Endpoint", string(q.endpoint)).Int("Open", seen.Open).Int("Ended", seen.Ended).
		Str("Verdict", string(verdict)).Send()
	n.meter.recordUnmarkedEnd(verdict)
	if verdict == completion.Complete {
		return nil
	}
	return eris.Wrapf(errEndNotConfirmed, "read the answer of endpoint %s: %s", q.address, verdict)
}

// checkEnd carries out an completion.Check. It also returns what was last observed of the endpoint's other connections.
func checkEnd(ctx context.Context, x *connection.Exchange) (verdict completion.Verdict, seen completion.Observed) {
	check := completion.New(completion.Config{Settle: endSettleTime, RetryInterval: endRetryInterval, Timeout: endCheckTimeout})
	others := x.Witnesses()
	var opened connection.Witnesses
	defer func() { opened.Release() }()
	next := check.Update(timer.BootClock(), completion.Ended{Others: len(others)})
	for {
		switch c := next.(type) {
		case completion.Observe:
			if !sleep(ctx, c.After) {
				return completion.Unconfirmed, seen
			}
			seen.Open, seen.Ended = append(others, opened...).Count()
			next = check.Update(timer.BootClock(), seen)
		case completion.Connect:
			if !sleep(ctx, c.After) {
				return completion.Unconfirmed, seen
			}
			witnesses, err := x.Connect(ctx)
			opened = append(opened, witnesses...)
			next = check.Update(timer.BootClock(), resultOfConnect(err))
		case completion.Conclude:
			return c.Verdict, seen
		}
	}
}

// resultOfConnect returns the event for a connection attempt that ended with err, directly and through relays.
func resultOfConnect(err error) completion.Event {
	switch {
	case err == nil:
		return completion.Connected{}
	case errors.Is(err, syscall.ECONNREFUSED):
		return completion.Refused{}
	}
	return completion.Unreachable{}
}

// sleep waits for d, and returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
