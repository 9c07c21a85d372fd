package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// budgetSite is two keepers of a service without endpoints, the second of which takes over from the first.
type budgetSite struct {
	first, second *Keeper
	now           time.Time
	ticket        uint64
}

const (
	budgetRatio = 0.2
	budgetSlack = 50.0
)

func newBudgetSite() *budgetSite {
	cfg := Config{LoadFactor: 2, RetryWindow: 10 * time.Second, RetryRatio: budgetRatio, RetrySlack: budgetSlack}
	return &budgetSite{first: New(cfg), second: New(cfg), now: time.Unix(1000, 0)}
}

// retries asks a keeper for n retries and returns how many the budget allowed.
func (s *budgetSite) retries(k *Keeper, n int) int {
	allowed := 0
	for range n {
		s.ticket++
		commands := k.Update(s.now, SlotRequested{Ticket: Ticket{Number: s.ticket}, Service: assistant, Retry: true})
		if refusal, refused := commands[0].(Refuse); !refused || refusal.Reason != NoBudget {
			allowed++
		}
	}
	return allowed
}

// tell passes what one keeper, of a process, tells on to another one, but for what the other one granted itself.
func (s *budgetSite) tell(from, to *Keeper, process, receiver Granter) {
	for _, c := range from.Update(s.now, Tick{}) {
		share, ok := c.(ShareBudget)
		if !ok {
			continue
		}
		e := BudgetShared{Service: share.Service}
		for _, g := range share.Granted {
			if g.Granter == (Granter{}) {
				g.Granter = process
			}
			if g.Granter != receiver {
				e.Granted = append(e.Granted, g)
			}
		}
		to.Update(s.now, e)
	}
}

var firstProcess, secondProcess = Granter{Host: "a", Process: 1}, Granter{Host: "b", Process: 2}

// Guards against BUDGET, review/14: each keeper that followed another one had the whole budget anew.
func TestKeeperThatTakesOverHasOnlyWhatIsLeftOfTheBudget(t *testing.T) {
	t.Parallel()
	s := newBudgetSite()
	const all = budgetFraction * budgetSlack
	require.Equal(t, int(all)-10, s.retries(s.first, int(all)-10))
	s.now = s.now.Add(time.Second)
	s.tell(s.first, s.second, firstProcess, secondProcess)
	require.Equal(t, 10, s.retries(s.second, 100))
	s.now = s.now.Add(11 * time.Second)
	require.Equal(t, int(all), s.retries(s.second, 100), "it has left the window")
}

func TestKeepersBesideEachOtherShareTheBudget(t *testing.T) {
	t.Parallel()
	s := newBudgetSite()
	granted := 0
	for range 40 {
		granted += s.retries(s.first, 2) + s.retries(s.second, 2)
		s.now = s.now.Add(budgetShareInterval)
		s.tell(s.first, s.second, firstProcess, secondProcess)
		s.tell(s.second, s.first, secondProcess, firstProcess)
		if s.now.Unix() >= 1009 {
			break
		}
	}
	require.LessOrEqual(t, granted, int(budgetSlack))
	require.GreaterOrEqual(t, granted, int(budgetFraction*budgetSlack)-4)
}

// A keeper passes on what those before it granted, to the one after it.
func TestBudgetIsToldOverSeveralKeepers(t *testing.T) {
	t.Parallel()
	s := newBudgetSite()
	third := New(s.first.cfg)
	require.Equal(t, 30, s.retries(s.first, 30))
	s.tell(s.first, s.second, firstProcess, secondProcess)
	require.Equal(t, 5, s.retries(s.second, 5))
	s.now = s.now.Add(time.Second)
	s.tell(s.second, third, secondProcess, Granter{Host: "c", Process: 3})
	require.Equal(t, 5, s.retries(third, 100))
}

func TestHostThatReachesFewOthersHasAShareOfTheSlack(t *testing.T) {
	t.Parallel()
	s := newBudgetSite()
	s.first.Update(s.now, FleetCounted{ReachableShare: 0.25})
	require.Equal(t, int(budgetFraction*budgetSlack*0.25), s.retries(s.first, 100))
}

func TestNothingIsToldWithoutRetries(t *testing.T) {
	t.Parallel()
	s := newBudgetSite()
	s.first.Update(s.now, SlotRequested{Ticket: Ticket{Number: 1}, Service: assistant})
	for _, c := range s.first.Update(s.now.Add(time.Minute), Tick{}) {
		require.IsNotType(t, ShareBudget{}, c)
	}
}
