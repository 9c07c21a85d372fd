package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func ofOthers(c *call) bool { return c.workspace != 0 }

// heavySeeds is over how many seeds the cost of a heavy workspace is averaged: the shares of one run differ by chance as much as the bound allows.
const heavySeeds = 6

// One workspace of sixteen sends eight times its usual while all send more than usual. It costs the others less than two of 100 answers
// that they get without it.
func TestHeavyWorkspaceCostsTheOthersLittle(t *testing.T) {
	t.Parallel()
	for _, factor := range []float64{1, 1.5, 2, 2.5} {
		t.Run(fmt.Sprintf("factor %g", factor), func(t *testing.T) {
			t.Parallel()
			var onTime, served float64
			for seed := range uint64(heavySeeds) {
				onTimeKept, servedKept := keptByOthers(t, factor, seed+1)
				onTime += onTimeKept / heavySeeds
				served += servedKept / heavySeeds
			}
			t.Logf("the others keep %.3f of their answers on time, and %.3f of all", onTime, served)
			require.GreaterOrEqual(t, onTime, 0.98)
			require.GreaterOrEqual(t, served, 0.98)
		})
	}
}

// keptByOthers returns which part of their answers on time, and of all answers, the other workspaces keep when one becomes heavy.
func keptByOthers(t *testing.T, factor float64, seed uint64) (onTime, served float64) {
	l := assistants(factor, [3]int{2, 0, 1})
	l.workspaces, l.seed = 16, seed
	usual := play(l, l.newDecision())
	l.heavyFactor = 8
	heavy := play(l, l.newDecision())
	before, after := usual.resultOf(surgeStart, surgeEnd, ofOthers), heavy.resultOf(surgeStart, surgeEnd, ofOthers)
	own := heavy.resultOf(surgeStart, surgeEnd, func(c *call) bool { return c.workspace == 0 })
	t.Logf("seed %d: others on time %.3f, with the heavy workspace %.3f (served %.3f, %.3f); its own %.3f (%.3f)",
		seed, before.onTimeShare(), after.onTimeShare(), before.servedShare(), after.servedShare(), own.onTimeShare(), own.servedShare())
	return after.onTimeShare() / before.onTimeShare(), after.servedShare() / before.servedShare()
}

// A workspace that is alone uses all room, whatever is usual.
func TestWorkspaceAloneUsesAllRoom(t *testing.T) {
	t.Parallel()
	l := assistants(2.5, [3]int{2, 0, 1})
	all := play(l, l.newDecision()).resultOf(surgeStart, surgeEnd, func(*call) bool { return true })
	l.factor, l.workspaces, l.heavyFactor = 1e-3, 2, 5e3
	alone := play(l, l.newDecision()).resultOf(surgeStart, surgeEnd, func(*call) bool { return true })
	t.Logf("on time %.3f of all, %.3f alone", all.onTimeShare(), alone.onTimeShare())
	require.GreaterOrEqual(t, alone.onTimeShare(), 0.97*all.onTimeShare())
}

func TestIdleWorkspaceIsForgotten(t *testing.T) {
	t.Parallel()
	q := newTestQueue(10)
	q.Serve(q.now, Request{ID: 1, Class: urgent, Workspace: "school"}, q.room)
	q.ForgetIdle(q.now.Add(workspaceLifetime))
	require.Len(t, q.workspaces.byName, 1)
	q.ForgetIdle(q.now.Add(workspaceLifetime + 1))
	require.Empty(t, q.workspaces.byName)
	require.Less(t, time.Duration(0), workspaceLifetime)
}

// Guards against RECOVER: a workspace that asked for more than usual was refused although all of the others were served and hardly any request
// had to wait.
func TestWorkspaceIsNotHeldToItsShareWhileTheOthersAreServed(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for _, engines := range []int{6, 60} {
		for _, share := range []float64{0.7, 0.8, 0.9} {
			t.Run(fmt.Sprintf("%g of the room of %d engines", share, engines), func(t *testing.T) {
				t.Parallel()
				l := visitors(engines, 4, 0, 375*ms, 0, 500*ms).alone(0)
				l.workspaces, l.heavyFactor = 2, 8
				room := float64(engines*l.slots) / ((1 + batchFactor) * 0.375)
				l.kinds[0].perSecond = share * room * 2 / (1 + l.heavyFactor)
				m := play(l, l.newDecision())
				heavy := m.resultOf(surgeStart, surgeEnd, func(c *call) bool { return c.workspace == 0 })
				others := m.resultOf(surgeStart, surgeEnd, ofOthers)
				refused := float64(heavy.refused) / float64(heavy.asked)
				t.Logf("heavy: on time %.3f, refused %.3f; others: on time %.3f", heavy.onTimeShare(), refused, others.onTimeShare())
				require.LessOrEqual(t, refused, 0.01)
				require.GreaterOrEqual(t, others.onTimeShare(), 0.99)
			})
		}
	}
}
