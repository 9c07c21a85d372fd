package catalogue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/host"
)

func newDistribution() *Distribution {
	return NewDistribution(DistributionConfig{MinBytes: 1000, MaxFollowers: 4, TransferTime: 200 * time.Millisecond, Lifetime: 2 * time.Second})
}

// Hosts of six data centres, 50 each, start together and ask one reader for a large copy. One of each data centre gets it from the
// reader; the others get it from hosts of their data centre, each of which serves four at most, and none waits longer than 1 s.
func TestCopyCrossesToEachDataCentreOnce(t *testing.T) {
	t.Parallel()
	d := newDistribution()
	const perDataCentre = 50
	var waiting []Asker
	for i := range 6 * perDataCentre {
		waiting = append(waiting, Asker{Host: host.ID(fmt.Sprintf("host-%d", i)), DataCentre: host.DataCentre(fmt.Sprintf("dc-%d", i%6))})
	}
	now := time.Unix(1000, 0)
	served, followers := map[host.DataCentre]int{}, map[host.ID]int{}
	dataCentre := map[host.ID]host.DataCentre{}
	for rounds := 0; len(waiting) > 0; rounds++ {
		require.Less(t, rounds, 50, "rounds of 20 ms")
		var still, transfers []Asker
		for _, a := range waiting {
			dataCentre[a.Host] = a.DataCentre
			switch r := d.Refer(now, a, 300_000); {
			case r.Wait:
				still = append(still, a)
			case r.To != "":
				require.Equal(t, a.DataCentre, dataCentre[r.To])
				followers[r.To]++
			default:
				served[a.DataCentre]++
				transfers = append(transfers, a)
			}
		}
		now = now.Add(20 * time.Millisecond)
		for _, a := range transfers {
			d.Served(now, a)
		}
		waiting = still
	}
	for dc, n := range served {
		require.Equal(t, 1, n, dc)
	}
	for id, n := range followers {
		require.LessOrEqual(t, n, 4, id)
	}
}

func TestReaderServesSmallCopiesAndHostsOfEarlierReleasesItself(t *testing.T) {
	t.Parallel()
	d := newDistribution()
	now := time.Unix(1000, 0)
	for i := range 10 {
		require.Zero(t, d.Refer(now, Asker{Host: host.ID(fmt.Sprint(i)), DataCentre: "a"}, 999))
		require.Zero(t, d.Refer(now, Asker{}, 300_000))
	}
}

// A transfer that fails, and holders that were added long ago, are forgotten: the next host gets the copy from the reader.
func TestReaderServesTheNextHostWhenAHolderIsLost(t *testing.T) {
	t.Parallel()
	d := newDistribution()
	now := time.Unix(1000, 0)
	first, second := Asker{Host: "first", DataCentre: "a"}, Asker{Host: "second", DataCentre: "a"}
	require.Zero(t, d.Refer(now, first, 300_000))
	require.True(t, d.Refer(now, second, 300_000).Wait)
	d.Failed(first)
	require.Zero(t, d.Refer(now, second, 300_000))
	d.Served(now, second)
	require.Equal(t, Referral{To: "second"}, d.Refer(now, first, 300_000))
	require.Zero(t, d.Refer(now.Add(3*time.Second), Asker{Host: "third", DataCentre: "a"}, 300_000))
	// A holder that asks again has lost its copy by a restart.
	d.Served(now.Add(3*time.Second), Asker{Host: "third", DataCentre: "a"})
	require.Zero(t, d.Refer(now.Add(3100*time.Millisecond), Asker{Host: "third", DataCentre: "a"}, 300_000))
}
