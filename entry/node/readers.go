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

// queryReader probes a reader and fetches the changes that this host lacks. It updates the copy even when it returns an error
// because the reader's copy is stale or the reader does not read the platform (errReaderNotReading).
func (v *storeView) queryReader(ctx context.Context, sentAt time.Time, reader host.ID) error {
	v.mu.Lock()
	v.lastNonce++
	nonce := v.lastNonce
	revision := v.catalogue.Revision()
	v.mu.Unlock()
	v.n.membership.send(reader, peer.Datagram{Probes: []peer.Probe{{Nonce: nonce}}})
	reply, err := v.awaitProbeReply(ctx, nonce, reader)
	if err != nil {
		return err
	}
	age := time.Duration(reply.AgeMs) * time.Millisecond
	switch {
	case reply.AgeMs < 0:
		return eris.Wrapf(errReaderStarting, "ask reader %s", reader)
	case reply.NewestChange > revision:
		err = v.fetchChanges(ctx, reader, revision)
	default:
		v.confirmUnchanged(sentAt.Add(-age))
	}
	switch {
	case err != nil:
		return err
	case age > staleReaderAge:
		return eris.Errorf("ask reader %s: its knowledge is %s old", reader, age)
	case !reply.ReadsPlatform:
		return eris.Wrapf(errReaderNotReading, "ask reader %s", reader)
	}
	return nil
}

// errReaderNotReading means that a reader's copy is fresh but will become stale, since the reader does not read the platform
// itself, or no longer can.
var errReaderNotReading = errors.New("the reader does not read the platform itself now")

// errReaderStarting means that a reader has no copy yet because it has just started.
var errReaderStarting = errors.New("the reader has no copy of the store yet")

// awaitProbeReply waits for the reply to a probe, for at most probeTimeout. Late replies to earlier probes are dropped.
func (v *storeView) awaitProbeReply(ctx context.Context, nonce uint64, reader host.ID) (peer.ProbeReply, error) {
	t := time.NewTimer(probeTimeout)
	defer t.Stop()
	for {
		select {
		case reply := <-v.probeReplies:
			if reply.Nonce == nonce {
				return reply, nil
			}
		case <-t.C:
			return peer.ProbeReply{}, eris.Errorf("ask reader %s: no answer", reader)
		case <-ctx.Done():
			return peer.ProbeReply{}, eris.Wrapf(ctx.Err(), "ask reader %s", reader)
		}
	}
}

// fetchChanges fetches the changes after a revision from a reader, or from a host to which the reader refers, and applies them.
func (v *storeView) fetchChanges(ctx context.Context, reader host.ID, after catalogue.Revision) error {
	q := peer.UpdateQuery{After: after, Asker: catalogue.Asker{Host: v.n.cfg.Host, DataCentre: v.n.cfg.DataCentre}}
	holder, err := v.fetchFrom(ctx, reader, q)
	if err != nil || holder == "" {
		return err
	}
	q.Direct = true
	if _, err := v.fetchFrom(ctx, holder, q); err == nil {
		return nil
	}
	_, err = v.fetchFrom(ctx, reader, q)
	return err
}

// fetchFrom sends a query to a host and applies the update. If holder is not empty, that host has the update, and nothing was applied.
func (v *storeView) fetchFrom(ctx context.Context, id host.ID, q peer.UpdateQuery) (holder host.ID, err error) {
	address, known := v.n.membership.readerAddress(id)
	if !known {
		return "", eris.Errorf("fetch from reader %s: unknown host", id)
	}
	sentAt := timer.BootClock()
	update, holder, err := peer.FetchStoreUpdate(ctx, v.client, address, q)
	if err != nil || holder != "" {
		return holder, err
	}
	v.apply(sentAt.Add(-time.Duration(update.AgeMs)*time.Millisecond), update.Entries, update.Revision, update.Full)
	return "", nil
}

// handle processes the messages between readers and other hosts. It replies to probes, which also subscribe their senders to
// notices, and passes probe replies to awaitProbeReply. It wakes refreshLoop when a notice reports a change that this host lacks,
// or that the sender can't read the platform any more.
func (v *storeView) handle(now time.Time, d peer.Datagram) {
	for _, probe := range d.Probes {
		v.mu.Lock()
		reply := peer.ProbeReply{Nonce: probe.Nonce, NewestChange: v.history.NewestChange(), AgeMs: v.catalogue.Age(now).Milliseconds() + 1}
		if v.history.Revision() == 0 {
			reply.AgeMs = -1
		}
		reply.ReadsPlatform = now.Sub(v.lastStoreReadAt) < recentReadWindow
		v.subscribers[d.From] = now
		v.mu.Unlock()
		v.n.membership.send(d.From, peer.Datagram{ProbeReplies: []peer.ProbeReply{reply}})
	}
	for _, reply := range d.ProbeReplies {
		select {
		case v.probeReplies <- reply:
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
		v.n.membership.send(id, peer.Datagram{Notices: []peer.Notice{notice}})
	}
}
