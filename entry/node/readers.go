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

// ask probes a reader, and fetches from it what is new.
func (b *beliefs) ask(ctx context.Context, sent time.Time, reader host.ID) error {
	b.mu.Lock()
	b.nonce++
	nonce := b.nonce
	at := b.catalogue.Revision()
	b.mu.Unlock()
	b.n.members.send(reader, peer.Datagram{Probes: []peer.Probe{{Nonce: nonce}}})
	c, err := b.awaitConfirm(ctx, nonce, reader)
	if err != nil {
		return err
	}
	age := time.Duration(c.AgeMs) * time.Millisecond
	switch {
	case c.AgeMs < 0:
		return eris.Wrapf(errReaderNew, "ask reader %s", reader)
	case c.NewestChange > at:
		err = b.fetch(ctx, reader, at)
	default:
		b.confirm(sent.Add(-age))
	}
	switch {
	case err != nil:
		return err
	case age > staleReader:
		return eris.Errorf("ask reader %s: its knowledge is %s old", reader, age)
	case !c.ReadsPlatform:
		return eris.Wrapf(errReaderBlind, "ask reader %s", reader)
	}
	return nil
}

// errReaderBlind means that a reader's knowledge is good, but will not stay so.
var errReaderBlind = errors.New("it does not read the platform now")

// errReaderNew means that a reader has just started, too.
var errReaderNew = errors.New("it knows nothing yet")

func (b *beliefs) awaitConfirm(ctx context.Context, nonce uint64, reader host.ID) (peer.ProbeReply, error) {
	t := time.NewTimer(probeLimit)
	defer t.Stop()
	for {
		select {
		case c := <-b.confirms:
			if c.Nonce == nonce {
				return c, nil
			}
		case <-t.C:
			return peer.ProbeReply{}, eris.Errorf("ask reader %s: no answer", reader)
		case <-ctx.Done():
			return peer.ProbeReply{}, eris.Wrapf(ctx.Err(), "ask reader %s", reader)
		}
	}
}

func (b *beliefs) fetch(ctx context.Context, reader host.ID, after catalogue.Revision) error {
	address, known := b.n.members.knowledgeAddress(reader)
	if !known {
		return eris.Errorf("fetch from reader %s: its address is not known", reader)
	}
	sent := timer.BootClock()
	k, err := peer.FetchStoreUpdate(ctx, b.client, address, after)
	if err != nil {
		return err
	}
	b.apply(sent.Add(-time.Duration(k.AgeMs)*time.Millisecond), k.Entries, k.Revision, k.Full)
	return nil
}

// load returns what this host knows behind a position, for another host.
func (b *beliefs) load(after catalogue.Revision) (peer.StoreUpdate, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.history.Revision() == 0 {
		return peer.StoreUpdate{}, false
	}
	entries, whole := b.history.Since(after)
	return peer.StoreUpdate{
		Revision: b.history.Revision(), Full: whole, Entries: entries, AgeMs: b.catalogue.Age(timer.BootClock()).Milliseconds() + 1,
	}, true
}

// handle answers probes and takes confirmations and notices.
func (b *beliefs) handle(now time.Time, d peer.Datagram) {
	for _, p := range d.Probes {
		b.mu.Lock()
		c := peer.ProbeReply{Nonce: p.Nonce, NewestChange: b.history.NewestChange(), AgeMs: b.catalogue.Age(now).Milliseconds() + 1}
		if b.history.Revision() == 0 {
			c.AgeMs = -1
		}
		c.ReadsPlatform = now.Sub(b.reads) < readsFor
		b.followers[d.From] = now
		b.mu.Unlock()
		b.n.members.send(d.From, peer.Datagram{ProbeReplies: []peer.ProbeReply{c}})
	}
	for _, c := range d.ProbeReplies {
		select {
		case b.confirms <- c:
		default:
		}
	}
	for _, notice := range d.Notices {
		b.mu.Lock()
		news := notice.NewestChange > b.catalogue.Revision() || notice.ReadFailed
		if notice.ReadFailed {
			b.source.RecordFailure(now, catalogue.Step{Reader: d.From})
		} else {
			b.source.RecordSuccess(catalogue.Step{Reader: d.From})
		}
		b.mu.Unlock()
		if news {
			b.wake()
		}
	}
}

func (b *beliefs) wake() {
	select {
	case b.woken <- struct{}{}:
	default:
	}
}

// tell gives a notice to those who asked lately.
func (b *beliefs) tell(now time.Time, notice peer.Notice) {
	b.mu.Lock()
	var to []host.ID
	for id, asked := range b.followers {
		if now.Sub(asked) > followerMemory {
			delete(b.followers, id)
			continue
		}
		to = append(to, id)
	}
	b.mu.Unlock()
	for _, id := range to {
		b.n.members.send(id, peer.Datagram{Notices: []peer.Notice{notice}})
	}
}
