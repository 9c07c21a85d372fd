package node

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

const (
	// setConfirmations is how many hosts a process that starts must have heard before it puts its first set in force at once. Otherwise it waits
	// until it is setDiscoveryTime old, or loneDiscoveryTime if it has met no host: a round of heartbeats of the others, or two.
	setConfirmations  = 2
	setDiscoveryTime  = heartbeatInterval + startupRoundInterval
	loneDiscoveryTime = 2*heartbeatInterval + startupRoundInterval
	// setFetchDelay is how long a newer set that another host announced may take to arrive with the copy of the store before it is fetched.
	setFetchDelay = 200 * time.Millisecond
	// setFetchBackoff is how long the set of a host is not fetched again after a fetch failed.
	setFetchBackoff = time.Second
	// setFetchTimeout limits the time of a fetch: a host that starts has no set in force until then.
	setFetchTimeout = 500 * time.Millisecond
	// setStateLifetime is how long the announcement of a set counts.
	setStateLifetime = 5 * time.Second
)

func newPeerSets() *catalogue.PeerSets {
	return catalogue.NewPeerSets(catalogue.PeerSetsConfig{
		Confirmations: setConfirmations, DiscoveryTime: setDiscoveryTime, LoneDiscoveryTime: loneDiscoveryTime,
		FetchDelay: setFetchDelay, FailureBackoff: setFetchBackoff, Lifetime: setStateLifetime, RecheckInterval: sourceRecheckInterval,
	})
}

// setState returns what this host announces of its newest set.
func (v *storeView) setState() catalogue.SetState {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.ownSet()
}

// ownSet is setState for callers that hold mu.
func (v *storeView) ownSet() catalogue.SetState {
	version, _ := v.catalogue.SetVersion()
	return catalogue.SetState{Version: version, InForce: v.inForce != nil}
}

// newestSet returns the newest set that this host has read or fetched.
func (v *storeView) newestSet() peer.Set {
	v.mu.RLock()
	defer v.mu.RUnlock()
	_, era := v.catalogue.SetVersion()
	return peer.Set{Value: v.setValue, Era: era}
}

// handleSetState records what another host announces of its set.
func (v *storeView) handleSetState(now time.Time, d peer.Datagram) {
	if d.Extensions.SetState == nil {
		return
	}
	v.mu.Lock()
	next := v.peerSets.Announced(now, d.From, d.Extensions.SetState.ToCatalogue(), v.ownSet())
	v.mu.Unlock()
	if next {
		v.wakeSets()
	}
}

// wakeSets ends the current or the next wait of followSets.
func (v *storeView) wakeSets() {
	select {
	case v.setWakeups <- struct{}{}:
	default:
	}
}

// followSets puts the first set in force once that is safe, and fetches newer sets that other hosts announce, until ctx ends.
func (v *storeView) followSets(ctx context.Context) {
	for ctx.Err() == nil {
		now := timer.BootClock()
		around := v.n.membership.surroundings(now.Sub(v.startedAt))
		v.mu.Lock()
		step := v.peerSets.Next(now, v.ownSet(), around)
		v.mu.Unlock()
		switch {
		case step.Use:
			v.useFirstSet(now)
		case step.Fetch == "":
			v.waitForSets(ctx, step.Wait)
		default:
			if err := v.fetchSet(ctx, step.Fetch); err != nil {
				v.recordSetFailure(step.Fetch, err)
			}
		}
	}
}

// errSetNotNewer means that a host no longer has the set that it announced, or that this host got it otherwise meanwhile.
var errSetNotNewer = errors.New("the set is not newer than this host's own")

func (v *storeView) recordSetFailure(from host.ID, err error) {
	now := timer.BootClock()
	v.mu.Lock()
	v.peerSets.FetchFailed(now, from)
	v.mu.Unlock()
	if !errors.Is(err, errSetNotNewer) {
		event.LogText(v.n.log, zerolog.WarnLevel, event.PlatformUnreachable).Str("Source", string(from)).Dur("BeliefMs", v.age(now)).Err(err).Send()
	}
}

// waitForSets waits for d, or without limit if d is 0; an announcement of a newer set or the end of ctx ends the wait.
func (v *storeView) waitForSets(ctx context.Context, d time.Duration) {
	var elapsed <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		elapsed = t.C
	}
	select {
	case <-elapsed:
	case <-v.setWakeups:
	case <-ctx.Done():
	}
}

// fetchSet fetches the newest set of a host and puts it in force.
func (v *storeView) fetchSet(ctx context.Context, from host.ID) error {
	address, known := v.n.membership.readerAddress(from)
	if !known {
		return eris.Errorf("fetch set from %s: unknown host", from)
	}
	set, err := peer.FetchSet(ctx, v.client, address, setFetchTimeout)
	if err != nil {
		return eris.Wrapf(err, "fetch set of host %s", from)
	}
	return eris.Wrapf(v.adopt(set), "adopt set of host %s", from)
}

// adopt puts a set of another host in force if it is newer than this host's own, and passes it on to hosts that start.
func (v *storeView) adopt(fetched peer.Set) error {
	publication, err := platform.Decode(platform.Change{Key: platform.SetKey(), Value: fetched.Value})
	if err != nil {
		return eris.Wrap(err, "decode set")
	}
	v.applying.Lock()
	defer v.applying.Unlock()
	now := timer.BootClock()
	v.mu.Lock()
	if !v.catalogue.Adopt(publication.Set, fetched.Era) {
		v.mu.Unlock()
		return errSetNotNewer
	}
	v.setValue = fetched.Value
	entry := catalogue.Entry{Key: platform.SetKey(), Value: fetched.Value}
	v.history.Record(now, []catalogue.Entry{entry}, v.history.Position(), false)
	v.mu.Unlock()
	v.propagate(now, catalogue.Difference{Set: publication.Set})
	return nil
}
