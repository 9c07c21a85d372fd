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
	position := v.catalogue.Position()
	v.mu.Unlock()
	v.n.membership.send(reader, v.probe(sentAt, reader, nonce))
	state, err := v.awaitState(ctx, nonce, reader)
	if err != nil {
		return err
	}
	age := time.Duration(state.AgeMs) * time.Millisecond
	confirmation := catalogue.Confirmation{
		SentAt: sentAt.Add(-age), SteadySince: state.SteadySince.Before(sentAt), OutageEnd: state.OutageEnd.Before(sentAt),
	}
	switch {
	case state.AgeMs < 0:
		return eris.Wrapf(errReaderStarting, "ask reader %s", reader)
	case state.NewestChange.Era < position.Era:
		return eris.Wrapf(errEarlierEra, "ask reader %s", reader)
	case state.NewestChange.After(position):
		err = v.fetchChanges(ctx, reader, position, state.NewestChange, confirmation)
	default:
		v.confirmUnchanged(confirmation, reader)
	}
	switch {
	case err != nil:
		return err
	case age > staleReaderAge:
		return eris.Errorf("ask reader %s: its knowledge is %s old", reader, age)
	case !state.ReadsPlatform:
		return eris.Wrapf(errReaderNotReading, "ask reader %s", reader)
	}
	return nil
}

// errReaderNotReading means that a reader's copy is fresh but will become stale, since the reader does not read the platform
// itself, or no longer can.
var errReaderNotReading = errors.New("the reader does not read the platform itself now")

// errReaderStarting means that a reader has no copy yet because it has just started.
var errReaderStarting = errors.New("the reader has no copy of the store yet")

// errEarlierEra means that what was read is from before the store returned from an older copy, or that a reader has not noticed that yet.
var errEarlierEra = errors.New("it is from an earlier era of the store")

// probe returns the probe for a reader. A host that was not heard to know eras may be one of an earlier release.
func (v *storeView) probe(now time.Time, reader host.ID, nonce uint64) peer.Datagram {
	if v.knowsEras(now, reader) {
		return peer.Datagram{Extensions: peer.Extensions{CopyProbes: []peer.CopyProbe{{Nonce: nonce}}}}
	}
	return peer.Datagram{Probes: []peer.Probe{{Nonce: nonce}}}
}

// knowsEras reports whether a host was heard to know eras a short time ago. If it was not, that is found out anew, since it may have been
// replaced by one of an earlier release.
func (v *storeView) knowsEras(now time.Time, id host.ID) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	heardAt, heard := v.knowEras[id]
	return heard && now.Sub(heardAt) < eraKnowledgeTTL
}

// awaitState waits for the reply to a probe, for at most probeTimeout. Late replies to earlier probes are dropped.
func (v *storeView) awaitState(ctx context.Context, nonce uint64, reader host.ID) (peer.CopyState, error) {
	t := time.NewTimer(probeTimeout)
	defer t.Stop()
	for {
		select {
		case state := <-v.copyStates:
			if state.Nonce == nonce {
				return state, nil
			}
		case <-t.C:
			return peer.CopyState{}, eris.Errorf("ask reader %s: no answer", reader)
		case <-ctx.Done():
			return peer.CopyState{}, eris.Wrapf(ctx.Err(), "ask reader %s", reader)
		}
	}
}

// fetchChanges fetches the changes after a position from a reader, or from a host to which the reader refers, and applies them. newest is that of
// the reader's newest change; a host that had the copy before the store returned from an older one may not have it yet. stated is how the reader
// confirmed its copy.
func (v *storeView) fetchChanges(ctx context.Context, reader host.ID, after, newest catalogue.Position, stated catalogue.Confirmation) error {
	q := peer.UpdateQuery{
		After: after, EraStated: true, Asker: catalogue.Asker{Host: v.n.cfg.Host, DataCentre: v.n.cfg.DataCentre},
	}
	holder, err := v.fetchFrom(ctx, reader, q, stated)
	if err != nil || holder == "" {
		return err
	}
	q.Direct = true
	if _, err := v.fetchFrom(ctx, holder, q, stated); err == nil && !newest.After(v.position()) {
		return nil
	}
	q.After = v.position()
	_, err = v.fetchFrom(ctx, reader, q, stated)
	return err
}

// fetchFrom sends a query to a host and applies the update, of which a reader has stated what it knows of outages. If holder is not empty, that host
// has the update, and nothing was applied.
func (v *storeView) fetchFrom(ctx context.Context, id host.ID, q peer.UpdateQuery, stated catalogue.Confirmation) (holder host.ID, err error) {
	address, known := v.n.membership.readerAddress(id)
	if !known {
		return "", eris.Errorf("fetch from reader %s: unknown host", id)
	}
	sentAt := timer.BootClock()
	update, holder, err := peer.FetchStoreUpdate(ctx, v.client, address, q)
	if err != nil || holder != "" {
		return holder, err
	}
	stated.SentAt = sentAt.Add(-time.Duration(update.AgeMs) * time.Millisecond)
	err = v.applyResult(readResult{source: string(id), entries: update.Entries, update: catalogue.Update{
		Confirmation: stated, Position: update.Position(q.After.Era), Full: update.Full, SetEra: update.SetEra,
	}})
	return "", eris.Wrapf(err, "fetch from reader %s", id)
}

