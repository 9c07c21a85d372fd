package revision

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamknot.org/fleet/host"
)

// Property tests draw the same cases on every run.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func oddIsBad(d Document) error {
	if d.Number%2 == 1 {
		return errors.New("odd")
	}
	return nil
}

// Nodes hear the published versions in any order, with repeats: none ever goes back, and all that heard everything agree.
func TestRevisionNeverGoesBackAndAllAgree(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		published := rapid.IntRange(1, 9).Draw(t, "published")
		want := Number(published - published%2)
		for node := range 3 {
			l := NewLedger(oddIsBad)
			last := Number(0)
			offers := rapid.SliceOfN(rapid.IntRange(1, published), 0, 20).Draw(t, fmt.Sprint("offers", node))
			for n := 1; n <= published; n++ {
				offers = append(offers, n)
			}
			for _, n := range offers {
				_, _ = l.Offer(Document{Name: Set, Number: Number(n)})
				require.GreaterOrEqual(t, l.InForce(Set).Number, last)
				last = l.InForce(Set).Number
			}
			require.Equal(t, want, last)
		}
	})
}

func TestRefusedSetChangesNothingAndIsKnown(t *testing.T) {
	t.Parallel()
	l := NewLedger(oddIsBad)
	decision, err := l.Offer(Document{Name: Set, Number: 2})
	require.NoError(t, err)
	require.Equal(t, Accepted, decision)
	decision, err = l.Offer(Document{Name: Set, Number: 3})
	require.EqualError(t, err, "odd")
	require.Equal(t, TurnedDown, decision)
	refused, ok := l.LastRefused(Set)
	require.True(t, ok)
	require.Equal(t, Number(3), refused.Number)
	decision, _ = l.Offer(Document{Name: Set, Number: 3})
	require.Equal(t, Ignored, decision, "said once")
	_, _ = l.Offer(Document{Name: Set, Number: 4})
	_, ok = l.LastRefused(Set)
	require.False(t, ok)
}

// 1,700 nodes in 8 data centres: what waits at the platform and what is read in an hour, by the mechanism.
func TestReadsGrowWithDataCentresNotNodes(t *testing.T) {
	t.Parallel()
	const nodes, dataCentres, perSecond = 1700, 8, 2000
	watchers := 0
	for dc := range dataCentres {
		var live []host.ID
		for i := range nodes / dataCentres {
			live = append(live, host.ID(fmt.Sprintf("host-%d-%d", dc, i)))
		}
		for _, name := range Names() {
			for _, id := range live {
				if Watches(name, id, live) {
					watchers++
				}
			}
		}
	}
	require.Equal(t, dataCentres*WatchersPerDataCentre*len(Names()), watchers)
	safety := float64(nodes*len(Names())) / SafetyRead(nodes).Seconds()
	require.Less(t, safety+float64(watchers), perSecond/10.0, "calls a second, a waiting watch as one")
}

// However a document changes, the deltas that a ledger keeps lead from any version that they reach back to, to the one in
// force, byte for byte.
func TestDeltasLeadToTheVersionInForce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(func(Document) error { return nil })
		versions := map[Number]Document{}
		for n := range rapid.IntRange(1, 8).Draw(t, "versions") {
			value := rapid.SliceOfN(rapid.SampledFrom([]byte("ab")), 0, 12).Draw(t, "value")
			doc := Document{Name: Set, Number: Number(n + 1), Value: value}
			versions[doc.Number] = doc
			_, _ = l.Offer(doc)
		}
		for _, doc := range versions {
			deltas, ok := l.Since(Set, doc.Number)
			if !ok {
				continue
			}
			for _, d := range deltas {
				var err error
				doc, err = d.Apply(doc)
				require.NoError(t, err)
			}
			require.Equal(t, l.InForce(Set).Number, doc.Number)
			require.Equal(t, string(l.InForce(Set).Value), string(doc.Value))
		}
	})
}

func TestDeltaThatDoesNotFitIsRefused(t *testing.T) {
	t.Parallel()
	a, b := Document{Name: Set, Number: 1, Value: []byte("one two three")}, Document{Name: Set, Number: 2, Value: []byte("one 2 three")}
	d := Between(a, b)
	require.Equal(t, "2", string(d.Middle))
	for _, wrong := range []Document{{Number: 2, Value: a.Value}, {Number: 1, Value: []byte("one")}, {Number: 1, Value: []byte("one two THREE")}} {
		_, err := d.Apply(wrong)
		require.ErrorIs(t, err, ErrDelta)
	}
}

// One workspace of 3,600 changes: what travels is its own lines.
func TestChangeOfOneObjectTravelsAlone(t *testing.T) {
	t.Parallel()
	set := func(weight int) []byte {
		var b bytes.Buffer
		for i := range 3600 {
			w := 1
			if i == 1234 {
				w = weight
			}
			fmt.Fprintf(&b, "[Workspace w-%d]\nKeyHash = %064x\nServices = assistant, returns\nWeight = %d\n", i, i*7919, w)
		}
		return b.Bytes()
	}
	d := Between(Document{Number: 1, Value: set(1)}, Document{Number: 2, Value: set(25)})
	require.Less(t, len(d.Middle), 100)
	require.Greater(t, len(set(1)), 400_000)
}
