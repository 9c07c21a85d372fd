package node

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/answer"
	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

// storeView is this host's copy of the platform's store. The platform is the system that publishes the configuration set and
// the registered endpoints; a reader is a host that reads its store and serves what it read to other hosts. refreshLoop keeps
// the copy fresh, from the store or from readers, and changes are passed on to the slotManager. It is safe for concurrent use.
type storeView struct {
	n      *Node
	client *http.Client
	// wakeups ends the wait between two refreshes early, after a notice from a reader.
	wakeups chan struct{}
	// loaded is closed when the first set is in force.
	loaded chan struct{}
	// startedAt is when the process started, by the boot clock.
	startedAt time.Time
	// confirmationWaiters is how many calls of awaitChangesBefore wait.
	confirmationWaiters atomic.Int64
	// setWakeups ends the wait of followSets early.
	setWakeups chan struct{}

	// applying is held from a change of the catalogue until it is passed on, so that sets are put in force in their order.
	applying sync.Mutex

	mu        sync.RWMutex
	catalogue *catalogue.Catalogue
	// setValue is the entry's value from which the catalogue's set was read.
	setValue []byte
	// passedOnAt is when the newest read was sent whose changes are known to the other parts of this host.
	passedOnAt time.Time
	// inForce is the newest set whose endpoints, those of the same read, are known to the other parts of this host.
	inForce *site.Set
	// firstSet is the first set of this process until it is in force, which followSets decides.
	firstSet *site.Set
	// peerSets decides about the sets that other hosts announce.
	peerSets *catalogue.PeerSets
	history  *catalogue.History
	selector *catalogue.SourceSelector
	// lastNonce is the number of the last probe, and copyStates receives the replies to probes.
	lastNonce  uint64
	copyStates chan peer.CopyState
	// subscribers holds the hosts that get notices of changes.
	subscribers map[host.ID]subscriber
	// knowEras holds the hosts that send and read messages with an era, with the time at which one was last received.
	knowEras map[host.ID]time.Time

	// lastStoreReadAt is when this host's last read of the store was sent; zero if that read failed.
	lastStoreReadAt time.Time

	// refreshFailing is true from a failed refresh until one succeeds; errReaderStarting and errReaderNotReading do not change
	// it. Only the goroutine of refreshLoop uses it.
	refreshFailing bool
}

const (
	// leaseMargin is subtracted from RevokeLimit to give the lease of a set: how long after its last confirmation it may be used.
	leaseMargin = 600 * time.Millisecond
	// recoveryGrace is how long after an outage of the platform registrations that expired during it are kept.
	recoveryGrace = 2200 * time.Millisecond
	// outageThreshold is the time without a confirmation that is treated as an outage of the platform.
	outageThreshold = 2500 * time.Millisecond
	// returnHold is how long an endpoint that was removed gets no requests if an older copy of the store has its registration.
	returnHold = 5 * time.Second
	// watchWait is how long the store waits for a change before it answers a watch, and confirmingWatchWait that while something waits for a copy
	// that is up to date.
	watchWait           = 1000 * time.Millisecond
	confirmingWatchWait = 10 * time.Millisecond
	// confirmationTimeout is how long a caller waits for such a copy: until the current watch has ended and the next one has begun.
	// confirmationPollInterval is the time between checks.
	confirmationTimeout      = watchWait + minWatchInterval
	confirmationPollInterval = 20 * time.Millisecond
	// minWatchInterval is the least time from a successful read of the store to the next refresh, and minProbeInterval that from
	// a successful query of a reader. Both run from the start of the read or query. A notice from a reader ends them early.
	minWatchInterval = 300 * time.Millisecond
	minProbeInterval = 600 * time.Millisecond
	// probeTimeout limits the time in which a reader has to reply to a probe.
	probeTimeout = 150 * time.Millisecond
	// recentReadWindow is how long after a successful read of the store a host reports to others that it reads the platform.
	recentReadWindow = 2500 * time.Millisecond
	// staleReaderAge is the age of a reader's copy above which the reader is treated as failed.
	staleReaderAge = 2400 * time.Millisecond
	// activeReaders is how many hosts of a region read the platform continuously.
	activeReaders = 2
	// directReadAge is the age of its copy from which a host that is not a ranked reader reads the platform itself when it can
	// query no reader. firstReadDelay is how long a new process without a copy waits for readers before it reads the platform
	// itself; an active reader waits for startupBackoff instead.
	directReadAge  = 2400 * time.Millisecond
	firstReadDelay = 150 * time.Millisecond
	// sourceRecheckInterval is the time between checks while no source can be used. startupBackoff is how long a reader that has
	// no copy yet, because it has just started, is not queried again.
	sourceRecheckInterval = 20 * time.Millisecond
	startupBackoff        = 30 * time.Millisecond
	// failureBackoff is how long a source that failed, a reader or the platform, is not used.
	failureBackoff = 500 * time.Millisecond
	// platformBackoff is how long after a failed read of the platform a host queries other readers before the platform. While
	// its copy is younger than directReadAge and there are other readers, it does not read the platform at all in that time.
	platformBackoff = 2 * time.Second
	// subscriptionTTL is how long after its last probe a host gets notices of changes.
	subscriptionTTL = 3 * time.Second
	// eraKnowledgeTTL is how long a host is taken to know eras of the store after it was heard to do so.
	eraKnowledgeTTL = 10 * time.Second
	// readerConnIdleTimeout is how long an idle connection to a reader is kept.
	readerConnIdleTimeout = 10 * time.Second
)

