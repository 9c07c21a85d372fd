package peer

import (
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
)

// StatementReport tells another host what an endpoint's answer says of it; see pool.StatementReported.
type StatementReport struct {
	_        struct{} `cbor:",toarray"`
	Service  site.ServiceName
	Endpoint endpoint.ID
	// StartedAt distinguishes instances of an endpoint, as in endpoint.Instance.
	StartedAt int64
	Leaving   bool
	// Brittle and TurnedAway are those of endpoint.Brittle.
	Brittle    bool
	TurnedAway int
	RestLeftMs int64
	// AgeMs is the time since the head of the answer was received, when the datagram was sent.
	AgeMs int64
}

// RestReport tells the hosts that an endpoint wants no requests from one of them, the relay through which the sender got the answer.
type RestReport struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  endpoint.ID
	StartedAt int64
	Host      host.ID
	// LeftMs is for how much longer, when the datagram was sent.
	LeftMs int64
}

// FromStatementReported converts a report to a message.
func FromStatementReported(now time.Time, e pool.StatementReported) StatementReport {
	return StatementReport{
		Service: e.Service, Endpoint: e.Instance.ID, StartedAt: e.Instance.StartedAt, Leaving: e.Leaving, Brittle: e.Brittle.Stated,
		TurnedAway: e.Brittle.TurnedAway, RestLeftMs: e.RestLeft.Milliseconds(), AgeMs: now.Sub(e.ObservedAt).Milliseconds(),
	}
}

// ToPool converts the message, received at now, to the keeper's event.
func (r StatementReport) ToPool(now time.Time) pool.StatementReported {
	return pool.StatementReported{
		Service: r.Service, Instance: endpoint.Instance{ID: r.Endpoint, StartedAt: r.StartedAt}, Leaving: r.Leaving,
		Brittle:  endpoint.Brittle{Stated: r.Brittle, TurnedAway: r.TurnedAway},
		RestLeft: time.Duration(r.RestLeftMs) * time.Millisecond, ObservedAt: now.Add(-time.Duration(r.AgeMs) * time.Millisecond),
	}
}

// Instance returns the instance of the endpoint.
func (r RestReport) Instance() endpoint.Instance {
	return endpoint.Instance{ID: r.Endpoint, StartedAt: r.StartedAt}
}
