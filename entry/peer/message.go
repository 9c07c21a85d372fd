// Package peer defines the messages that entry hosts exchange, and sends and receives them.
//
// Most messages travel in UDP datagrams: heartbeats, requests for slots (the right to run one request at an endpoint) to the
// keeper of a service (the host that grants its slots), and the state of each host's copy of the platform's store. A datagram may
// be lost: slot requests are repeated until a reply arrives or the sender gives up, and other messages are sent periodically or
// may be missed. Datagrams carry no request or response bodies. The contents of the store are fetched over HTTP from a reader, a
// host that reads the platform's store and serves its copy to others.
//
// Messages are encoded as CBOR arrays, so the order and the types of the fields are part of the protocol, their names are not. A host
// drops a datagram whose arrays have other lengths than it knows, so that no field can be added to them. Lists that were added to the protocol
// are therefore in Additions and Extras, which a datagram contains only if one of them is not empty, and new ones in Extensions, which may grow.
package peer

import (
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/roster"
	"balsamknot.org/fleet/site"
)

// Datagram is one message between hosts. Any of its lists may be empty.
type Datagram struct {
	_            struct{} `cbor:",toarray"`
	From         host.ID
	Heartbeats   []roster.Heartbeat
	SlotRequests []SlotRequest
	SlotReplies  []SlotReply
	SlotReleases []SlotRelease
	HeldSlots    []HeldSlot
	Crashes      []Crash
	CacheUpdates []CacheUpdate
	// Probes, ProbeReplies and Notices keep the copies of the platform's store up to date on the hosts that do not read it.
	Probes       []Probe
	ProbeReplies []ProbeReply
	Notices      []Notice

	// Additions, Extras and Extensions are not part of the array; see EncodeAll.
	Additions  Additions  `cbor:"-"`
	Extras     Extras     `cbor:"-"`
	Extensions Extensions `cbor:"-"`
}

// SlotRequest requests a slot from the keeper of a service, for a caller's request at the sender. See pool.SlotRequested.
type SlotRequest struct {
	_            struct{} `cbor:",toarray"`
	Number       uint64
	Service      site.ServiceName
	Parts        []Part
	Priority     int
	TimeLeftMs   int64
	Tried        []endpoint.ID
	Retry        bool
	LastTry      bool
	DataCentre   host.DataCentre
	LastEndpoint endpoint.ID
	Serial       pool.SerialKey
}

// Part is a part of a prompt, with its length in tokens.
type Part struct {
	_      struct{} `cbor:",toarray"`
	ID     chat.PartID
	Tokens int
}

// SlotReply is a keeper's reply to the SlotRequest with the same Number.
type SlotReply struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Kind   SlotReplyKind
	// Endpoint, StartedAt, Fetch and Decision are set when Kind is Granted. StartedAt distinguishes instances of an endpoint, as in
	// endpoint.Instance. Fetch is an engine from whose cache Endpoint can fetch parts of the prompt; empty when there is none.
	Endpoint  endpoint.ID
	StartedAt int64
	Fetch     endpoint.ID
	Decision  Decision
	// Reason and RetryAfterMs are set when Kind is Refused.
	Reason       pool.Reason
	RetryAfterMs int64
}

// Decision is the data on which the keeper chose the endpoint; see pool.Decision.
type Decision struct {
	_                                            struct{} `cbor:",toarray"`
	Running, Limit, MissingTokens, FetchedTokens int
	Suspect                                      bool
	WaitedMs                                     int64
}

// SlotReplyKind is the state of a SlotRequest at the keeper. Its numbers travel between hosts.
type SlotReplyKind int

// States of a slot request at the keeper.
const (
	// Granted means that the request holds a slot.
	Granted SlotReplyKind = iota
	// Queued means that the request waits for a slot.
	Queued
	// Refused means that the request gets no slot, for the Reason in the reply.
	Refused
)

// SlotRelease releases a slot, or withdraws a SlotRequest. Service is empty when only the Number is known.
type SlotRelease struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Service site.ServiceName
	Result  pool.Result
}

// HeldSlot reports a slot that a request of the sender holds. Hosts repeat it so that the keeper does not free the slot, and so
// that a new keeper learns of it.
type HeldSlot struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Service  site.ServiceName
	Endpoint endpoint.ID
	Parts    []Part
	Serial   pool.SerialKey
}

// CacheUpdate sends the known contents of a service's engine caches to its standbys, the hosts that take over from its keeper.
type CacheUpdate struct {
	_       struct{} `cbor:",toarray"`
	Service site.ServiceName
	Cached  []CachedParts
}

// CachedParts lists parts of a prompt that an endpoint caches.
type CachedParts struct {
	_     struct{} `cbor:",toarray"`
	ID    endpoint.ID
	Parts []chat.PartID
}

// FromCachedParts converts cache contents to a message.
func FromCachedParts(service site.ServiceName, cached []pool.CachedParts) CacheUpdate {
	u := CacheUpdate{Service: service}
	for _, c := range cached {
		u.Cached = append(u.Cached, CachedParts{ID: c.ID, Parts: c.Parts})
	}
	return u
}

