package node

import (
	"context"
	"sync"
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
)

// places asks the keeper of a service for places, and is that keeper for some services.
type places struct {
	n *Node

	mu      sync.Mutex
	keeper  *pool.Keeper
	next    uint64
	answers map[pool.Ticket]chan pool.Command
}

func newPlaces(n *Node) *places {
	return &places{
		n: n, answers: make(map[pool.Ticket]chan pool.Command),
		keeper: pool.New(pool.Config{
			LoadFactor: n.cfg.LoadFactor, RetryRatio: n.cfg.RetryRatio, RetrySlack: n.cfg.RetrySlack,
			RetryWindow: n.cfg.RetryWindow,
		}),
	}
}

// update tells the keeper an event and carries out its commands.
func (p *places) update(now time.Time, e pool.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.carry(p.keeper.Update(now, e))
}

func (p *places) tick(now time.Time) { p.update(now, pool.Ticked{}) }

func (p *places) carry(commands []pool.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case pool.Place:
			p.answer(c.Ticket, c)
		case pool.Refuse:
			p.answer(c.Ticket, c)
		}
	}
}

func (p *places) answer(ticket pool.Ticket, c pool.Command) {
	if ch := p.answers[ticket]; ch != nil {
		delete(p.answers, ticket)
		ch <- c
	}
}

// ask returns a place or a refusal; nil when ctx ended first. The ticket is set here.
func (p *places) ask(ctx context.Context, e pool.Asked) (pool.Ticket, pool.Command) {
	ch := make(chan pool.Command, 1)
	p.mu.Lock()
	p.next++
	e.Ticket = pool.Ticket{Host: p.n.cfg.Host, Number: p.next}
	p.answers[e.Ticket] = ch
	p.carry(p.keeper.Update(timer.Boot(), e))
	p.mu.Unlock()
	select {
	case c := <-ch:
		return e.Ticket, c
	case <-ctx.Done():
		p.end(e.Ticket, e.Service, pool.Unknown)
		return e.Ticket, nil
	}
}

// end gives a place up.
func (p *places) end(ticket pool.Ticket, service site.ServiceName, result pool.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.answers, ticket)
	p.carry(p.keeper.Update(timer.Boot(), pool.Ended{Ticket: ticket, Service: service, Result: result}))
}

func (p *places) usable(instance endpoint.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keeper.Usable(instance)
}
