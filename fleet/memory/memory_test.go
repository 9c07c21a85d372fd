package memory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/memory"
	"balsamknot.org/fleet/site"
)

const (
	largeBody = 4 * memory.MiB
	budget    = 128 * memory.MiB
)

var start = time.Unix(1_000_000, 0)

func body(workspace string, size memory.Bytes) memory.Claim {
	return memory.Claim{Kind: memory.Body, Workspace: site.WorkspaceName(workspace), Bytes: size}
}

// load plays requests with bodies on a ledger. Each holds its body for the hold time.
type load struct {
	t      *testing.T
	ledger *memory.Ledger
	now    time.Time
	lastID memory.ID
	ends   map[memory.Claim][]time.Time
	// waits holds until when each claim that waits does so.
	waits map[memory.ID]wait

	served, refused map[site.WorkspaceName]int
}

type wait struct {
	claim memory.Claim
	until time.Time
}

const (
	step    = 10 * time.Millisecond
	hold    = 3 * time.Second
	maxWait = 500 * time.Millisecond
)

func newLoad(t *testing.T) *load {
	return &load{
		t: t, ledger: memory.NewLedger(memory.Config{Budget: budget}), now: start, ends: make(map[memory.Claim][]time.Time),
		waits: make(map[memory.ID]wait), served: make(map[site.WorkspaceName]int), refused: make(map[site.WorkspaceName]int),
	}
}

func (l *load) begin(c memory.Claim) {
	l.served[c.Workspace]++
	l.ends[c] = append(l.ends[c], l.now.Add(hold))
}

func (l *load) arrive(c memory.Claim) {
	l.lastID++
	switch l.ledger.Request(l.now, memory.Request{ID: l.lastID, Claim: c}) {
	case memory.Granted:
		l.begin(c)
	case memory.Waiting:
		l.waits[l.lastID] = wait{claim: c, until: l.now.Add(maxWait)}
	case memory.Refused:
		l.refused[c.Workspace]++
	}
}

// advance plays one step of time.
func (l *load) advance() {
	l.now = l.now.Add(step)
	for c, ends := range l.ends {
		for len(ends) > 0 && !ends[0].After(l.now) {
			ends = ends[1:]
			l.ends[c] = ends
			for _, id := range l.ledger.Release(l.now, c) {
				l.begin(l.waits[id].claim)
				delete(l.waits, id)
			}
			ends = l.ends[c]
		}
	}
	for id, w := range l.waits {
		if !w.until.After(l.now) && l.ledger.Withdraw(id) {
			l.refused[w.claim.Workspace]++
			delete(l.waits, id)
		}
	}
	require.LessOrEqual(l.t, l.ledger.Used(), budget)
}

// play lets each workspace send requests with the largest body at its rate, a second, for d.
func (l *load) play(d time.Duration, rates map[string]float64) {
	due := make(map[string]float64)
	for end := l.now.Add(d); l.now.Before(end); l.advance() {
		for _, workspace := range []string{"hot", "usual-1", "usual-2", "usual-3"} {
			due[workspace] += rates[workspace] * step.Seconds()
			for ; due[workspace] >= 1; due[workspace]-- {
				l.arrive(body(workspace, largeBody))
			}
		}
	}
}

func TestWorkspaceAtManyTimesItsUsualDoesNotTakeTheMemoryOfOthers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		factor float64
		before time.Duration
	}{{10, 0}, {10, time.Minute}, {10, 10 * time.Minute}, {100, time.Minute}, {100, 10 * time.Minute}} {
		t.Run(fmt.Sprintf("%g times after %s", c.factor, c.before), func(t *testing.T) {
			t.Parallel()
			l := newLoad(t)
			rates := map[string]float64{"hot": 1, "usual-1": 1, "usual-2": 0.7, "usual-3": 0.3}
			l.play(c.before, rates)
			rates["hot"] *= c.factor
			l.play(time.Minute, rates)
			for _, workspace := range []site.WorkspaceName{"usual-1", "usual-2", "usual-3"} {
				require.Zero(t, l.refused[workspace], "refused of %s, %d served", workspace, l.served[workspace])
				require.NotZero(t, l.served[workspace])
			}
			require.NotZero(t, l.refused["hot"])
			require.Greater(t, l.ledger.Peak(), budget/2, "memory is not used")
		})
	}
}

func TestSurgeOfOneWorkspaceTakesWhatIsFree(t *testing.T) {
	t.Parallel()
	l := newLoad(t)
	l.play(time.Minute, map[string]float64{"hot": 4})
	require.Zero(t, l.refused["hot"])
}

