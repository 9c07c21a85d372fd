package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

// beliefs holds the catalogue, and fills it from the platform or from hosts that read it.
type beliefs struct {
	n      *Node
	client *http.Client
	// woken ends the wait between two steps.
	woken chan struct{}
	// known is closed when the first set is in force.
	known chan struct{}
	once  sync.Once
	// started is when the process started.
	started time.Time

	mu        sync.RWMutex
	catalogue *catalogue.Catalogue
	history   *catalogue.History
	source    *catalogue.SourceSelector
	// nonce numbers probes, and confirms takes their answers.
	nonce    uint64
	confirms chan peer.ProbeReply
	// followers holds who asked lately, with the time.
	followers map[host.ID]time.Time

	// reads is when the last read of the platform itself that succeeded was sent.
	reads time.Time

	lost bool
}

const (
	// leaseMargin is how long before the end of RevokeLimit a set that nobody confirms is no longer acted on.
	leaseMargin = 600 * time.Millisecond
	// returnGrace is how long registrations that ran out during an outage are kept.
	returnGrace = 2200 * time.Millisecond
	// outageAfter is how long the platform has to be away to count as out.
	outageAfter = 2500 * time.Millisecond
	// watchWait is how long a watch waits for changes.
	watchWait = 1000 * time.Millisecond
	// watchGap is the least time between two watches, and probeGap between two probes of a reader.
	watchGap = 300 * time.Millisecond
	probeGap = 600 * time.Millisecond
	// probeLimit is how long a reader has to answer.
	probeLimit = 150 * time.Millisecond
	// readsFor is how long after a read that succeeded a host counts as reading the platform.
	readsFor = 2500 * time.Millisecond
	// staleReader is the age from which on a reader's knowledge is little help.
	staleReader = 2400 * time.Millisecond
	// activeReaders is how many hosts of a region read the platform all the time.
	activeReaders = 2
	// directAfter is the age of its knowledge at which a host reads the platform itself when no reader can; firstAfter is
	// how long a new process waits for others.
	directAfter = 2400 * time.Millisecond
	firstAfter  = 150 * time.Millisecond
	// sourceAgain is the time to the next look while no source can be asked, and newAgain that to the next question to a host
	// that has just started, too.
	sourceAgain = 20 * time.Millisecond
	newAgain    = 30 * time.Millisecond
	// failurePause is how long a source that failed is left alone.
	failurePause = 500 * time.Millisecond
	// storeRetry is how long a reader that other hosts help leaves the store alone after a read that failed.
	storeRetry = 2 * time.Second
	// followerMemory is how long a host that asked hears of changes.
	followerMemory = 3 * time.Second
	// knowledgeIdle is how long connections between hosts are kept.
	knowledgeIdle = 10 * time.Second
)

func newBeliefs(n *Node) *beliefs {
	return &beliefs{
		n: n, woken: make(chan struct{}, 1), known: make(chan struct{}), confirms: make(chan peer.ProbeReply, 1), followers: make(map[host.ID]time.Time),
		client: &http.Client{Transport: &http.Transport{
			DialContext: n.dialPeer, MaxIdleConnsPerHost: 1, IdleConnTimeout: knowledgeIdle, DisableCompression: true,
		}},
		history: catalogue.NewHistory(),
		source: catalogue.NewSourceSelector(catalogue.SourceSelectorConfig{
			Self: n.cfg.Host, ActiveReaders: activeReaders, DirectReadAge: directAfter, FirstReadDelay: firstAfter,
			PlatformBackoff: storeRetry, FailureBackoff: failurePause, StartupBackoff: newAgain, RecheckInterval: sourceAgain,
		}),
		started: timer.BootClock(),
		catalogue: catalogue.New(catalogue.Config{
			Lease: n.cfg.RevokeLimit - leaseMargin, RecoveryGrace: returnGrace, OutageThreshold: outageAfter,
		}),
	}
}

