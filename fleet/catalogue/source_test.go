package catalogue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/host"
)

// cluster simulates hosts that refresh their copies in virtual time. The platform changes once, and refuses the reads of some
// of the hosts.
type cluster struct {
	hosts  []*simulatedHost
	ranked []host.ID
	now    time.Time
	// changedAt is when the platform changes, and platformReads counts the successful reads of it.
	changedAt     time.Time
	platformReads int
}

type simulatedHost struct {
	id       host.ID
	selector *SourceSelector
	// refused is true when the platform refuses the host's reads.
	refused bool
	// loaded is true once the host has a copy.
	loaded bool
	// sawChangeAt is when the host received the change, zero before; its copy contains all changes before confirmedAt; lastReadAt
	// is when its last successful read of the platform was sent.
	sawChangeAt, confirmedAt, lastReadAt time.Time
	// waitUntil is the time of the next step. readStartedAt is when the read of the platform in progress was sent, zero when
	// there is none.
	waitUntil, readStartedAt time.Time
	// subscribers holds the hosts that queried this one, with the time of their last query.
	subscribers map[*simulatedHost]time.Time
}

// Times of the simulation. The limits equal those of an entry host.
const (
	tickInterval     = 10 * time.Millisecond
	watchWait        = time.Second
	fullReadTime     = 20 * time.Millisecond
	minProbeInterval = 600 * time.Millisecond
	minWatchInterval = 300 * time.Millisecond
	recentReadWindow = 2500 * time.Millisecond
	subscriptionTTL  = 3 * time.Second
	staleReaderAge   = 2400 * time.Millisecond
	hostCount        = 40
	rankedCount      = 8
)

func newCluster(refusedCount int, changedAt time.Duration) *cluster {
	c := &cluster{now: at(0), changedAt: at(changedAt)}
	for i := range hostCount {
		id := host.ID(fmt.Sprintf("h%02d", i))
		if i < rankedCount {
			c.ranked = append(c.ranked, id)
		}
		c.hosts = append(c.hosts, &simulatedHost{
			id: id, refused: i < refusedCount, loaded: true, confirmedAt: at(0), subscribers: map[*simulatedHost]time.Time{},
			waitUntil: at(time.Duration(i) * tickInterval),
			selector: NewSourceSelector(SourceSelectorConfig{
				Self: id, ActiveReaders: 2, DirectReadAge: 2400 * time.Millisecond, FirstReadDelay: 150 * time.Millisecond,
				PlatformBackoff: 2 * time.Second, FailureBackoff: 500 * time.Millisecond, StartupBackoff: 30 * time.Millisecond,
				RecheckInterval: 20 * time.Millisecond,
			}),
		})
	}
	return c
}

func (c *cluster) runUntil(until time.Duration) {
	for ; c.now.Before(at(until)); c.now = c.now.Add(tickInterval) {
		for _, h := range c.hosts {
			c.step(h)
		}
	}
}

func (c *cluster) step(h *simulatedHost) {
	if !h.readStartedAt.IsZero() {
		c.continueRead(h)
		return
	}
	if c.now.Before(h.waitUntil) {
		return
	}
	step := h.selector.Next(c.now, c.ranked, h.loaded, c.now.Sub(h.confirmedAt))
	switch {
	case step.Wait > 0:
		h.waitUntil = c.now.Add(step.Wait)
	case step.Reader != "":
		c.queryReader(h, step)
	case h.refused:
		h.selector.RecordFailure(c.now, step)
	default:
		h.readStartedAt = c.now
		c.continueRead(h)
	}
}

// continueRead ends the read of the platform in progress when its time is over. A host without a copy reads the whole state;
// any other host watches for changes and receives the change at once.
func (c *cluster) continueRead(h *simulatedHost) {
	newChange := !c.now.Before(c.changedAt) && h.sawChangeAt.IsZero()
	switch {
	case !h.loaded && c.now.Sub(h.readStartedAt) < fullReadTime, h.loaded && !newChange && c.now.Sub(h.readStartedAt) < watchWait:
		return
	}
	c.platformReads++
	h.loaded = true
	h.confirmedAt, h.lastReadAt = h.readStartedAt, h.readStartedAt
	h.readStartedAt, h.waitUntil = time.Time{}, c.now.Add(minWatchInterval)
	h.selector.RecordSuccess(Step{})
	if newChange {
		c.recordChangeSeen(h)
	}
}

