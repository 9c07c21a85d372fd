package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/host"
)

// fleet plays hosts that exchange heartbeats without a network.
type fleet struct {
	now   time.Time
	hosts map[string]*Roster
	// cut holds addresses that get nothing and send nothing.
	cut map[string]bool
}

const step = 300 * time.Millisecond

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), hosts: map[string]*Roster{}, cut: map[string]bool{}}
	for i := range n {
		f.start(i, 1)
	}
	return f
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7340", i) }

func id(i int) host.ID { return host.ID(fmt.Sprintf("host-%02d", i)) }

func (f *fleet) start(i int, started int64) {
	f.hosts[address(i)] = New(Config{
		Self:  Heartbeat{Host: id(i), Address: address(i), Started: started},
		Seeds: []string{address(0), address(1)}, Fanout: 3, Rows: 24,
		Suspect: 1500 * time.Millisecond, SuspectPerHost: 40 * time.Millisecond, Forget: 30 * time.Second,
		Random: rand.New(rand.NewPCG(uint64(i), uint64(started))),
	})
}

func (f *fleet) rounds(n int) {
	for range n {
		f.now = f.now.Add(step)
		for i := range len(f.hosts) {
			from := address(i)
			if f.cut[from] {
				continue
			}
			messages, _ := f.hosts[from].Tick(f.now)
			for _, m := range messages {
				if to := f.hosts[m.To]; to != nil && !f.cut[m.To] {
					to.Hear(f.now, id(i), m.Rows)
				}
			}
		}
	}
}

func TestHostsFindEachOtherFromTwoSeeds(t *testing.T) {
	t.Parallel()
	for _, n := range []int{8, 82} {
		f := newFleet(n)
		f.rounds(20)
		for range 20 { // and keep each other
			f.rounds(5)
			for i := range n {
				require.Len(t, f.hosts[address(i)].Live(), n, "host %d of %d", i, n)
			}
		}
	}
}

func TestALostHostIsNoticedAndItsRestartToo(t *testing.T) {
	t.Parallel()
	f := newFleet(8)
	f.rounds(10)
	f.cut[address(3)] = true
	f.rounds(8)
	require.NotContains(t, f.hosts[address(5)].Live(), id(3))
	delete(f.cut, address(3))
	f.start(3, 0) // its time of day went back
	f.rounds(6)
	require.Contains(t, f.hosts[address(5)].Live(), id(3))
	require.Len(t, f.hosts[address(3)].Live(), 8)
}

func TestAPausedHostDoesNotTakeTheOthersForLost(t *testing.T) {
	t.Parallel()
	f := newFleet(8)
	f.rounds(10)
	f.cut[address(3)] = true
	f.rounds(20)
	delete(f.cut, address(3))
	_, changes := f.hosts[address(3)].Tick(f.now)
	require.Empty(t, changes)
	require.Len(t, f.hosts[address(3)].Live(), 8)
}

func TestALeavingHostIsLeftOutAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(4)
	f.rounds(6)
	for _, m := range f.hosts[address(2)].Leave() {
		changes := f.hosts[m.To].Hear(f.now, id(2), m.Rows)
		require.Equal(t, []Change{{id(2), false}}, changes)
	}
	require.NotContains(t, f.hosts[address(2)].Live(), id(2))
	require.NotContains(t, f.hosts[address(0)].Live(), id(2))
}

func TestWorkForOthersGoesToStrongHosts(t *testing.T) {
	t.Parallel()
	r := New(Config{Self: Heartbeat{Host: "weak", Cores: 0.2}})
	require.Equal(t, []host.ID{"weak"}, r.Strong())
	r.Hear(time.Unix(1, 0), "a", []Heartbeat{{Host: "a", Cores: 0.8}, {Host: "b", Cores: 0.6}, {Host: "c", Cores: 0.2}, {Host: "d", Cores: 1, Leaving: true}})
	require.Equal(t, []host.ID{"a", "b"}, r.Strong())
}
