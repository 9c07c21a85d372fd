package peer

import (
	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
)

// GroupLookup is a PartLookup that means the engines of one group of the service, whose caches the host that gets it lists. Hosts of releases
// before it do not reply. Attempt is that of pool.GroupQuery.
type GroupLookup struct {
	Nonce     uint64           `cbor:"1,keyasint"`
	Service   site.ServiceName `cbor:"2,keyasint"`
	Part      chat.PartID      `cbor:"3,keyasint"`
	MinTokens int              `cbor:"4,keyasint,omitempty"`
	MaxTokens int              `cbor:"5,keyasint,omitempty"`
	Index     uint32           `cbor:"6,keyasint,omitempty"`
	Count     uint32           `cbor:"7,keyasint"`
	Attempt   int              `cbor:"8,keyasint,omitempty"`
	// TakenUp is that of PartLookup.
	TakenUp *TakenUp `cbor:"9,keyasint,omitempty"`
}

// FromGroupQuery converts a query of a search to a message.
func FromGroupQuery(nonce uint64, lookup pool.PartLookup, q pool.GroupQuery) GroupLookup {
	return GroupLookup{
		Nonce: nonce, Service: lookup.Service, Part: lookup.Part, MinTokens: lookup.MinTokens, MaxTokens: lookup.MaxTokens,
		Index: q.Group.Index, Count: q.Group.Count, Attempt: q.Attempt, TakenUp: FromTakenUp(lookup.TakenUp),
	}
}

// ToPool converts the message to a lookup.
func (l GroupLookup) ToPool() pool.PartLookup {
	return pool.PartLookup{
		Service: l.Service, Part: l.Part, MinTokens: l.MinTokens, MaxTokens: l.MaxTokens, Group: pool.ListGroup{Index: l.Index, Count: l.Count},
		TakenUp: l.TakenUp.toPool(),
	}
}

// GroupReply is the reply to the GroupLookup with the same Nonce, at once and whatever is known by then. See pool.GroupAnswer.
type GroupReply struct {
	Nonce    uint64             `cbor:"1,keyasint"`
	Index    uint32             `cbor:"2,keyasint,omitempty"`
	Count    uint32             `cbor:"3,keyasint"`
	Found    []endpoint.Version `cbor:"4,keyasint,omitempty"`
	Awaited  []endpoint.Version `cbor:"5,keyasint,omitempty"`
	Unlisted bool               `cbor:"6,keyasint,omitempty"`
	// Possible is ignored by hosts of releases before it.
	Possible []endpoint.Version `cbor:"7,keyasint,omitempty"`
	// Left, Order and Standing are ignored by hosts of releases before them.
	Left     []endpoint.Version `cbor:"8,keyasint,omitempty"`
	Order    []endpoint.Version `cbor:"9,keyasint,omitempty"`
	Standing pool.Standing      `cbor:"10,keyasint,omitempty"`
}

// FromGroupAnswer converts an answer to a message.
func FromGroupAnswer(nonce uint64, a pool.GroupAnswer) GroupReply {
	return GroupReply{
		Nonce: nonce, Index: a.Group.Index, Count: a.Group.Count, Found: a.Found, Awaited: a.Awaited, Unlisted: a.Unlisted, Possible: a.Possible,
		Left: a.Left, Order: a.Order, Standing: a.Standing,
	}
}

// ToPool converts the message to an answer.
func (r GroupReply) ToPool() pool.GroupAnswer {
	return pool.GroupAnswer{
		Group: pool.ListGroup{Index: r.Index, Count: r.Count}, Found: r.Found, Awaited: r.Awaited, Unlisted: r.Unlisted, Possible: r.Possible,
		Left: r.Left, Order: r.Order, Standing: r.Standing,
	}
}
