package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/timer"
)

// ask returns a place or a refusal; nil when ctx ended first.
func (p *places) ask(ctx context.Context, e pool.SlotRequested) (pool.Ticket, pool.Command) {
	now := timer.BootClock()
	ch := make(chan pool.Command, answerRoom)
	p.mu.Lock()
	p.next++
	e.Ticket = pool.Ticket{Host: p.n.cfg.Host, Number: p.next}
	p.answers[e.Ticket.Number] = ch
	e.LastEndpoint = p.keeper.LastEndpoint(now, e.Service, e.Prompt)
	p.mu.Unlock()
	defer p.forget(e.Ticket)
	for range keepersAsked {
		keeper := p.n.members.keeper(timer.BootClock(), e.Service)
		if keeper == p.n.cfg.Host {
			e.KeeperUnconfirmed = p.young()
			return e.Ticket, p.decide(ctx, e, ch)
		}
		c := p.askKeeper(ctx, keeper, e, ch)
		if c != nil || ctx.Err() != nil {
			return e.Ticket, c
		}
	}
	e.KeeperUnconfirmed = true
	e.BudgetShare = 1 / float64(p.n.members.hosts())
	return e.Ticket, p.decide(ctx, e, ch)
}

// youngFor is how long after its start a process may be taken for a keeper, by itself or by others, since few of the other
// hosts are known yet.
const youngFor = 300 * time.Millisecond

// young reports whether this process has just started.
func (p *places) young() bool { return timer.BootClock().Sub(p.started) < youngFor }

func (p *places) forget(ticket pool.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.answers, ticket.Number)
}

// askKeeper asks another host; nil means that it did not answer, or knows no endpoint.
func (p *places) askKeeper(ctx context.Context, keeper host.ID, e pool.SlotRequested, ch chan pool.Command) pool.Command {
	question := peer.Datagram{SlotRequests: []peer.SlotRequest{peer.FromSlotRequested(e)}}
	p.n.members.send(keeper, question)
	heard := timer.BootClock()
	again, limit := askAgain, askLimit
	wait := time.NewTimer(again)
	defer wait.Stop()
	for {
		select {
		case c := <-ch:
			switch c := c.(type) {
			case pool.Grant:
				c.Decision.Keeper = keeper
				p.hold(e, c, keeper)
				return c
			case pool.Refuse:
				if c.Reason == pool.NoEndpoint {
					return nil
				}
				return c
			}
			heard, again, limit = timer.BootClock(), queueAgain, queueLimit
			wait.Reset(again)
		case <-wait.C:
			now := timer.BootClock()
			if now.Sub(heard) >= limit {
				p.n.members.unanswered(now, keeper)
				p.n.members.send(keeper, withdrawal(e))
				event.LogText(p.n.log, zerolog.WarnLevel, event.KeeperUnresponsive).Str("Peer", string(keeper)).
					Str("Service", string(e.Service)).Send()
				return nil
			}
			p.n.members.send(keeper, question)
			wait.Reset(again)
		case <-ctx.Done():
			p.n.members.send(keeper, withdrawal(e))
			return nil
		}
	}
}

func withdrawal(e pool.SlotRequested) peer.Datagram {
	return peer.Datagram{SlotReleases: []peer.SlotRelease{{Number: e.Ticket.Number, Service: e.Service}}}
}

// decide lets this host's own keeper place a request.
func (p *places) decide(ctx context.Context, e pool.SlotRequested, ch chan pool.Command) pool.Command {
	p.update(timer.BootClock(), e)
	for {
		select {
		case c := <-ch:
			switch c := c.(type) {
			case pool.Grant:
				c.Decision.Keeper = p.n.cfg.Host
				p.hold(e, c, p.n.cfg.Host)
				return c
			case pool.Refuse:
				return c
			}
		case <-ctx.Done():
			p.update(timer.BootClock(), pool.SlotReleased{Ticket: e.Ticket, Service: e.Service})
			return nil
		}
	}
}
