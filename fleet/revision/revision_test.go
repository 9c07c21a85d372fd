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

// A fixed seed makes the property tests draw the same cases on every run.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func rejectOddNumbers(d Document) error {
	if d.Number%2 == 1 {
		return errors.New("odd")
	}
	return nil
}

// Nodes that receive the published versions in different orders and with duplicates must never return to a lower number,
// and must end with the same current version: the highest valid one.
func TestNodesConvergeAndNumbersNeverDecreaseInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		published := rapid.IntRange(1, 9).Draw(t, "published")
		want := Number(published - published%2)
		for node := range 3 {
			tracker := NewTracker(rejectOddNumbers)
			last := Number(0)
			offers := rapid.SliceOfN(rapid.IntRange(1, published), 0, 20).Draw(t, fmt.Sprint("offers", node))
			for n := 1; n <= published; n++ {
				offers = append(offers, n)
			}
			for _, n := range offers {
				_, _ = tracker.Offer(Document{Name: DocumentSet, Number: Number(n)})
				require.GreaterOrEqual(t, tracker.Current(DocumentSet).Number, last)
				last = tracker.Current(DocumentSet).Number
			}
			require.Equal(t, want, last)
		}
	})
}

func TestRejectedSetKeepsCurrentVersionAndIsReported(t *testing.T) {
	t.Parallel()
	tracker := NewTracker(rejectOddNumbers)
	decision, err := tracker.Offer(Document{Name: DocumentSet, Number: 2})
	require.NoError(t, err)
	require.Equal(t, Accepted, decision)
	decision, err = tracker.Offer(Document{Name: DocumentSet, Number: 3})
	require.EqualError(t, err, "odd")
	require.Equal(t, Rejected, decision)
	rejection, ok := tracker.LastRejected(DocumentSet)
	require.True(t, ok)
	require.Equal(t, Number(3), rejection.Number)
	decision, _ = tracker.Offer(Document{Name: DocumentSet, Number: 3})
	require.Equal(t, Ignored, decision, "a version that is offered again after its rejection must be ignored")
	_, _ = tracker.Offer(Document{Name: DocumentSet, Number: 4})
	_, ok = tracker.LastRejected(DocumentSet)
	require.False(t, ok)
}

// With 1,700 nodes in 8 data centres, the number of open watches at the platform must depend on the data centres alone,
// and watches and fallback reads together must stay below a tenth of the 2,000 calls per second that the platform allows.
func TestReadsGrowWithDataCentresNotNodes(t *testing.T) {
	t.Parallel()
	const nodes, dataCentres, readsPerSecondLimit = 1700, 8, 2000
	watchers := 0
	for dc := range dataCentres {
		var live []host.ID
		for i := range nodes / dataCentres {
			live = append(live, host.ID(fmt.Sprintf("host-%d-%d", dc, i)))
		}
		for _, name := range DocumentNames() {
			for _, id := range live {
				if IsWatcher(name, id, live) {
					watchers++
				}
			}
		}
	}
	require.Equal(t, dataCentres*WatchersPerDataCentre*len(DocumentNames()), watchers)
	fallbackReads := float64(nodes*len(DocumentNames())) / FallbackReadInterval(nodes).Seconds()
	require.Less(t, fallbackReads+float64(watchers), readsPerSecondLimit/10.0, "calls per second at the platform, with each open watch counted as one call")
}

// For arbitrary contents, applying the deltas that the tracker returns for an older version must give exactly the bytes of
// the current version. Otherwise peers that fetch deltas would end with different documents.
func TestDeltasSinceReproduceCurrentVersion(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker(func(Document) error { return nil })
		versions := map[Number]Document{}
		for n := range rapid.IntRange(1, 8).Draw(t, "versions") {
			value := rapid.SliceOfN(rapid.SampledFrom([]byte("ab")), 0, 12).Draw(t, "value")
			doc := Document{Name: DocumentSet, Number: Number(n + 1), Value: value}
			versions[doc.Number] = doc
			_, _ = tracker.Offer(doc)
		}
		for _, doc := range versions {
			deltas, ok := tracker.DeltasSince(DocumentSet, doc.Number)
			if !ok {
				continue
			}
			for _, d := range deltas {
				var err error
				doc, err = d.Apply(doc)
				require.NoError(t, err)
			}
			require.Equal(t, tracker.Current(DocumentSet).Number, doc.Number)
			require.Equal(t, string(tracker.Current(DocumentSet).Value), string(doc.Value))
		}
	})
}

func TestApplyFailsWhenDeltaDoesNotMatchVersion(t *testing.T) {
	t.Parallel()
	a, b := Document{Name: DocumentSet, Number: 1, Value: []byte("one two three")}, Document{Name: DocumentSet, Number: 2, Value: []byte("one 2 three")}
	d := Diff(a, b)
	require.Equal(t, "2", string(d.Middle))
	for _, wrong := range []Document{{Number: 2, Value: a.Value}, {Number: 1, Value: []byte("one")}, {Number: 1, Value: []byte("one two THREE")}} {
		_, err := d.Apply(wrong)
		require.ErrorIs(t, err, ErrDeltaMismatch)
	}
}

// When one of 3,600 workspaces changes, the delta must hold under 100 bytes, although the whole set is over 400 kB.
func TestDeltaOfOneChangedObjectHoldsOnlyItsBytes(t *testing.T) {
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
	d := Diff(Document{Number: 1, Value: set(1)}, Document{Number: 2, Value: set(25)})
	require.Less(t, len(d.Middle), 100)
	require.Greater(t, len(set(1)), 400_000)
}
