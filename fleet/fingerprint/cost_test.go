package fingerprint

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
)

// crashTogether records an incident in which many engines end at once: one crash for each of n requests, and a few for the parts that they share.
func crashTogether(r *Registry, n int) {
	const engines = 29
	for i := range n {
		r.RecordCrash(start, Fingerprint(i+1), Crash{Engine: engine.ID(fmt.Sprintf("e-%d", i%engines)), Incarnation: 1, Ran: time.Second})
	}
	for i := range 40 {
		for j := range 4 {
			r.RecordCrash(start, OfPart(chat.PartID(i)), Crash{Engine: engine.ID(fmt.Sprintf("e-%d", (i+j)%engines)), Incarnation: 1})
		}
	}
}

// Each crash that a host hears of is judged anew, so that what a judgement costs must not grow with the requests that crashed once.
func TestJudgementLooksOnlyAtWhatCrashedRepeatedly(t *testing.T) {
	r := NewRegistry(400 * time.Millisecond)
	crashTogether(r, 900)
	r.judge(start)
	require.LessOrEqual(t, len(r.repeated), 40)
	allocations := testing.AllocsPerRun(10, func() {
		r.judged = false
		require.Equal(t, Isolated, r.Verdict(start, 1))
	})
	require.Less(t, allocations, 20.0)
}

func BenchmarkJudgeAfterManyCrashedOnce(b *testing.B) {
	r := NewRegistry(400 * time.Millisecond)
	crashTogether(r, 600)
	b.ReportAllocs()
	for b.Loop() {
		r.judged = false
		r.Verdict(start, 1)
	}
}
