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

// Property tests draw the same cases on every run.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1_000_000, 0)

func newPlan(repeatable bool, engines ...engine.ID) (*Plan, Try) {
	p, try, _ := New(Config{Engines: engines, Deadline: start.Add(time.Minute), Repeatable: repeatable})
	return p, try
}

func TestSpillsAndThenQueuesAtTheFirstThatIsOpen(t *testing.T) {
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

func TestFollowsAnOverflowAndComesBack(t *testing.T) {
	t.Parallel()
	p, _ := newPlan(true, "e1", "e2")
	try, _ := p.Update(start, Declined{keeper.Overflowed})
	require.Equal(t, Try{Engine: "e2", FollowOverflow: true}, try)
	try, _ = p.Update(start, Declined{keeper.NotHere})
	require.Equal(t, Try{Engine: "e1", MustDecide: true}, try)
}

func TestResumesOnTheSameEngineWhenTheKeeperIsLost(t *testing.T) {
	t.Parallel()
	p, _ := newPlan(true, "e1", "e2")
	try, refusal := p.Update(start, PeerLost{Started: true, Peer: "host-1"})
	require.Nil(t, refusal)
	require.Equal(t, Try{Engine: "e1", Resume: true}, try)
}

func TestKeyedRequestIsSentOnce(t *testing.T) {
	t.Parallel()
	for _, lost := range []Event{PeerLost{Started: true}, EngineLost{Budget: true}} {
		p, _ := newPlan(false, "e1", "e2")
		_, refusal := p.Update(start, lost)
		require.Equal(t, outcome.Unknown, refusal.Outcome)
		p, _ = newPlan(false, "e1", "e2")
		_, refusal = p.Update(start.Add(time.Hour), lost)
		require.NotNil(t, refusal, "after its deadline as well")
	}
	p, _ := newPlan(false, "e1")
	_, refusal := p.Update(start.Add(time.Hour), PeerLost{Started: true})
	require.Equal(t, outcome.Unknown, refusal.Outcome)
}

// Whatever becomes of the tries, a request ends within maxSteps, and one whose answer was begun is never begun anew.
func TestEveryRequestEnds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p, _ := newPlan(rapid.Bool().Draw(t, "repeatable"), "e1", "e2", "e3")
		for step := range maxSteps + 2 {
			event := rapid.SampledFrom([]Event{
				Declined{keeper.OverBound}, Declined{keeper.Overflowed}, Declined{keeper.NotHere}, Declined{keeper.NotKeeper},
				Declined{keeper.Leaving}, PeerLost{Started: true}, PeerLost{}, EngineLost{Budget: true}, EngineLost{Delivered: true},
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
			require.LessOrEqual(t, step, maxSteps)
		}
		t.Fatal("the request did not end")
	})
}