func TestUsualLoadAboveAnEqualShareIsKeptFromASurge(t *testing.T) {
	t.Parallel()
	l := newLoad(t)
	rates := map[string]float64{"hot": 0.7, "usual-1": 3.5}
	l.play(3*time.Minute, rates)
	require.Empty(t, l.refused)
	rates["hot"] *= 10
	l.play(time.Minute, rates)
	require.Zero(t, l.refused["usual-1"])
	require.NotZero(t, l.refused["hot"])
}

func TestChunkedBodiesThatGrowDoNotWaitForEachOther(t *testing.T) {
	t.Parallel()
	const pieces = 8
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		ledger := memory.NewLedger(memory.Config{Budget: 16 * memory.MiB})
		piece := body("a", largeBody/pieces)
		type upload struct {
			taken            int
			waiting, refused bool
		}
		uploads := make([]upload, 40)
		byID := make(map[memory.ID]int)
		var lastID memory.ID
		release := func(count int) {
			for range count {
				for _, id := range ledger.Release(start, piece) {
					uploads[byID[id]].waiting = false
					uploads[byID[id]].taken++
				}
			}
		}
		var growing []int
		for i := range uploads {
			growing = append(growing, i)
		}
		for turns := 0; len(growing) > 0; turns++ {
			require.Less(t, turns, 10_000, "seed %d: %d uploads wait for each other", seed, len(growing))
			at := random.IntN(len(growing))
			u := &uploads[growing[at]]
			if u.waiting {
				continue
			}
			done := u.taken >= pieces
			if !done {
				lastID++
				byID[lastID] = growing[at]
				switch ledger.Request(start, memory.Request{ID: lastID, Claim: piece, Holding: u.taken > 0}) {
				case memory.Granted:
					u.taken++
				case memory.Waiting:
					u.waiting = true
				case memory.Refused:
					u.refused, done = true, true
				}
			}
			if done {
				growing = append(growing[:at], growing[at+1:]...)
				release(u.taken)
			}
		}
		require.Zero(t, ledger.Used())
		whole := 0
		for _, u := range uploads {
			if !u.refused {
				whole++
			}
		}
		require.NotZero(t, whole)
	}
}

func TestSmallBodiesAndAnswersFindRoomBesideLargeBodies(t *testing.T) {
	t.Parallel()
	ledger := memory.NewLedger(memory.Config{Budget: budget})
	for ledger.Take(start, body("hot", largeBody)) {
	}
	for i := range 100 {
		require.True(t, ledger.Take(start, body(fmt.Sprintf("w-%d", i), memory.SmallBody)))
	}
	for range 3 {
		require.True(t, ledger.Take(start, memory.Claim{Kind: memory.Answer, Workspace: "w-1", Bytes: largeBody}))
	}
}

func TestConnectionsTakeHalfOfTheBudgetAtMost(t *testing.T) {
	t.Parallel()
	ledger := memory.NewLedger(memory.Config{Budget: budget})
	c := memory.Claim{Kind: memory.Connection, Bytes: 64 * memory.KiB}
	for ledger.Take(start, c) {
	}
	require.Equal(t, budget/2, ledger.Used())
	require.Equal(t, memory.Refused, ledger.Request(start, memory.Request{ID: 1, Claim: c}))
}

func TestClaimAboveItsCeilingIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	ledger := memory.NewLedger(memory.Config{Budget: budget})
	require.Equal(t, memory.Refused, ledger.Request(start, memory.Request{ID: 1, Claim: body("a", budget)}))
}

func TestWithdrawnClaimIsNotGranted(t *testing.T) {
	t.Parallel()
	ledger := memory.NewLedger(memory.Config{Budget: budget})
	taken := 0
	for ledger.Take(start, body("a", largeBody)) {
		taken++
	}
	require.Equal(t, memory.Waiting, ledger.Request(start, memory.Request{ID: 1, Claim: body("a", largeBody)}))
	require.Equal(t, memory.Waiting, ledger.Request(start, memory.Request{ID: 2, Claim: body("a", largeBody)}))
	require.True(t, ledger.Withdraw(1))
	require.Equal(t, []memory.ID{2}, ledger.Release(start, body("a", largeBody)))
	require.False(t, ledger.Withdraw(2))
	for range taken {
		require.Empty(t, ledger.Release(start, body("a", largeBody)))
	}
	require.Zero(t, ledger.Used())
}

func BenchmarkSmallBody(b *testing.B) {
	ledger := memory.NewLedger(memory.Config{Budget: budget})
	c := body("a", 800)
	for b.Loop() {
		ledger.Request(start, memory.Request{Claim: c})
		ledger.Release(start, c)
	}
}
