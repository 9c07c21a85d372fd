package node

import (
	"time"

	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/pool"
)

// granter returns this process as one that grants slots.
func (s *slotManager) granter() pool.Granter {
	return pool.Granter{Host: s.n.cfg.Host, Process: s.process}
}

// shareBudget tells the other ones of a service's keeper and standbys what was granted of its retry budget.
func (s *slotManager) shareBudget(c pool.ShareBudget) {
	report := peer.FromShareBudget(c, s.granter())
	for _, id := range s.n.membership.keeperAndStandbys(c.Service) {
		if id != s.n.cfg.Host {
			s.n.membership.send(id, peer.Datagram{Extensions: peer.Extensions{BudgetReports: []peer.BudgetReport{report}}})
		}
	}
}

// handleBudgets processes the messages about retry budgets of a datagram.
func (s *slotManager) handleBudgets(now time.Time, d peer.Datagram) {
	for _, report := range d.Extensions.BudgetReports {
		s.update(now, report.ToPool(s.granter()))
	}
}
