package node

import (
	"context"
	"sync"
	"time"

	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/timer"
)

// copyServer serves this host's copy of the store to other hosts. It is safe for concurrent use.
type copyServer struct {
	view *storeView

	mu           sync.Mutex
	distribution *catalogue.Distribution
	// compressed holds the compressed entries after a position, as of the generation of the history.
	compressed map[catalogue.Position]entriesAfter
	generation uint64
}

// entriesAfter is the result of catalogue.History.Since, compressed.
type entriesAfter struct {
	entries peer.CompressedEntries
	full    bool
}

const (
	// minReferredBytes is the size of a complete copy, compressed, from which it is distributed within data centres.
	minReferredBytes = 32 << 10
	// maxCopyFollowers is how many hosts get the copy from one that is no reader.
	maxCopyFollowers = 4
	// copyTransferTime is the time after which a host that was referred to another is taken to have the copy.
	copyTransferTime = 300 * time.Millisecond
	// copyHolderLifetime is how long hosts are referred to one that got the copy.
	copyHolderLifetime = 5 * time.Second
	// referralPollInterval is the time between checks for a host that has the copy, and maxReferralWait the longest time for which a host that
	// asks is kept waiting for one; it gets the copy from this host then.
	referralPollInterval = 20 * time.Millisecond
	maxReferralWait      = 600 * time.Millisecond
)

func newCopyServer(v *storeView) *copyServer {
	return &copyServer{view: v, compressed: make(map[catalogue.Position]entriesAfter), distribution: catalogue.NewDistribution(catalogue.DistributionConfig{
		MinBytes: minReferredBytes, MaxFollowers: maxCopyFollowers, TransferTime: copyTransferTime, Lifetime: copyHolderLifetime,
	})}
}

// PrepareUpdate implements peer.UpdateSource.
func (c *copyServer) PrepareUpdate(ctx context.Context, q peer.UpdateQuery) (u peer.OutgoingUpdate, holder host.ID, err error) {
	u, err = c.load(c.position(q))
	if err != nil || !u.Full || q.Direct {
		return u, "", err
	}
	for waited := time.Duration(0); waited < maxReferralWait; waited += referralPollInterval {
		r := c.refer(q.Asker, len(u.Entries))
		if !r.Wait {
			return u, r.To, nil
		}
		if !timer.Sleep(ctx, referralPollInterval) {
			return u, "", ctx.Err()
		}
	}
	return u, "", nil
}

// UpdateSent implements peer.UpdateSource.
func (c *copyServer) UpdateSent(q peer.UpdateQuery, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.distribution.Failed(q.Asker)
		return
	}
	c.distribution.Served(timer.BootClock(), q.Asker)
}

func (c *copyServer) refer(a catalogue.Asker, size int) catalogue.Referral {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.distribution.Refer(timer.BootClock(), a, size)
}

// position returns the position of the asking host's copy. That of a host of an earlier release is taken to be in this host's era.
func (c *copyServer) position(q peer.UpdateQuery) catalogue.Position {
	if !q.EraStated {
		q.After.Era = c.view.position().Era
	}
	return q.After
}

// load returns the changes after a position. Hosts that ask for the same changes get the same compressed entries.
func (c *copyServer) load(after catalogue.Position) (peer.OutgoingUpdate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, list, compressed, err := c.snapshot(after)
	if err != nil || compressed {
		return u, err
	}
	if u.Entries, err = peer.CompressEntries(list); err != nil {
		return peer.OutgoingUpdate{}, err
	}
	c.compressed[after] = entriesAfter{entries: u.Entries, full: u.Full}
	return u, nil
}

// snapshot returns the update after a position as of now. If its entries are not compressed yet, list holds them. mu must be held.
func (c *copyServer) snapshot(after catalogue.Position) (u peer.OutgoingUpdate, list []catalogue.Entry, compressed bool, err error) {
	c.view.mu.RLock()
	defer c.view.mu.RUnlock()
	history := c.view.history
	if !history.Position().Loaded() {
		return u, nil, false, peer.ErrNoCopy
	}
	if c.generation != history.Generation() {
		clear(c.compressed)
		c.generation = history.Generation()
	}
	u = peer.OutgoingUpdate{Position: history.Position(), AgeMs: c.view.catalogue.Age(timer.BootClock()).Milliseconds() + 1}
	_, u.SetEra = c.view.catalogue.SetVersion()
	if found, ok := c.compressed[after]; ok {
		u.Full, u.Entries = found.full, found.entries
		return u, nil, true, nil
	}
	list, u.Full = history.Since(after)
	return u, list, false, nil
}
