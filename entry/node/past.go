package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/stream"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
)

const (
	// pastRetryInterval is the time between two attempts to read the store's history, and pastPatience that after which this host goes on without it.
	pastRetryInterval = 200 * time.Millisecond
	pastPatience      = 2 * time.Second
)

// pastReader reads from the store's history, once it is needed, which engines left before this host had its first copy of the store. They may have begun
// streams that are taken up here. It is safe for concurrent use.
type pastReader struct {
	n *Node

	mu sync.Mutex
	// firstPosition is that of the first copy; not loaded before.
	firstPosition catalogue.Position
	begun, done   bool
}

// noteFirst records the position of this host's first copy.
func (p *pastReader) noteFirst(at catalogue.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.firstPosition.Loaded() {
		p.firstPosition = at
	}
}

// known reports whether the past is known, can't be known, or does not matter: no stream is older than this process, or it has no copy of the store yet, and knows
// of no engines. If it is not known, it is read.
func (p *pastReader) known(now time.Time) bool {
	if now.Sub(p.n.storeView.startedAt) >= stream.Lifetime {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.firstPosition.Loaded() {
		return true
	}
	if !p.begun {
		p.begun = true
		p.n.wg.Go(func() { p.read(p.n.slots.runCtx, p.firstPosition) })
	}
	return p.done
}

// read reads the past until that succeeds, or pastPatience is over.
func (p *pastReader) read(ctx context.Context, upTo catalogue.Position) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.done = true
	}()
	giveUpAt := timer.BootClock().Add(pastPatience)
	for {
		changes, err := p.n.store.Past(ctx, platform.Era(upTo.Era), platform.Revision(upTo.Revision))
		if err == nil {
			p.apply(catalogue.NewPast(datedChanges(changes)))
			return
		}
		lost := errors.Is(err, platform.ErrHistoryLost) || errors.Is(err, platform.ErrEraChanged)
		if lost || !timer.BootClock().Before(giveUpAt) || !timer.Sleep(ctx, pastRetryInterval) {
			event.LogText(p.n.log, zerolog.WarnLevel, event.PastUnknown).Int64("UpTo", int64(upTo.Revision)).Err(err).Send()
			return
		}
	}
}

func (p *pastReader) apply(past catalogue.Past) {
	createdAt := make(map[endpoint.Instance]int64, len(past.CreatedAt))
	for instance, revision := range past.CreatedAt {
		createdAt[instance] = int64(revision)
	}
	event.LogText(p.n.log, zerolog.InfoLevel, event.PastRead).Int("Registrations", len(createdAt)).Int("Departed", len(past.Departed)).
		Any("Versions", past.Versions()).Send()
	p.n.slots.update(timer.BootClock(), pool.PastRead{Departed: past.Departed, CreatedAt: createdAt})
}

// datedChanges decodes changes of registrations. One that can't be decoded names no endpoint to use, as in a copy of the store.
func datedChanges(changes []platform.Change) []catalogue.DatedChange {
	var dated []catalogue.DatedChange
	for _, c := range changes {
		publication, _ := platform.Decode(c)
		d := catalogue.DatedChange{Revision: catalogue.Revision(c.Revision), Created: catalogue.Revision(c.Created)}
		switch {
		case publication.Endpoint != nil:
			d.Change = catalogue.Registered{Record: *publication.Endpoint}
		case publication.Removed != "":
			d.Change = catalogue.Removed{ID: publication.Removed}
		default:
			continue
		}
		dated = append(dated, d)
	}
	return dated
}