// ToPool converts the message to the keeper's event.
func (u CacheUpdate) ToPool() pool.CacheUpdated {
	e := pool.CacheUpdated{Service: u.Service}
	for _, c := range u.Cached {
		e.Cached = append(e.Cached, pool.CachedParts{ID: c.ID, Parts: c.Parts})
	}
	return e
}

// Crash is a crash of an endpoint during a request with this fingerprint, its own or that of a part of its prompt, or, if Endpoint is
// empty, the completion of such a request. Hosts exchange both to find what crashes endpoints; see fingerprint.Row.
type Crash struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint fingerprint.Fingerprint
	Endpoint    endpoint.ID
	// StartedAt distinguishes instances of an endpoint, as in endpoint.Instance.
	StartedAt int64
	// AgeMs is the time since the crash or completion when the datagram was sent, and RanMs how long the request had run.
	AgeMs, RanMs int64
	// Unconfirmed is true if the endpoint only fell silent; Alone is fingerprint.Crash.Alone.
	Unconfirmed, Alone bool
}

// FromCrashRow converts a row to a message.
func FromCrashRow(row fingerprint.Row) Crash {
	return Crash{
		Fingerprint: row.Fingerprint, Endpoint: endpoint.ID(row.Crash.Engine), StartedAt: row.Crash.Incarnation,
		AgeMs: row.Age.Milliseconds(), RanMs: row.Crash.Ran.Milliseconds(), Unconfirmed: row.Crash.Unconfirmed, Alone: row.Crash.Alone,
	}
}

// ToRow converts the message to a row.
func (c Crash) ToRow() fingerprint.Row {
	return fingerprint.Row{
		Fingerprint: c.Fingerprint, Age: time.Duration(c.AgeMs) * time.Millisecond,
		Crash: fingerprint.Crash{
			Engine: engine.ID(c.Endpoint), Incarnation: c.StartedAt, Ran: time.Duration(c.RanMs) * time.Millisecond, Unconfirmed: c.Unconfirmed, Alone: c.Alone,
		},
	}
}

// FromSlotRequested converts a slot request to a message, without Version (see BoundRequest), KeeperUnconfirmed, which the receiving host
// sets itself, and BudgetShare, which applies only when a host decides in place of an unreachable keeper.
func FromSlotRequested(e pool.SlotRequested) SlotRequest {
	return SlotRequest{
		Number: e.Ticket.Number, Service: e.Service, Parts: fromPrompt(e.Prompt), Priority: e.Priority,
		TimeLeftMs: e.TimeLeft.Milliseconds(), Tried: e.Tried, Retry: e.Retry, LastTry: e.LastTry, DataCentre: e.DataCentre, LastEndpoint: e.LastEndpoint, Serial: e.Serial,
	}
}

// ToPool converts the message of a host to the keeper's event.
func (r SlotRequest) ToPool(from host.ID) pool.SlotRequested {
	return pool.SlotRequested{
		Ticket: pool.Ticket{Host: from, Number: r.Number}, Service: r.Service, Prompt: toPrompt(r.Parts), Priority: r.Priority,
		TimeLeft: time.Duration(r.TimeLeftMs) * time.Millisecond, Tried: r.Tried, Retry: r.Retry, LastTry: r.LastTry,
		DataCentre: r.DataCentre, LastEndpoint: r.LastEndpoint, Serial: r.Serial,
	}
}

// FromSlotHeld converts a held slot to a message.
func FromSlotHeld(e pool.SlotHeld) HeldSlot {
	return HeldSlot{Number: e.Ticket.Number, Service: e.Service, Endpoint: e.ID, Parts: fromPrompt(e.Prompt), Serial: e.Serial}
}

// ToPool converts the message of a host to the keeper's event.
func (h HeldSlot) ToPool(from host.ID) pool.SlotHeld {
	return pool.SlotHeld{
		Ticket: pool.Ticket{Host: from, Number: h.Number}, Service: h.Service, ID: h.Endpoint, Prompt: toPrompt(h.Parts), Serial: h.Serial,
	}
}

// FromDecision converts a keeper's decision to a message, without the keeper's own ID.
func FromDecision(d pool.Decision) Decision {
	return Decision{Running: d.Running, Limit: d.Limit, MissingTokens: d.MissingTokens, FetchedTokens: d.FetchedTokens, Suspect: d.Suspect, WaitedMs: d.Waited.Milliseconds()}
}

// ToPool converts the message to a decision. Keeper is left empty for the caller to set.
func (d Decision) ToPool() pool.Decision {
	return pool.Decision{
		Running: d.Running, Limit: d.Limit, MissingTokens: d.MissingTokens, FetchedTokens: d.FetchedTokens, Suspect: d.Suspect,
		Waited: time.Duration(d.WaitedMs) * time.Millisecond,
	}
}

func fromPrompt(p chat.Prompt) []Part {
	var parts []Part
	for _, part := range p.Parts {
		parts = append(parts, Part{ID: part.ID, Tokens: part.Tokens})
	}
	return parts
}

func toPrompt(parts []Part) chat.Prompt {
	var p chat.Prompt
	for _, part := range parts {
		p.Parts = append(p.Parts, chat.Part{ID: part.ID, Tokens: part.Tokens})
		p.Tokens += part.Tokens
	}
	return p
}
