package peer

import (
	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/stream"
)

// BoundRequest is a slot request for which only endpoints of one software version may be chosen. Keepers of earlier releases, which would
// choose any, do not see it.
type BoundRequest struct {
	_       struct{} `cbor:",toarray"`
	Request SlotRequest
	Version endpoint.Version
}

// ToPool converts the message of a host to the keeper's event.
func (r BoundRequest) ToPool(from host.ID) pool.SlotRequested {
	e := r.Request.ToPool(from)
	e.Version = r.Version
	return e
}

// SlotRequestMessage returns the datagram that requests a slot.
func SlotRequestMessage(e pool.SlotRequested) Datagram {
	request := FromSlotRequested(e)
	if e.Version == "" {
		return Datagram{SlotRequests: []SlotRequest{request}}
	}
	return Datagram{Additions: Additions{BoundRequests: []BoundRequest{{Request: request, Version: e.Version}}}}
}

// StreamOrigin tells a replica which version began a stream; see stream.Origin.
type StreamOrigin struct {
	_       struct{} `cbor:",toarray"`
	Stream  stream.ID
	Service site.ServiceName
	Version endpoint.Version
}

// StreamQuery asks a replica which version began a stream. Stream is 0 if the caller did not name the stream; only StreamReply.Several is of
// use then.
type StreamQuery struct {
	_       struct{} `cbor:",toarray"`
	Nonce   uint64
	Stream  stream.ID
	Service site.ServiceName
}

// StreamReply is the reply to the StreamQuery with the same Nonce.
type StreamReply struct {
	_     struct{} `cbor:",toarray"`
	Nonce uint64
	// Version is empty if the sender does not know it.
	Version endpoint.Version
	// Several is true if the sender has seen more than one version of the service within stream.Lifetime.
	Several bool
}

// PartQuery asks the keeper of a service which software versions have an engine that caches a part of a prompt, at any length. Hosts of the
// last release send it; see PartLookup.
type PartQuery struct {
	_       struct{} `cbor:",toarray"`
	Nonce   uint64
	Service site.ServiceName
	Part    chat.PartID
}

// PartReply is the reply to the PartLookup or PartQuery with the same Nonce. It is sent once the keeper has listed the engines' caches.
type PartReply struct {
	_        struct{} `cbor:",toarray"`
	Nonce    uint64
	Versions []endpoint.Version
}