func (c *cluster) recordChangeSeen(h *simulatedHost) {
	h.sawChangeAt = c.now
	for subscriber, queriedAt := range h.subscribers {
		if c.now.Sub(queriedAt) < subscriptionTTL {
			subscriber.selector.RecordSuccess(Step{Reader: h.id})
			subscriber.waitUntil = c.now
		}
	}
}

func (c *cluster) queryReader(h *simulatedHost, step Step) {
	for _, reader := range c.hosts {
		if reader.id != step.Reader {
			continue
		}
		if !reader.loaded {
			h.selector.RecordStarting(c.now, step)
			return
		}
		h.loaded = true
		reader.subscribers[h] = c.now
		if reader.confirmedAt.After(h.confirmedAt) {
			h.confirmedAt = reader.confirmedAt
		}
		if !reader.sawChangeAt.IsZero() && h.sawChangeAt.IsZero() {
			c.recordChangeSeen(h)
		}
		if c.now.Sub(reader.lastReadAt) >= recentReadWindow || c.now.Sub(reader.confirmedAt) > staleReaderAge {
			h.selector.RecordFailure(c.now, step)
			return
		}
		h.selector.RecordSuccess(step)
		h.waitUntil = c.now.Add(minProbeInterval)
	}
}

// An endpoint leaves while the platform refuses the reads of the hosts ranked first, among them the active readers. Hosts have
// drainLimit to stop sending requests to a leaving endpoint. Every host that the platform does not refuse must receive the
// change within half that time. Backups that query each other instead of reading the platform delay it.
func TestHostsReceiveChangeInTimeWhenPlatformRefusesReaders(t *testing.T) {
	t.Parallel()
	const drainLimit = 3 * time.Second
	for _, refusedCount := range []int{0, 1, 2, 3, 4, 6} {
		for changedAt := 8 * time.Second; changedAt < 11*time.Second; changedAt += 70 * time.Millisecond {
			c := newCluster(refusedCount, changedAt)
			c.runUntil(changedAt + drainLimit)
			for _, h := range c.hosts[refusedCount:] {
				require.False(t, h.sawChangeAt.IsZero(), "%d hosts refused: host %s did not receive the change", refusedCount, h.id)
				require.Less(t, h.sawChangeAt.Sub(c.changedAt), drainLimit/2, "%d hosts refused: host %s received the change too late", refusedCount, h.id)
			}
		}
	}
}

// After a power failure all hosts start within 100 ms. Each must have a copy within the time that a request waits for one, and
// most must get it from other hosts rather than from the platform.
func TestHostsThatStartTogetherHaveACopyInTime(t *testing.T) {
	t.Parallel()
	const requestWait = 250 * time.Millisecond
	c := newCluster(0, time.Hour)
	for i, h := range c.hosts {
		h.loaded, h.waitUntil = false, at(time.Duration(i*7%10)*tickInterval)
		h.confirmedAt = h.waitUntil
	}
	c.runUntil(requestWait)
	for _, h := range c.hosts {
		require.True(t, h.loaded, "host %s has no copy", h.id)
	}
	require.LessOrEqual(t, c.platformReads, 2*rankedCount)
}

func TestUnrankedHostsShareTheActiveReaders(t *testing.T) {
	t.Parallel()
	ranked := []host.ID{"r-0", "r-1", "b-0", "b-1"}
	followers := map[host.ID]int{}
	const hosts = 300
	for i := range hosts {
		s := NewSourceSelector(SourceSelectorConfig{Self: host.ID(fmt.Sprintf("front-%d", i)), ActiveReaders: 2, DirectReadAge: time.Second, FailureBackoff: time.Second})
		now := time.Unix(1000, 0)
		first := s.Next(now, ranked, true, 0)
		followers[first.Reader]++
		s.RecordFailure(now, first)
		second := s.Next(now, ranked, true, 0)
		require.NotEqual(t, first.Reader, second.Reader)
		require.Contains(t, ranked[:2], second.Reader, "the other active reader comes before the backups")
	}
	require.Len(t, followers, 2)
	require.LessOrEqual(t, max(followers["r-0"], followers["r-1"]), hosts*2/3)
}
