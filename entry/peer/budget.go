package peer

import (
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
)

// BudgetReport tells the keeper and the standbys of a service what processes granted of it within the window of its retry budget.
type BudgetReport struct {
	Service site.ServiceName `cbor:"1,keyasint"`
	Granted []GrantedRetries `cbor:"2,keyasint,omitempty"`
}

// GrantedRetries is pool.Granted. Each second is its age and its numbers of requests and retries.
type GrantedRetries struct {
	Host    host.ID  `cbor:"1,keyasint"`
	Process uint64   `cbor:"2,keyasint"`
	Seconds [][3]int `cbor:"3,keyasint,omitempty"`
}

// FromShareBudget converts a command of the process self to a message.
func FromShareBudget(c pool.ShareBudget, self pool.Granter) BudgetReport {
	report := BudgetReport{Service: c.Service}
	for _, g := range c.Granted {
		if g.Granter == (pool.Granter{}) {
			g.Granter = self
		}
		granted := GrantedRetries{Host: g.Granter.Host, Process: g.Granter.Process}
		for _, s := range g.Seconds {
			granted.Seconds = append(granted.Seconds, [3]int{s.Age, s.Requests, s.Retries})
		}
		report.Granted = append(report.Granted, granted)
	}
	return report
}

// ToPool converts the message to an event, without what the process self granted. Negative numbers count as 0.
func (r BudgetReport) ToPool(self pool.Granter) pool.BudgetShared {
	e := pool.BudgetShared{Service: r.Service}
	for _, g := range r.Granted {
		granter := pool.Granter{Host: g.Host, Process: g.Process}
		if granter == self {
			continue
		}
		granted := pool.Granted{Granter: granter}
		for _, s := range g.Seconds {
			granted.Seconds = append(granted.Seconds, pool.GrantedSecond{Age: max(s[0], 0), Requests: max(s[1], 0), Retries: max(s[2], 0)})
		}
		e.Granted = append(e.Granted, granted)
	}
	return e
}