// handle processes the messages between readers and other hosts. It replies to probes, which also subscribe their senders to
// notices, and passes replies to awaitState. It wakes refreshLoop when a notice reports a change that this host lacks, or that the
// sender can't read the platform any more.
func (v *storeView) handle(now time.Time, d peer.Datagram) {
	v.handleSetState(now, d)
	for _, probe := range d.Probes {
		state := v.stateFor(now, d.From, probe.Nonce, false)
		// The first of the two tells a host of this release that the second, for one of an earlier release, is not for it.
		v.n.membership.send(d.From, peer.Datagram{Extensions: peer.Extensions{CopyStates: []peer.CopyState{state}}})
		v.n.membership.send(d.From, peer.Datagram{ProbeReplies: []peer.ProbeReply{state.WithoutEra()}})
	}
	for _, probe := range d.Extensions.CopyProbes {
		state := v.stateFor(now, d.From, probe.Nonce, true)
		v.n.membership.send(d.From, peer.Datagram{Extensions: peer.Extensions{CopyStates: []peer.CopyState{state}}})
	}
	states, notices := v.inOwnEra(now, d)
	for _, state := range states {
		select {
		case v.copyStates <- state:
		default:
		}
	}
	for _, notice := range notices {
		v.handleNotice(now, d.From, notice)
	}
}

// stateFor subscribes a host to notices and returns the state of this host's copy.
func (v *storeView) stateFor(now time.Time, id host.ID, nonce uint64, knowsEras bool) peer.CopyState {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscribers[id] = subscriber{probedAt: now, knowsEras: knowsEras}
	state := peer.CopyState{
		Nonce: nonce, NewestChange: v.history.NewestChange(), AgeMs: v.catalogue.Age(now).Milliseconds() + 1,
		ReadsPlatform: now.Sub(v.lastStoreReadAt) < recentReadWindow,
		OutageEnd:     peer.AgoAt(now, v.catalogue.OutageEnd()), SteadySince: peer.AgoAt(now, v.catalogue.SteadySince()),
	}
	if !v.history.Position().Loaded() {
		state.AgeMs = -1
	}
	return state
}

// inOwnEra returns the states and notices of a datagram. Those without an era are taken to be in this host's era, or are left out if their
// sender knows eras: it also sends them with one.
func (v *storeView) inOwnEra(now time.Time, d peer.Datagram) (states []peer.CopyState, notices []peer.CopyNotice) {
	states, notices = d.Extensions.CopyStates, d.Extensions.CopyNotices
	if len(states)+len(notices) > 0 {
		v.mu.Lock()
		v.knowEras[d.From] = now
		v.mu.Unlock()
	}
	if len(d.ProbeReplies)+len(d.Notices) == 0 || v.knowsEras(now, d.From) {
		return states, notices
	}
	era := v.position().Era
	for _, reply := range d.ProbeReplies {
		states = append(states, reply.InEra(era))
	}
	for _, notice := range d.Notices {
		notices = append(notices, notice.InEra(era))
	}
	return states, notices
}

func (v *storeView) handleNotice(now time.Time, from host.ID, notice peer.CopyNotice) {
	v.mu.Lock()
	shouldRefresh := notice.NewestChange.After(v.catalogue.Position()) || notice.ReadFailed
	if notice.ReadFailed {
		v.selector.RecordFailure(now, catalogue.Step{Reader: from})
	} else {
		v.selector.RecordSuccess(catalogue.Step{Reader: from})
	}
	v.mu.Unlock()
	if shouldRefresh {
		v.wake()
	}
}

// wake ends the current or the next wait of refreshLoop.
func (v *storeView) wake() {
	select {
	case v.wakeups <- struct{}{}:
	default:
	}
}

// subscriber is a host that gets notices of changes.
type subscriber struct {
	// probedAt is when its last probe arrived.
	probedAt  time.Time
	knowsEras bool
}

// notifySubscribers sends a notice to all hosts that probed this one within subscriptionTTL and removes the others.
func (v *storeView) notifySubscribers(now time.Time, notice peer.CopyNotice) {
	withEra := peer.Datagram{Extensions: peer.Extensions{CopyNotices: []peer.CopyNotice{notice}}}
	withoutEra := peer.Datagram{Notices: []peer.Notice{notice.WithoutEra()}}
	v.mu.Lock()
	recipients := make(map[host.ID]peer.Datagram, len(v.subscribers))
	for id, s := range v.subscribers {
		switch {
		case now.Sub(s.probedAt) > subscriptionTTL:
			delete(v.subscribers, id)
		case s.knowsEras:
			recipients[id] = withEra
		default:
			recipients[id] = withoutEra
		}
	}
	v.mu.Unlock()
	for id, d := range recipients {
		v.n.membership.send(id, d)
	}
}