func newStoreView(n *Node) *storeView {
	return &storeView{
		n: n, wakeups: make(chan struct{}, 1), setWakeups: make(chan struct{}, 1), loaded: make(chan struct{}), copyStates: make(chan peer.CopyState, 1),
		subscribers: make(map[host.ID]subscriber), knowEras: make(map[host.ID]time.Time),
		client: &http.Client{Transport: answer.Transport{Base: &http.Transport{
			DialContext: n.dialPeer, MaxIdleConnsPerHost: 1, IdleConnTimeout: readerConnIdleTimeout, DisableCompression: true,
		}}},
		history: catalogue.NewHistory(), peerSets: newPeerSets(),
		selector: catalogue.NewSourceSelector(catalogue.SourceSelectorConfig{
			Self: n.cfg.Host, ActiveReaders: activeReaders, DirectReadAge: directReadAge, FirstReadDelay: firstReadDelay,
			PlatformBackoff: platformBackoff, FailureBackoff: failureBackoff, StartupBackoff: startupBackoff, RecheckInterval: sourceRecheckInterval,
		}),
		startedAt: timer.BootClock(),
		catalogue: catalogue.New(catalogue.Config{
			Lease: n.cfg.RevokeLimit - leaseMargin, RecoveryGrace: recoveryGrace, OutageThreshold: outageThreshold, ReturnHold: returnHold,
		}),
	}
}

// age returns the age of the copy; negative while there is none.
func (v *storeView) age(now time.Time) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if !v.catalogue.Position().Loaded() {
		return -time.Millisecond
	}
	return v.catalogue.Age(now)
}

func (v *storeView) setLease(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.catalogue.SetLease(d)
}

// tick removes endpoints that did not register again within recoveryGrace after an outage, uses those that were held back for returnHold, and
// forgets hosts that were not heard lately.
func (v *storeView) tick(now time.Time) {
	v.mu.Lock()
	difference := v.catalogue.Tick(now)
	maps.DeleteFunc(v.knowEras, func(_ host.ID, heardAt time.Time) bool { return now.Sub(heardAt) >= eraKnowledgeTTL })
	v.mu.Unlock()
	v.propagate(now, difference)
}

// refreshLoop keeps the copy fresh until ctx ends. It first waits a short time to discover other hosts, which may be readers.
func (v *storeView) refreshLoop(ctx context.Context) {
	v.n.membership.awaitDiscovery(ctx)
	for ctx.Err() == nil {
		sentAt := timer.BootClock()
		v.mu.Lock()
		loaded, age := v.catalogue.Position().Loaded(), v.catalogue.Age(sentAt)
		if !loaded {
			age = sentAt.Sub(v.startedAt)
		}
		step := v.selector.Next(sentAt, v.n.membership.rankedReaders(), loaded, age)
		v.mu.Unlock()
		if step.Wait > 0 {
			v.waitForUpdate(ctx, step.Wait)
			continue
		}
		minInterval, err := v.executeStep(ctx, sentAt, step)
		v.recordStep(sentAt, step, err)
		if err == nil {
			v.waitForUpdate(ctx, minInterval-timer.BootClock().Sub(sentAt))
		}
	}
}

// waitForUpdate waits for d, or less if a notice from a reader arrives or ctx ends.
func (v *storeView) waitForUpdate(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-v.wakeups:
	case <-ctx.Done():
	}
}

// executeStep carries out a step of the source selector. After a success it returns the least time between the starts of this
// step and the next.
func (v *storeView) executeStep(ctx context.Context, sentAt time.Time, step catalogue.Step) (time.Duration, error) {
	if step.Reader != "" {
		return minProbeInterval, v.queryReader(ctx, sentAt, step.Reader)
	}
	page, position, full, err := v.readStore(ctx)
	if err != nil {
		return 0, err
	}
	return minWatchInterval, v.apply(sentAt, entriesOf(page), position, full)
}

