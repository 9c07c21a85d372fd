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

// acquire requests a slot and returns the grant or refusal, or nil when ctx ended first. It tries the service's keeper at most
// maxKeeperAttempts times; a keeper that did not reply is replaced by the next host in order. If each attempt fails, because the
// keeper did not reply or has no endpoint of the service, this host decides itself, within its share of the retry budget. It also does if the keeper is
// of an earlier release, which can't grant what the request needs.
func (s *slotManager) acquire(ctx context.Context, e pool.SlotRequested) (pool.Ticket, pool.Command) {
	now := timer.BootClock()
	ch := make(chan pool.Command, replyBufferSize)
	s.mu.Lock()
	s.lastTicketNumber++
	e.Ticket = pool.Ticket{Host: s.n.cfg.Host, Number: s.lastTicketNumber}
	s.replies[e.Ticket.Number] = ch
	e.LastEndpoint = s.keeper.LastEndpoint(now, e.Service, e.Prompt)
	s.mu.Unlock()
	defer s.removeReplyChannel(e.Ticket)
	for range maxKeeperAttempts {
		keeper := s.n.membership.keeper(timer.BootClock(), e.Service)
		if keeper == s.n.cfg.Host {
			e.KeeperUnconfirmed = s.justStarted()
			return e.Ticket, s.decideLocally(ctx, e, ch)
		}
		if needsDemand(e) && s.ignoresDemands(timer.BootClock(), keeper) {
			break
		}
		c := s.requestFromKeeper(ctx, keeper, e, ch)
		if c != nil || ctx.Err() != nil {
			return e.Ticket, c
		}
	}
	e.KeeperUnconfirmed = true
	e.BudgetShare = 1 / float64(s.n.membership.knownCount())
	return e.Ticket, s.decideLocally(ctx, e, ch)
}

// startupPeriod is how long after its start a process may wrongly be considered the keeper of a service, by itself or by others,
// since it has discovered few of the other hosts yet.
const startupPeriod = 300 * time.Millisecond

// justStarted reports whether this process is in its startupPeriod.
func (s *slotManager) justStarted() bool { return timer.BootClock().Sub(s.startedAt) < startupPeriod }

func (s *slotManager) removeReplyChannel(ticket pool.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replies, ticket.Number)
}

// requestFromKeeper requests a slot from another host, and resends the request until that host grants or refuses a slot. It
// returns nil if the host did not reply in time, if it has no endpoint of the service, or if ctx ended. After a time-out or the
// end of ctx, it withdraws the request at that host.
func (s *slotManager) requestFromKeeper(ctx context.Context, keeper host.ID, e pool.SlotRequested, ch chan pool.Command) pool.Command {
	message := peer.SlotMessage(e, s.knowsDemands(timer.BootClock(), keeper))
	s.n.membership.send(keeper, message)
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
				s.addSlot(e, c, keeper)
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
				s.withdraw(keeper, e)
				s.recordNoReply(now, keeper, e)
				event.LogText(s.n.log, zerolog.WarnLevel, event.KeeperUnresponsive).Str("Peer", string(keeper)).
					Str("Service", string(e.Service)).Send()
				return nil
			}
			s.n.membership.send(keeper, message)
			resend.Reset(interval)
		case <-ctx.Done():
			s.withdraw(keeper, e)
			return nil
		}
	}
}

// withdraw tells a keeper that a request needs no slot any more.
func (s *slotManager) withdraw(keeper host.ID, e pool.SlotRequested) {
	withdrawal := pool.SlotReleased{Ticket: e.Ticket, Service: e.Service}
	s.n.membership.send(keeper, peer.ReleaseMessage(withdrawal, s.knowsDemands(timer.BootClock(), keeper)))
}

// decideLocally requests a slot from this host's own keeper. It returns nil if ctx ended first.
func (s *slotManager) decideLocally(ctx context.Context, e pool.SlotRequested, ch chan pool.Command) pool.Command {
	s.update(timer.BootClock(), e)
	for {
		select {
		case c := <-ch:
			switch c := c.(type) {
			case pool.Grant:
				c.Decision.Keeper = s.n.cfg.Host
				s.addSlot(e, c, s.n.cfg.Host)
				return c
			case pool.Refuse:
				return c
			}
		case <-ctx.Done():
			s.update(timer.BootClock(), pool.SlotReleased{Ticket: e.Ticket, Service: e.Service})
			return nil
		}
	}
}
