package route

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/keeper"
	"balsamknot.org/fleet/outcome"
)

// The fixed seed makes property tests draw the same cases on every run.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1_000_000, 0)

func newPlan(retryable bool, engines ...engine.ID) (*Plan, Try) {
	p, try, _ := New(Config{Engines: engines, Deadline: start.Add(time.Minute), Retryable: retryable})
	return p, try
}

func TestPlanTriesEachEngineThenQueuesAtFirstNotLeaving(t *testing.T) {
	t.Parallel()
	p, try := newPlan(true, "e1", "e2", "e3")
	require.Equal(t, Try{Engine: "e1"}, try)
	try, _ = p.Update(start, Declined{keeper.Leaving})
	require.Equal(t, Try{Engine: "e2", MustDecide: true}, try)
	try, _ = p.Update(start, Declined{keeper.OverBound})
	require.Equal(t, Try{Engine: "e3", MustDecide: true}, try)
	try, _ = p.Update(start, Declined{keeper.OverBound})
	require.Equal(t, Try{Engine: "e2", MayQueue: true, MustDecide: true}, try, "e1 is leaving")
}

func TestPlanFollowsOverflowAndReturnsWhenPrefixIsMissing(t *testing.T) {
	t.Parallel()
	p, _ := newPlan(true, "e1", "e2")
	try, _ := p.Update(start, Declined{keeper.Overflowed})
	require.Equal(t, Try{Engine: "e2", FollowOverflow: true}, try)
	try, _ = p.Update(start, Declined{keeper.NotHere})
	require.Equal(t, Try{Engine: "e1", MustDecide: true}, try)
}

func TestPlanResumesOnSameEngineWhenKeeperIsLost(t *testing.T) {
	t.Parallel()
	p, _ := newPlan(true, "e1", "e2")
	try, refusal := p.Update(start, PeerLost{MayHaveStarted: true, Peer: "host-1"})
	require.Nil(t, refusal)
	require.Equal(t, Try{Engine: "e1", Resume: true}, try)
}

func TestNonRetryableRequestIsNotSentAgain(t *testing.T) {
	t.Parallel()
	for _, lost := range []Event{PeerLost{MayHaveStarted: true}, EngineLost{RetryAllowed: true}} {
		p, _ := newPlan(false, "e1", "e2")
		_, refusal := p.Update(start, lost)
		require.Equal(t, outcome.Unknown, refusal.Outcome)
		p, _ = newPlan(false, "e1", "e2")
		_, refusal = p.Update(start.Add(time.Hour), lost)
		require.NotNil(t, refusal, "not sent again after the deadline either")
	}
	p, _ := newPlan(false, "e1")
	_, refusal := p.Update(start.Add(time.Hour), PeerLost{MayHaveStarted: true})
	require.Equal(t, outcome.Unknown, refusal.Outcome)
}

// With any results of the tries, a request ends after at most maxRetries retries. It ends at once when the engine fails after
// part of the answer was delivered: another try would deliver that part twice.
func TestPlanEndsWithinMaxRetries(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p, _ := newPlan(rapid.Bool().Draw(t, "retryable"), "e1", "e2", "e3")
		for retry := range maxRetries + 2 {
			event := rapid.SampledFrom([]Event{
				Declined{keeper.OverBound}, Declined{keeper.Overflowed}, Declined{keeper.NotHere}, Declined{keeper.NotKeeper},
				Declined{keeper.Leaving}, PeerLost{MayHaveStarted: true}, PeerLost{}, EngineLost{RetryAllowed: true}, EngineLost{Delivered: true},
			}).Draw(t, "event")
			try, refusal := p.Update(start, event)
			if lost, ok := event.(EngineLost); ok && lost.Delivered {
				require.NotNil(t, refusal)
			}
			if refusal != nil {
				require.NotEqual(t, outcome.Done, refusal.Outcome)
				return
			}
			require.NotEmpty(t, try.Engine)
			require.LessOrEqual(t, retry, maxRetries)
		}
		t.Fatal("the request did not end")
	})
}

// Guards against an untrue "not run": a request that an engine may have run was refused as not run when the deadline, the retries or the retry
// budget ended it later. Any results of the tries are played, in any order and at any time.
func TestRequestThatMayHaveRunIsNotRefusedAsNotRun(t *testing.T) {
	t.Parallel()
	refusedAs := func(o outcome.Outcome, status int) Event {
		return Refused{&outcome.Refusal{Code: outcome.CodeOverloaded, Outcome: o, Status: status}}
	}
	rapid.Check(t, func(t *rapid.T) {
		p, _ := newPlan(rapid.Bool().Draw(t, "retryable"), "e1", "e2", "e3")
		now, mayHaveRun := start, false
		for {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "passedS")) * time.Second)
			event := rapid.SampledFrom([]Event{
				Declined{keeper.OverBound}, Declined{keeper.Overflowed}, Declined{keeper.NotHere}, Declined{keeper.NotKeeper}, Declined{keeper.Leaving},
				PeerLost{MayHaveStarted: true}, PeerLost{}, EngineLost{RetryAllowed: true}, EngineLost{}, EngineLost{Delivered: true},
				refusedAs(outcome.NotRun, statusUnavailable), refusedAs(outcome.Unknown, statusBadGateway),
			}).Draw(t, "event")
			mayHaveRun = mayHaveRun || mayRun(event)
			_, refusal := p.Update(now, event)
			if refusal == nil {
				continue
			}
			if mayHaveRun {
				require.Equal(t, outcome.Unknown, refusal.Outcome)
				require.NotEqual(t, statusUnavailable, refusal.Status)
			} else {
				require.Equal(t, outcome.NotRun, refusal.Outcome)
			}
			return
		}
	})
}

// mayRun reports whether an engine may have run the request in a try with this result.
func mayRun(event Event) bool {
	switch e := event.(type) {
	case PeerLost:
		return e.MayHaveStarted
	case EngineLost:
		return true
	case Refused:
		return e.Refusal.Outcome == outcome.Unknown
	}
	return false
}