// entriesOf returns the entries of a read of the store.
func entriesOf(page platform.Page) []catalogue.Entry {
	entries := make([]catalogue.Entry, len(page.Changes))
	for i, c := range page.Changes {
		entries[i] = catalogue.Entry{Key: c.Key, Value: c.Value, Removed: c.Removed, Revision: catalogue.Revision(c.Revision)}
	}
	return entries
}

// readStore watches the store for changes after the copy's position. It reads the whole store, and full is true, if there is no copy yet, the
// store no longer has the changes after that position, or it returned from an older copy and has given their revisions out again.
func (v *storeView) readStore(ctx context.Context) (page platform.Page, at catalogue.Position, full bool, err error) {
	position := v.position()
	if position.Loaded() {
		page, err = v.n.store.Watch(ctx, "", platform.Revision(position.Revision), v.nextWatchWait(timer.BootClock()))
		at = positionOf(page, position.Era)
		if err != nil && !errors.Is(err, platform.ErrHistoryLost) || err == nil && at.Era <= position.Era {
			return page, at, false, err
		}
	}
	page, err = v.n.store.Range(ctx, "")
	return page, positionOf(page, position.Era), true, err
}

// positionOf returns the position of a read. A store that states no era is taken to be in that of the copy.
func positionOf(page platform.Page, copyEra catalogue.Era) catalogue.Position {
	at := catalogue.Position{Era: copyEra, Revision: catalogue.Revision(page.Revision)}
	if page.EraStated {
		at.Era = catalogue.Era(page.Era)
	}
	return at
}

// position returns that of this host's copy.
func (v *storeView) position() catalogue.Position {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.catalogue.Position()
}

// decode returns the changes of entries, in the same order, and the value from which each set was decoded. An entry that can't be decoded is
// logged; an undecodable registration is treated as the removal of its endpoint.
func (v *storeView) decode(entries []catalogue.Entry) (changes []catalogue.Change, setValues map[*site.Set][]byte) {
	setValues = make(map[*site.Set][]byte)
	for _, e := range entries {
		publication, err := platform.Decode(platform.Change{Key: e.Key, Value: e.Value, Removed: e.Removed})
		if err != nil {
			event.LogText(v.n.log, zerolog.WarnLevel, event.RegistrationUnreadable).Str("Key", e.Key).Err(err).Send()
		}
		switch {
		case publication.Set != nil:
			changes = append(changes, catalogue.Published{Set: publication.Set})
			setValues[publication.Set] = e.Value
		case publication.Endpoint != nil:
			changes = append(changes, catalogue.Registered{Record: *publication.Endpoint})
		case publication.Removed != "":
			changes = append(changes, catalogue.Removed{ID: publication.Removed})
		case publication.Evacuated != "":
			changes = append(changes, catalogue.Evacuated{DataCentre: publication.Evacuated})
		case publication.Reopened != "":
			changes = append(changes, catalogue.Reopened{DataCentre: publication.Reopened})
		}
	}
	return changes, setValues
}

// recordStep reports the outcome of a step to the source selector and logs when refreshing starts to fail or works again.
func (v *storeView) recordStep(sentAt time.Time, step catalogue.Step, err error) {
	now := timer.BootClock()
	v.mu.Lock()
	switch {
	case err == nil:
		v.selector.RecordSuccess(step)
	case errors.Is(err, errReaderStarting):
		v.selector.RecordStarting(now, step)
	default:
		v.selector.RecordFailure(now, step)
	}
	v.mu.Unlock()
	source := string(step.Reader)
	if step.Reader == "" {
		source = sourceStore
		v.n.meter.recordStoreRead(err)
		v.recordStoreRead(now, sentAt, err)
	}
	switch {
	case errors.Is(err, errReaderStarting), errors.Is(err, errReaderNotReading):
	case err != nil && !v.refreshFailing:
		v.refreshFailing = true
		event.LogText(v.n.log, zerolog.WarnLevel, event.PlatformUnreachable).Str("Source", source).Dur("BeliefMs", v.age(now)).Err(err).Send()
	case err == nil && v.refreshFailing:
		v.refreshFailing = false
		event.LogText(v.n.log, zerolog.InfoLevel, event.PlatformReachable).Str("Source", source).Dur("BeliefMs", v.age(now)).Send()
	}
}

// recordStoreRead records the outcome of a read of the store. When reads begin to fail, it notifies the subscribers.
func (v *storeView) recordStoreRead(now, sentAt time.Time, err error) {
	v.mu.Lock()
	couldRead := now.Sub(v.lastStoreReadAt) < recentReadWindow
	if err == nil {
		v.lastStoreReadAt = sentAt
	} else {
		v.lastStoreReadAt = time.Time{}
	}
	if err != nil && !errors.Is(err, platform.ErrRateLimited) {
		v.catalogue.ReadFailed(sentAt)
	}
	v.mu.Unlock()
	if err != nil && couldRead {
		v.notifySubscribers(now, peer.CopyNotice{ReadFailed: true})
	}
}

