package node

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/timer"
)

// queryReader probes a reader and fetches the changes that this host lacks. What it received is kept also when it returns an
// error about the reader's state: a stale copy, or errReaderNotReading.
func (v *storeView) queryReader(ctx context.Context, sentAt time.Time, reader host.ID) error {
	v.mu.Lock()
	v.lastNonce++
	nonce := v.lastNonce
	revision := v.catalogue.Revision()
	v.mu.Unlock()
	v.n.members.send(reader, peer.Datagram{Probes: []peer.Probe{{Nonce: nonce}}})
	confirm, err := v.awaitConfirm(ctx, nonce, reader)
	if err != nil {
		return err
	}
	age := time.Duration(confirm.AgeMs) * time.Millisecond
	switch {
	case confirm.AgeMs < 0:
		return eris.Wrapf(errReaderStarting, "ask reader %s", reader)
	case confirm.NewestChange > revision:
		err = v.fetchChanges(ctx, reader, revision)
	default:
		v.confirmUnchanged(sentAt.Add(-age))
	}
	switch {
	case err != nil:
		return err
	case age > staleReaderAge:
		return eris.Errorf("ask reader %s: its knowledge is %s old", reader, age)
	case !confirm.ReadsPlatform:
		return eris.Wrapf(errReaderNotReading, "ask reader %s", reader)
	}
	return nil
}

// errReaderNotReading means that a reader's copy is fresh but will become stale, since the reader does not read the platform itself.
var errReaderNotReading = errors.New("the reader does not read the platform itself")

// errReaderStarting means that a reader has no copy yet because it has just started.
var errReaderStarting = errors.New("the reader has no copy of the store yet")

// awaitConfirm waits for the reply to a probe, for at most probeTimeout. Late replies to earlier probes are dropped.
func (v *storeView) awaitConfirm(ctx context.Context, nonce uint64, reader host.ID) (peer.ProbeReply, error) {
	t := time.NewTimer(probeTimeout)
	defer t.Stop()
	for {
		select {
		case confirm := <-v.confirms:
			if confirm.Nonce == nonce {
				return confirm, nil
			}
		case <-t.C:
			return peer.ProbeReply{}, eris.Errorf("ask reader %s: no answer", reader)
		case <-ctx.Done():
			return peer.ProbeReply{}, eris.Wrapf(ctx.Err(), "ask reader %s", reader)
		}
	}
}

// fetchChanges fetches the changes after a revision from a reader and applies them.
func (v *storeView) fetchChanges(ctx context.Context, reader host.ID, after catalogue.Revision) error {
	address, known := v.n.members.readerAddress(reader)
	if !known {
		return eris.Errorf("fetch from reader %s: unknown host", reader)
	}
	sentAt := timer.BootClock()
	k, err := peer.FetchStoreUpdate(ctx, v.client, address, after)
	if err != nil {
		return err
	}
	v.apply(sentAt.Add(-time.Duration(k.AgeMs)*time.Millisecond), k.Entries, k.Revision, k.Full)
	return nil
}

// changesAfter returns the changes after a revision, to be sent to another host; false while this host has no copy.
func (v *storeView) changesAfter(after catalogue.Revision) (peer.StoreUpdate, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.history.Revision() == 0 {
		return peer.StoreUpdate{}, false
	}
	entries, full := v.history.Since(after)
	return peer.StoreUpdate{
		Revision: v.history.Revision(), Full: full, Entries: entries, AgeMs: v.catalogue.Age(timer.BootClock()).Milliseconds() + 1,
	}, true
}

// handle processes the messages between readers and other hosts. It replies to probes, which also subscribe their senders to
// notices, and passes confirmations to awaitConfirm. It wakes refreshLoop when a notice reports a change that this host lacks, or
// that the sender can't read the platform any more.
func (v *storeView) handle(now time.Time, d peer.Datagram) {
	for _, probe := range d.Probes {
		v.mu.Lock()
		confirm := peer.ProbeReply{Nonce: probe.Nonce, NewestChange: v.history.NewestChange(), AgeMs: v.catalogue.Age(now).Milliseconds() + 1}
		if v.history.Revision() == 0 {
			confirm.AgeMs = -1
		}
		confirm.ReadsPlatform = now.Sub(v.lastStoreReadAt) < recentReadWindow
		v.subscribers[d.From] = now
		v.mu.Unlock()
		v.n.members.send(d.From, peer.Datagram{ProbeReplies: []peer.ProbeReply{confirm}})
	}
	for _, c := range d.ProbeReplies {
		select {
		case v.confirms <- c:
		default:
		}
	}
	for _, notice := range d.Notices {
		v.mu.Lock()
		shouldRefresh := notice.NewestChange > v.catalogue.Revision() || notice.ReadFailed
		if notice.ReadFailed {
			v.selector.RecordFailure(now, catalogue.Step{Reader: d.From})
		} else {
			v.selector.RecordSuccess(catalogue.Step{Reader: d.From})
		}
		v.mu.Unlock()
		if shouldRefresh {
			v.wake()
		}
	}
}

// wake ends the current or the next wait of refreshLoop.
func (v *storeView) wake() {
	select {
	case v.wakeups <- struct{}{}:
	default:
	}
}

// notifySubscribers sends a notice to all hosts that probed this one within subscriptionTTL and removes the others.
func (v *storeView) notifySubscribers(now time.Time, notice peer.Notice) {
	v.mu.Lock()
	var recipients []host.ID
	for id, probedAt := range v.subscribers {
		if now.Sub(probedAt) > subscriptionTTL {
			delete(v.subscribers, id)
			continue
		}
		recipients = append(recipients, id)
	}
	v.mu.Unlock()
	for _, id := range recipients {
		v.n.members.send(id, peer.Datagram{Notices: []peer.Notice{notice}})
	}
}