// set returns the set in force, and whether it may be acted on.
func (b *beliefs) set(now time.Time) (*site.Set, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.catalogue.Set(), b.catalogue.Valid(now)
}

// await waits for the first set of a process that has just started, for at most d.
func (b *beliefs) await(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-b.known:
	case <-t.C:
	case <-ctx.Done():
	}
}

// age is how old the knowledge is; negative while there is none.
func (b *beliefs) age(now time.Time) time.Duration {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.catalogue.Revision() == 0 {
		return -time.Millisecond
	}
	return b.catalogue.Age(now)
}

// version returns the version of the set in force; 0 before the first.
func (b *beliefs) version() site.Version {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if set := b.catalogue.Set(); set != nil {
		return set.Version
	}
	return 0
}

func (b *beliefs) valid(now time.Time) bool {
	_, ok := b.set(now)
	return ok
}

func (b *beliefs) setLease(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.catalogue.SetLease(d)
}

func (b *beliefs) tick(now time.Time) {
	b.mu.Lock()
	change := b.catalogue.Tick(now)
	b.mu.Unlock()
	b.publish(now, change)
}

// follow keeps the catalogue fresh until ctx ends.
func (b *beliefs) follow(ctx context.Context) {
	b.n.members.settle(ctx)
	for ctx.Err() == nil {
		sent := timer.BootClock()
		b.mu.Lock()
		known, age := b.catalogue.Revision() > 0, b.catalogue.Age(sent)
		if !known {
			age = sent.Sub(b.started)
		}
		step := b.source.Next(sent, b.n.members.readers(), known, age)
		b.mu.Unlock()
		if step.Wait > 0 {
			b.rest(ctx, step.Wait)
			continue
		}
		gap, err := b.take(ctx, sent, step)
		b.note(sent, step, err)
		if err == nil {
			b.rest(ctx, gap-timer.BootClock().Sub(sent))
		}
	}
}

// rest waits for d, or until a reader tells of a change.
func (b *beliefs) rest(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-b.woken:
	case <-ctx.Done():
	}
}

// take carries out a step and returns the least time to the next one.
func (b *beliefs) take(ctx context.Context, sent time.Time, step catalogue.Step) (time.Duration, error) {
	if step.Reader != "" {
		return probeGap, b.ask(ctx, sent, step.Reader)
	}
	page, whole, err := b.read(ctx)
	if err != nil {
		return 0, err
	}
	entries := make([]catalogue.Entry, len(page.Changes))
	for i, c := range page.Changes {
		entries[i] = catalogue.Entry{Key: c.Key, Value: c.Value, Removed: c.Removed}
	}
	b.apply(sent, entries, catalogue.Revision(page.Revision), whole)
	return watchGap, nil
}

// read watches for changes, or reads everything when there is no history to go on from.
func (b *beliefs) read(ctx context.Context) (page platform.Page, whole bool, err error) {
	b.mu.RLock()
	at := b.catalogue.Revision()
	b.mu.RUnlock()
	if at > 0 {
		page, err = b.n.store.Watch(ctx, "", platform.Revision(at), watchWait)
		if !errors.Is(err, platform.ErrHistoryLost) {
			return page, false, err
		}
	}
	page, err = b.n.store.Range(ctx, "")
	return page, true, err
}

// decode translates entries; those that can't be read are logged and name no endpoint.
func (b *beliefs) decode(entries []catalogue.Entry) catalogue.Update {
	var read catalogue.Update
	for _, e := range entries {
		p, err := platform.Decode(platform.Change{Key: e.Key, Value: e.Value, Removed: e.Removed})
		if err != nil {
			event.LogText(b.n.log, zerolog.WarnLevel, event.RegistrationUnreadable).Str("Key", e.Key).Err(err).Send()
		}
		switch {
		case p.Set != nil:
			read.Set = p.Set
		case p.Endpoint != nil:
			read.Endpoints = append(read.Endpoints, *p.Endpoint)
		case p.Removed != "":
			read.Removed = append(read.Removed, p.Removed)
		}
	}
	return read
}