// confirmUnchanged records that a reader's copy has no change that this host lacks.
func (v *storeView) confirmUnchanged(f catalogue.Confirmation, reader host.ID) {
	now := timer.BootClock()
	v.mu.Lock()
	outage := v.catalogue.Confirm(f)
	v.notePassedOn(f.SentAt)
	v.mu.Unlock()
	v.recordOutage(now, outage, string(reader))
}

// readResult is the result of a read of the store, made by this host or by another one.
type readResult struct {
	// source is the host that sent it, or sourceStore.
	source  string
	entries []catalogue.Entry
	// update is what it says of the whole read; its Changes are those of entries.
	update catalogue.Update
}

// sourceStore is the source of this host's own reads.
const sourceStore = "store"

// apply merges the result of a read that was sent at sentAt and ended at a position, and notifies the subscribers if it changed an entry. The
// error is errEarlierEra, and nothing is merged, if this host's copy is from a later era.
func (v *storeView) apply(sentAt time.Time, entries []catalogue.Entry, at catalogue.Position, full bool) error {
	confirmation := catalogue.Confirmation{SentAt: sentAt, AnsweredAt: timer.BootClock()}
	update := catalogue.Update{Confirmation: confirmation, Position: at, Full: full, SetEra: at.Era}
	return v.applyResult(readResult{source: sourceStore, entries: entries, update: update})
}

// applyResult is apply for the result of any source.
func (v *storeView) applyResult(r readResult) error {
	u := r.update
	changes, setValues := v.decode(r.entries)
	u.Changes = changes
	v.applying.Lock()
	defer v.applying.Unlock()
	now := timer.BootClock()
	v.mu.Lock()
	before, newestBefore := v.catalogue.Position(), v.history.NewestChange()
	if !before.Admits(u.Position, u.Full) {
		v.mu.Unlock()
		v.n.meter.recordDroppedRead()
		event.LogText(v.n.log, zerolog.WarnLevel, event.EarlierEraDropped).Int64("Era", int64(u.Position.Era)).Int64("OwnEra", int64(before.Era)).Send()
		return errEarlierEra
	}
	difference := v.catalogue.Apply(now, u)
	v.n.past.noteFirst(u.Position)
	if difference.Set != nil {
		v.setValue = setValues[difference.Set]
	}
	if !before.Includes(u.Position, u.Full) {
		v.history.Record(now, v.withNewestSet(r.entries, u.Full), u.Position, u.Full)
	}
	newest := v.history.NewestChange()
	v.mu.Unlock()
	v.recordReturn(before, u.Position, difference)
	v.recordOutage(now, difference.Outage, r.source)
	v.recordDeferrals(now, difference)
	v.propagate(now, difference)
	v.mu.Lock()
	v.notePassedOn(u.SentAt)
	v.mu.Unlock()
	if newest.After(newestBefore) {
		v.notifySubscribers(now, peer.CopyNotice{NewestChange: newest})
	}
	return nil
}

// withNewestSet returns the entries of a read with the newest set in place of those that it holds, which may be older after a return of the
// store. So a host that has no set yet gets from this one none that is older than its own. mu must be held.
func (v *storeView) withNewestSet(entries []catalogue.Entry, full bool) []catalogue.Entry {
	newest := catalogue.Entry{Key: platform.SetKey(), Value: v.setValue}
	others := make([]catalogue.Entry, 0, len(entries)+1)
	for _, e := range entries {
		if e.Key != newest.Key {
			others = append(others, e)
			continue
		}
		newest.Revision = e.Revision
	}
	if v.setValue == nil || (len(others) == len(entries) && !full) {
		return entries
	}
	return append(others, newest)
}

// recordReturn logs and counts a return of the store from an older copy, if one lies between two positions.
func (v *storeView) recordReturn(before, after catalogue.Position, difference catalogue.Difference) {
	if !before.Loaded() || after.Era == before.Era {
		return
	}
	v.n.meter.recordStoreReturn()
	event.LogText(v.n.log, zerolog.WarnLevel, event.StoreReturned).Int64("Era", int64(after.Era)).Int64("Revision", int64(after.Revision)).
		Int64("EarlierEra", int64(before.Era)).Int64("Lost", int64(before.Revision)).Int("Changed", len(difference.Endpoints)).
		Int("Missing", difference.Missing).Int("Held", difference.Held).Send()
}
