// Package peer carries messages between hosts as datagrams: heartbeats, and the few words that a place costs.
// A lost datagram is asked for again by whoever waits for it; none carries a caller's bytes.
package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/fingerprint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/roster"
	"balsamknot.org/fleet/site"
)

// Datagram is one message between hosts. Any of its lists may be empty.
type Datagram struct {
	_       struct{} `cbor:",toarray"`
	From    host.ID
	Beats   []roster.Heartbeat
	Asks    []Ask
	Answers []Answer
	Ends    []End
	Holds   []Hold
	Crashes []Crash
	Learned []Learned
	// Probes, Confirms and Notices share what few hosts read of the platform.
	Probes   []Probe
	Confirms []Confirm
	Notices  []Notice
}

// Ask wants a place for a request of the sender.
type Ask struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64
	Service    site.ServiceName
	Parts      []Part
	Rank       int
	PatienceMs int64
	Tried      []endpoint.ID
	Repeat     bool
	Once       bool
	DataCentre host.DataCentre
	Known      endpoint.ID
}

// Part is a part of a prompt.
type Part struct {
	_      struct{} `cbor:",toarray"`
	ID     chat.PartID
	Tokens int
}

// Answer answers an Ask.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Kind   AnswerKind
	// Endpoint, Born and Why are set with Placed.
	Endpoint endpoint.ID
	Born     int64
	Fetch    endpoint.ID
	Why      Why
	// Reason and AfterMs are set with Refused.
	Reason  pool.Reason
	AfterMs int64
}

// Why is what the keeper knew when it chose the endpoint; see pool.Decision.
type Why struct {
	_                                struct{} `cbor:",toarray"`
	Running, Limit, Missing, Fetched int
	Suspect                          bool
	WaitedMs                         int64
}

// AnswerKind says what became of an Ask.
type AnswerKind int

// Kinds of answers.
const (
	Placed AnswerKind = iota
	Queued
	Refused
)

// End gives a place up, or withdraws an Ask.
type End struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Service site.ServiceName
	Result  pool.Result
}

// Hold tells of a place that the sender holds.
type Hold struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Service  site.ServiceName
	Endpoint endpoint.ID
	Parts    []Part
}

// Learned tells the hosts that would keep a service next what its endpoints' caches hold.
type Learned struct {
	_       struct{} `cbor:",toarray"`
	Service site.ServiceName
	Cached  []Cached
}

// Cached tells that an endpoint holds parts of prompts.
type Cached struct {
	_     struct{} `cbor:",toarray"`
	ID    endpoint.ID
	Parts []chat.PartID
}

// FromTell translates news for the wire.
func FromTell(service site.ServiceName, cached []pool.CachedParts) Learned {
	l := Learned{Service: service}
	for _, c := range cached {
		l.Cached = append(l.Cached, Cached{ID: c.ID, Parts: c.Parts})
	}
	return l
}

// Learned translates news from the wire.
func (l Learned) Learned() pool.CacheUpdated {
	e := pool.CacheUpdated{Service: l.Service}
	for _, c := range l.Cached {
		e.Cached = append(e.Cached, pool.CachedParts{ID: c.ID, Parts: c.Parts})
	}
	return e
}

// Crash tells that an endpoint was lost while it ran a request.
type Crash struct {
	_        struct{} `cbor:",toarray"`
	Print    fingerprint.Fingerprint
	Endpoint endpoint.ID
	// AtMs is when, in milliseconds of Unix time.
	AtMs  int64
	Alone bool
}

// Encode returns the bytes of a datagram.
func Encode(d Datagram) ([]byte, error) {
	raw, err := cbor.Marshal(d)
	return raw, eris.Wrap(err, "encode a datagram")
}

// Decode reads a datagram.
func Decode(raw []byte) (Datagram, error) {
	var d Datagram
	if err := cbor.Unmarshal(raw, &d); err != nil {
		return Datagram{}, eris.Wrap(err, "decode a datagram")
	}
	return d, nil
}

// FromAsked translates a question for the wire.
func FromAsked(e pool.SlotRequested) Ask {
	return Ask{
		Number: e.Ticket.Number, Service: e.Service, Parts: fromPrompt(e.Prompt), Rank: e.Priority,
		PatienceMs: e.TimeLeft.Milliseconds(), Tried: e.Tried, Repeat: e.Retry, Once: e.LastTry, DataCentre: e.DataCentre, Known: e.LastEndpoint,
	}
}

// Asked translates a question from the wire.
func (a Ask) Asked(from host.ID) pool.SlotRequested {
	return pool.SlotRequested{
		Ticket: pool.Ticket{Host: from, Number: a.Number}, Service: a.Service, Prompt: toPrompt(a.Parts), Priority: a.Rank,
		TimeLeft: time.Duration(a.PatienceMs) * time.Millisecond, Tried: a.Tried, Retry: a.Repeat, LastTry: a.Once,
		DataCentre: a.DataCentre, LastEndpoint: a.Known,
	}
}

// FromHeld translates a held place for the wire.
func FromHeld(e pool.SlotHeld) Hold {
	return Hold{Number: e.Ticket.Number, Service: e.Service, Endpoint: e.ID, Parts: fromPrompt(e.Prompt)}
}

// Held translates a held place from the wire.
func (h Hold) Held(from host.ID) pool.SlotHeld {
	return pool.SlotHeld{
		Ticket: pool.Ticket{Host: from, Number: h.Number}, Service: h.Service, ID: h.Endpoint, Prompt: toPrompt(h.Parts),
	}
}

// FromWhy translates a keeper's reasons for the wire.
func FromWhy(w pool.Decision) Why {
	return Why{Running: w.Running, Limit: w.Limit, Missing: w.MissingTokens, Fetched: w.FetchedTokens, Suspect: w.Suspect, WaitedMs: w.Waited.Milliseconds()}
}

// Why translates a keeper's reasons from the wire.
func (w Why) Why() pool.Decision {
	return pool.Decision{
		Running: w.Running, Limit: w.Limit, MissingTokens: w.Missing, FetchedTokens: w.Fetched, Suspect: w.Suspect,
		Waited: time.Duration(w.WaitedMs) * time.Millisecond,
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