// note remembers how a step ended, and logs when the platform is lost or back.
func (b *beliefs) note(sent time.Time, step catalogue.Step, err error) {
	now := timer.BootClock()
	b.mu.Lock()
	switch {
	case err == nil:
		b.source.RecordSuccess(step)
	case errors.Is(err, errReaderNew):
		b.source.RecordStarting(now, step)
	default:
		b.source.RecordFailure(now, step)
	}
	b.mu.Unlock()
	source := string(step.Reader)
	if step.Reader == "" {
		source = "store"
		b.n.meter.read(err)
		b.noteOwnRead(now, sent, err)
	}
	switch {
	case errors.Is(err, errReaderNew), errors.Is(err, errReaderBlind):
	case err != nil && !b.lost:
		b.lost = true
		event.LogText(b.n.log, zerolog.WarnLevel, event.PlatformUnreachable).Str("Source", source).Dur("BeliefMs", b.age(now)).Err(err).Send()
	case err == nil && b.lost:
		b.lost = false
		event.LogText(b.n.log, zerolog.InfoLevel, event.PlatformReachable).Str("Source", source).Dur("BeliefMs", b.age(now)).Send()
	}
}

// noteOwnRead remembers when this host last read the platform, and tells its followers when it no longer can.
func (b *beliefs) noteOwnRead(now, sent time.Time, err error) {
	b.mu.Lock()
	could := now.Sub(b.reads) < readsFor
	if err == nil {
		b.reads = sent
	} else {
		b.reads = time.Time{}
	}
	b.mu.Unlock()
	if err != nil && could {
		b.tell(now, peer.Notice{ReadFailed: true})
	}
}

// confirm notes that nothing changed up to a time.
func (b *beliefs) confirm(sent time.Time) { b.apply(sent, nil, 0, false) }

// apply takes in what was true at a time.
func (b *beliefs) apply(sent time.Time, entries []catalogue.Entry, at catalogue.Revision, whole bool) {
	read := b.decode(entries)
	read.SentAt, read.Revision, read.Full = sent, at, whole
	now := timer.BootClock()
	b.mu.Lock()
	before := b.history.NewestChange()
	b.history.Record(now, entries, at, whole)
	newest := b.history.NewestChange()
	change := b.catalogue.Apply(now, read)
	b.mu.Unlock()
	b.publish(now, change)
	if newest > before {
		b.tell(now, peer.Notice{NewestChange: newest})
	}
}

// publish tells the keeper what changed.
func (b *beliefs) publish(now time.Time, change catalogue.Change) {
	if change.Set != nil {
		event.LogText(b.n.log, zerolog.InfoLevel, event.DocumentAccepted).Int64("Version", int64(change.Set.Version)).
			Dur("BeliefMs", b.age(now)).Send()
		for _, service := range change.Set.Services {
			b.n.places.update(now, pool.ServiceChanged{Service: service})
		}
		defer b.once.Do(func() { close(b.known) })
	}
	for _, record := range change.Endpoints {
		event.LogText(b.n.log, zerolog.InfoLevel, event.EndpointRegistered).Str("Endpoint", string(record.Instance.ID)).
			Str("Service", string(record.Service)).Bool("Leaving", record.Leaving).Send()
		if old, known := b.n.places.registered(record.Instance.ID); known && old != record.Instance {
			b.n.crashes.lost(now, record.Instance.ID)
		}
		b.n.places.update(now, pool.EndpointRegistered{Record: record})
	}
	for _, id := range change.Removed {
		event.LogText(b.n.log, zerolog.InfoLevel, event.EndpointRemoved).Str("Endpoint", string(id)).Send()
		b.n.places.update(now, pool.EndpointRemoved{ID: id})
	}
}
