package peer

import (
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
)

// LimitReport tells another host what an endpoint's answer says about its limit; see pool.LimitReported.
type LimitReport struct {
	_        struct{} `cbor:",toarray"`
	Service  site.ServiceName
	Endpoint endpoint.ID
	// StartedAt distinguishes instances of an endpoint, as in endpoint.Instance.
	StartedAt int64
	State     endpoint.LimitState
	PerSecond float64
	// AgeMs is the time since the head of the answer was received, when the datagram was sent.
	AgeMs  int64
	Grants int
}

// FromLimitReported converts a report to a message.
func FromLimitReported(now time.Time, e pool.LimitReported) LimitReport {
	return LimitReport{
		Service: e.Service, Endpoint: e.Instance.ID, StartedAt: e.Instance.StartedAt, State: e.Limit.State, PerSecond: e.Limit.PerSecond,
		AgeMs: now.Sub(e.ObservedAt).Milliseconds(), Grants: e.Grants,
	}
}

// ToPool converts the message, received at now, to the keeper's event.
func (r LimitReport) ToPool(now time.Time) pool.LimitReported {
	return pool.LimitReported{
		Service: r.Service, Instance: endpoint.Instance{ID: r.Endpoint, StartedAt: r.StartedAt},
		Limit: endpoint.Limit{State: r.State, PerSecond: r.PerSecond}, ObservedAt: now.Add(-time.Duration(r.AgeMs) * time.Millisecond),
		Grants: r.Grants,
	}
}
