package peer

import (
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
)

// Abilities tells a host that sent a SlotRequest that the sender also knows messages of later releases.
type Abilities struct {
	// Demands is true if the sender understands SlotDemand and SlotEnd.
	Demands bool `cbor:"1,keyasint,omitempty"`
}

// SlotDemand requests a slot, as SlotRequest does, with what the request belongs to and when it is late. See pool.SlotRequested.
type SlotDemand struct {
	Number       uint64             `cbor:"1,keyasint"`
	Service      site.ServiceName   `cbor:"2,keyasint"`
	Parts        []Part             `cbor:"3,keyasint,omitempty"`
	Priority     int                `cbor:"4,keyasint,omitempty"`
	TimeLeftMs   int64              `cbor:"5,keyasint,omitempty"`
	Tried        []endpoint.ID      `cbor:"6,keyasint,omitempty"`
	Retry        bool               `cbor:"7,keyasint,omitempty"`
	LastTry      bool               `cbor:"8,keyasint,omitempty"`
	DataCentre   host.DataCentre    `cbor:"9,keyasint,omitempty"`
	LastEndpoint endpoint.ID        `cbor:"10,keyasint,omitempty"`
	Serial       pool.SerialKey     `cbor:"11,keyasint,omitempty"`
	Version      endpoint.Version   `cbor:"12,keyasint,omitempty"`
	Route        site.RouteName     `cbor:"13,keyasint,omitempty"`
	Workspace    site.WorkspaceName `cbor:"14,keyasint,omitempty"`
	ObjectiveMs  int64              `cbor:"15,keyasint,omitempty"`
	LengthHint   int                `cbor:"16,keyasint,omitempty"`
	// MaxTokens limits the length of the answer in tokens.
	MaxTokens   int               `cbor:"17,keyasint,omitempty"`
	DataCentres []host.DataCentre `cbor:"18,keyasint,omitempty"`
	Model       string            `cbor:"19,keyasint,omitempty"`
}

// FromSlotDemanded converts a slot request to a message, without KeeperUnconfirmed, which the receiving host sets itself, and BudgetShare,
// which applies only when a host decides in place of an unreachable keeper.
func FromSlotDemanded(e pool.SlotRequested) SlotDemand {
	return SlotDemand{
		Number: e.Ticket.Number, Service: e.Service, Parts: fromPrompt(e.Prompt), Priority: e.Priority, TimeLeftMs: e.TimeLeft.Milliseconds(),
		Tried: e.Tried, Retry: e.Retry, LastTry: e.LastTry, DataCentre: e.DataCentre, LastEndpoint: e.LastEndpoint, Serial: e.Serial,
		Version: e.Version, Route: e.Route, Workspace: e.Workspace, ObjectiveMs: e.Objective.Milliseconds(), LengthHint: e.LengthHint,
		MaxTokens: e.Prompt.MaxOutputTokens, DataCentres: e.DataCentres, Model: e.Prompt.Model,
	}
}

// ToPool converts the message of a host to the keeper's event.
func (d SlotDemand) ToPool(from host.ID) pool.SlotRequested {
	return pool.SlotRequested{
		Ticket: pool.Ticket{Host: from, Number: d.Number}, Service: d.Service, Prompt: d.prompt(), Priority: d.Priority,
		TimeLeft: time.Duration(d.TimeLeftMs) * time.Millisecond, Tried: d.Tried, Retry: d.Retry, LastTry: d.LastTry, DataCentre: d.DataCentre,
		LastEndpoint: d.LastEndpoint, Serial: d.Serial, Version: d.Version, Route: d.Route, Workspace: d.Workspace,
		Objective: time.Duration(d.ObjectiveMs) * time.Millisecond, LengthHint: d.LengthHint, DataCentres: d.DataCentres,
	}
}

func (d SlotDemand) prompt() chat.Prompt {
	p := toPrompt(d.Parts)
	p.MaxOutputTokens, p.Model = d.MaxTokens, d.Model
	return p
}

// SlotEnd releases a slot, or withdraws a SlotDemand, as SlotRelease does, with what the sender observed of the run. See pool.Run.
type SlotEnd struct {
	Number       uint64           `cbor:"1,keyasint"`
	Service      site.ServiceName `cbor:"2,keyasint,omitempty"`
	Result       pool.Result      `cbor:"3,keyasint,omitempty"`
	FirstAfterMs int64            `cbor:"4,keyasint,omitempty"`
	LastedMs     int64            `cbor:"5,keyasint,omitempty"`
	Events       int              `cbor:"6,keyasint,omitempty"`
	// Running, Waiting, Slots and Slowdown are those of endpoint.Load.
	Running  int     `cbor:"7,keyasint,omitempty"`
	Waiting  int     `cbor:"8,keyasint,omitempty"`
	Slots    int     `cbor:"9,keyasint,omitempty"`
	Slowdown float32 `cbor:"10,keyasint,omitempty"`
}

// FromSlotReleased converts the release of a slot to a message.
func FromSlotReleased(e pool.SlotReleased) SlotEnd {
	run := e.Run
	return SlotEnd{
		Number: e.Ticket.Number, Service: e.Service, Result: e.Result, FirstAfterMs: run.FirstAfter.Milliseconds(), LastedMs: run.Lasted.Milliseconds(),
		Events: run.Events, Running: run.Load.Running, Waiting: run.Load.Waiting, Slots: run.Load.Slots, Slowdown: float32(run.Load.Slowdown),
	}
}

// ToPool converts the message of a host to the keeper's event.
func (e SlotEnd) ToPool(from host.ID) pool.SlotReleased {
	return pool.SlotReleased{
		Ticket: pool.Ticket{Host: from, Number: e.Number}, Service: e.Service, Result: e.Result,
		Run: pool.Run{
			FirstAfter: time.Duration(e.FirstAfterMs) * time.Millisecond, Lasted: time.Duration(e.LastedMs) * time.Millisecond, Events: e.Events,
			Load: endpoint.Load{Running: e.Running, Waiting: e.Waiting, Slots: e.Slots, Slowdown: float64(e.Slowdown)},
		},
	}
}

// SlotMessage returns the datagram that requests a slot from a keeper. A keeper that does not know demands may be one of an earlier release, which
// knows neither objectives nor homes; it gets no request that is bound to data centres.
func SlotMessage(e pool.SlotRequested, knowsDemands bool) Datagram {
	if knowsDemands || len(e.DataCentres) > 0 {
		return Datagram{Extensions: Extensions{SlotDemands: []SlotDemand{FromSlotDemanded(e)}}}
	}
	return SlotRequestMessage(e)
}

// ReleaseMessage returns the datagram that releases a slot at a keeper.
func ReleaseMessage(e pool.SlotReleased, knowsDemands bool) Datagram {
	if knowsDemands {
		return Datagram{Extensions: Extensions{SlotEnds: []SlotEnd{FromSlotReleased(e)}}}
	}
	return Datagram{SlotReleases: []SlotRelease{{Number: e.Ticket.Number, Service: e.Service, Result: e.Result}}}
}
