package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

// beliefs holds the catalogue and reads the platform into it.
type beliefs struct {
	n *Node

	mu        sync.RWMutex
	catalogue *catalogue.Catalogue

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
	watchWait = 1200 * time.Millisecond
	// watchGap is the least time between two watches.
	watchGap = 500 * time.Millisecond
	// retryGap is the time after a read that failed.
	retryGap = 250 * time.Millisecond
)

func newBeliefs(n *Node) *beliefs {
	return &beliefs{n: n, catalogue: catalogue.New(catalogue.Config{
		Lease: n.cfg.RevokeLimit - leaseMargin, Return: returnGrace, Outage: outageAfter,
	})}
}

// set returns the set in force, and whether it may be acted on.
func (b *beliefs) set(now time.Time) (*site.Set, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.catalogue.Set(), b.catalogue.Valid(now)
}

func (b *beliefs) age(now time.Time) time.Duration {
	b.mu.RLock()
	defer b.mu.RUnlock()
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

func (b *beliefs) tick(now time.Time) {
	b.mu.Lock()
	change := b.catalogue.Tick(now)
	b.mu.Unlock()
	b.publish(now, change)
}

// follow reads the platform until ctx ends.
func (b *beliefs) follow(ctx context.Context) {
	for ctx.Err() == nil {
		sent := timer.Boot()
		read, err := b.read(ctx)
		if err != nil {
			b.failed(err)
			timer.Sleep(ctx, retryGap)
			continue
		}
		read.Sent = sent
		b.apply(read)
		timer.Sleep(ctx, watchGap-timer.Boot().Sub(sent))
	}
}

// read watches for changes, or reads everything when there is no history to go on from.
func (b *beliefs) read(ctx context.Context) (catalogue.Read, error) {
	b.mu.RLock()
	at := b.catalogue.At()
	b.mu.RUnlock()
	if at > 0 {
		page, err := b.n.store.Watch(ctx, "", platform.Revision(at), watchWait)
		if !errors.Is(err, platform.ErrHistoryLost) {
			return b.decode(page), err
		}
	}
	return b.readAll(ctx)
}

func (b *beliefs) readAll(ctx context.Context) (catalogue.Read, error) {
	page, err := b.n.store.Range(ctx, "")
	if err != nil {
		return catalogue.Read{}, err
	}
	read := b.decode(page)
	read.Whole = true
	return read, nil
}

// decode translates a page; entries that can't be read are logged and name no endpoint.
func (b *beliefs) decode(page platform.Page) catalogue.Read {
	read := catalogue.Read{At: catalogue.Position(page.At)}
	for _, change := range page.Changes {
		p, err := platform.Decode(change)
		if err != nil {
			event.Note(b.n.log, zerolog.WarnLevel, event.EntryUnreadable).Str("Key", change.Key).Err(err).Send()
		}
		switch {
		case p.Set != nil:
			read.Set = p.Set
		case p.Endpoint != nil:
			read.Endpoints = append(read.Endpoints, *p.Endpoint)
		case p.Gone != "":
			read.Gone = append(read.Gone, p.Gone)
		}
	}
	return read
}

func (b *beliefs) failed(err error) {
	b.n.meter.read("failed")
	if !b.lost {
		b.lost = true
		event.Note(b.n.log, zerolog.WarnLevel, event.PlatformLost).Err(err).Send()
	}
}

func (b *beliefs) apply(read catalogue.Read) {
	b.n.meter.read("done")
	if b.lost {
		b.lost = false
		event.Note(b.n.log, zerolog.InfoLevel, event.PlatformBack).Send()
	}
	now := timer.Boot()
	b.mu.Lock()
	change := b.catalogue.Apply(now, read)
	b.mu.Unlock()
	b.publish(now, change)
}

// publish tells the keeper what changed.
func (b *beliefs) publish(now time.Time, change catalogue.Change) {
	if change.Set != nil {
		event.Note(b.n.log, zerolog.InfoLevel, event.DocumentAccepted).Int64("Version", int64(change.Set.Version)).Send()
		for _, service := range change.Set.Services {
			b.n.places.update(now, pool.ServiceSeen{Service: service})
		}
	}
	for _, record := range change.Endpoints {
		event.Note(b.n.log, zerolog.InfoLevel, event.EndpointSeen).Str("Endpoint", string(record.Instance.ID)).
			Bool("Leaving", record.Leaving).Send()
		b.n.places.update(now, pool.EndpointSeen{Record: record})
	}
	for _, id := range change.Gone {
		event.Note(b.n.log, zerolog.InfoLevel, event.EndpointGone).Str("Endpoint", string(id)).Send()
		b.n.places.update(now, pool.EndpointGone{ID: id})
	}
}
