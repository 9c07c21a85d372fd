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

// acquire requests a slot and returns the grant or refusal, or nil when ctx ended first. It asks the service's keeper at most
// keepersAsked times; a keeper that did not reply is replaced by the next host in order. If none of them replies and knows an
// endpoint, this host decides itself, within its share of the retry budget.
func (p *placer) acquire(ctx context.Context, e pool.SlotRequested) (pool.Ticket, pool.Command) {
	now := timer.BootClock()
	ch := make(chan pool.Command, replyBufferSize)
	p.mu.Lock()
	p.lastTicketNumber++
	e.Ticket = pool.Ticket{Host: p.n.cfg.Host, Number: p.lastTicketNumber}
	p.replies[e.Ticket.Number] = ch
	e.LastEndpoint = p.keeper.LastEndpoint(now, e.Service, e.Prompt)
	p.mu.Unlock()
	defer p.removeReplyChannel(e.Ticket)
	for range maxKeeperAttempts {
		keeper := p.n.members.keeper(timer.BootClock(), e.Service)
		if keeper == p.n.cfg.Host {
			e.KeeperUnconfirmed = p.justStarted()
			return e.Ticket, p.decideLocally(ctx, e, ch)
		}
		c := p.requestFromKeeper(ctx, keeper, e, ch)
		if c != nil || ctx.Err() != nil {
			return e.Ticket, c
		}
	}
	e.KeeperUnconfirmed = true
	e.BudgetShare = 1 / float64(p.n.members.liveCount())
	return e.Ticket, p.decideLocally(ctx, e, ch)
}

// startupPeriod is how long after its start a process may wrongly be considered the keeper of a service, by itself or by others,
// since it knows few of the other hosts yet.
const startupPeriod = 300 * time.Millisecond

// justStarted reports whether this process is in its startupPeriod.
func (p *placer) justStarted() bool { return timer.BootClock().Sub(p.startedAt) < startupPeriod }

func (p *placer) removeReplyChannel(ticket pool.Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.replies, ticket.Number)
}

// requestFromKeeper requests a slot from another host, and sends the request again until that host replies. It returns nil if the
// host did not reply in time or knows no endpoint, or if ctx ended. A request that it gives up is withdrawn at that host.
func (p *placer) requestFromKeeper(ctx context.Context, keeper host.ID, e pool.SlotRequested, ch chan pool.Command) pool.Command {
	message := peer.Datagram{SlotRequests: []peer.SlotRequest{peer.FromSlotRequested(e)}}
	p.n.members.send(keeper, message)
	lastReply := timer.BootClock()
	interval, timeout := requestRetryInterval, keeperReplyTimeout
	resend := time.NewTimer(interval)
	defer resend.Stop()
	for {
		select {
		case c := <-ch:
			switch c := c.(type) {
			case pool.Grant:
				c.Decision.Keeper = keeper
				p.addSlot(e, c, keeper)
				return c
			case pool.Refuse:
				if c.Reason == pool.NoEndpoint {
					return nil
				}
				return c
			}
			lastReply, interval, timeout = timer.BootClock(), queuePollInterval, queueReplyTimeout
			resend.Reset(interval)
		case <-resend.C:
			now := timer.BootClock()
			if now.Sub(lastReply) >= timeout {
				p.n.members.recordNoAnswer(now, keeper)
				p.n.members.send(keeper, withdrawalMessage(e))
				event.LogText(p.n.log, zerolog.WarnLevel, event.KeeperUnresponsive).Str("Peer", string(keeper)).
					Str("Service", string(e.Service)).Send()
				return nil
			}
			p.n.members.send(keeper, message)
			resend.Reset(interval)
		case <-ctx.Done():
			p.n.members.send(keeper, withdrawalMessage(e))
			return nil
		}
	}
}

func withdrawalMessage(e pool.SlotRequested) peer.Datagram {
	return peer.Datagram{SlotReleases: []peer.SlotRelease{{Number: e.Ticket.Number, Service: e.Service}}}
}

// decideLocally requests a slot from this host's own keeper. It returns nil if ctx ended first.
func (p *placer) decideLocally(ctx context.Context, e pool.SlotRequested, ch chan pool.Command) pool.Command {
	p.update(timer.BootClock(), e)
	for {
		select {
		case c := <-ch:
			switch c := c.(type) {
			case pool.Grant:
				c.Decision.Keeper = p.n.cfg.Host
				p.addSlot(e, c, p.n.cfg.Host)
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
