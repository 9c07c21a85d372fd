package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/stream"
)

// Extensions holds the lists of a datagram that were added since releases serve side by side. Unlike the arrays of the other messages, they
// are maps with numbered fields, as are their messages: a host ignores fields that it does not know and takes missing ones for their zero value.
// So that hosts of releases before Extensions lose nothing else with them, they travel in a datagram of their own.
//
// A number is never used for anything else. A field that all hosts must obey needs a message of its own, which older ones do not see.
type Extensions struct {
	From        host.ID      `cbor:"1,keyasint"`
	PartLookups []PartLookup `cbor:"2,keyasint,omitempty"`
	Gossip      *Gossip      `cbor:"3,keyasint,omitempty"`
	// CopyProbes, CopyStates and CopyNotices are Probes, ProbeReplies and Notices of hosts that know the eras of the store.
	CopyProbes  []CopyProbe  `cbor:"4,keyasint,omitempty"`
	CopyStates  []CopyState  `cbor:"5,keyasint,omitempty"`
	CopyNotices []CopyNotice `cbor:"6,keyasint,omitempty"`
	// SetState accompanies the heartbeats of the sender.
	SetState *SetState `cbor:"7,keyasint,omitempty"`
	// GroupLookups and GroupReplies are about the caches of a group of engines.
	GroupLookups []GroupLookup `cbor:"8,keyasint,omitempty"`
	GroupReplies []GroupReply  `cbor:"9,keyasint,omitempty"`
	// SlotDemands and SlotEnds are SlotRequests and SlotReleases for hosts that have said in Abilities that they know them.
	SlotDemands []SlotDemand `cbor:"10,keyasint,omitempty"`
	SlotEnds    []SlotEnd    `cbor:"11,keyasint,omitempty"`
	Abilities   *Abilities   `cbor:"12,keyasint,omitempty"`
	// BudgetReports are about retry budgets.
	BudgetReports []BudgetReport `cbor:"13,keyasint,omitempty"`
}

func (e Extensions) empty() bool {
	return len(e.PartLookups)+len(e.GroupLookups)+len(e.GroupReplies)+len(e.BudgetReports) == 0 && e.Gossip == nil && e.SetState == nil && !e.aboutCopies() && !e.aboutSlots()
}

// aboutSlots reports whether the extensions are about slots.
func (e Extensions) aboutSlots() bool {
	return len(e.SlotDemands)+len(e.SlotEnds) > 0 || e.Abilities != nil
}

// aboutCopies reports whether the extensions are about copies of the platform's store.
func (e Extensions) aboutCopies() bool {
	return len(e.CopyProbes)+len(e.CopyStates)+len(e.CopyNotices) > 0
}

// PartLookup asks the keeper of a service which software versions have an engine that caches a part of a prompt at the length that the part
// has in one request. The reply is a PartReply.
type PartLookup struct {
	Nonce   uint64           `cbor:"1,keyasint"`
	Service site.ServiceName `cbor:"2,keyasint"`
	Part    chat.PartID      `cbor:"3,keyasint"`
	// MinTokens and MaxTokens bound the length; a MaxTokens of 0 is no bound.
	MinTokens int `cbor:"4,keyasint,omitempty"`
	MaxTokens int `cbor:"5,keyasint,omitempty"`
	// TakenUp is the stream whose version is looked up; nil from hosts of releases before it.
	TakenUp *TakenUp `cbor:"7,keyasint,omitempty"`
}

// ToPool converts the message to a lookup at the keeper.
func (l PartLookup) ToPool() pool.PartLookup {
	return pool.PartLookup{Service: l.Service, Part: l.Part, MinTokens: l.MinTokens, MaxTokens: l.MaxTokens, TakenUp: l.TakenUp.toPool()}
}

// TakenUp is pool.TakenUp.
type TakenUp struct {
	Stream stream.ID `cbor:"1,keyasint"`
	AgeMs  int64     `cbor:"2,keyasint,omitempty"`
	Events int       `cbor:"3,keyasint,omitempty"`
}

// FromTakenUp converts a stream to a message; nil if it has no name.
func FromTakenUp(t pool.TakenUp) *TakenUp {
	if t.Stream == 0 {
		return nil
	}
	return &TakenUp{Stream: t.Stream, AgeMs: t.Age.Milliseconds(), Events: t.Events}
}

func (t *TakenUp) toPool() pool.TakenUp {
	if t == nil {
		return pool.TakenUp{}
	}
	return pool.TakenUp{Stream: t.Stream, Age: time.Duration(t.AgeMs) * time.Millisecond, Events: t.Events}
}

// mapHead and mapMask tell a datagram of Extensions, a CBOR map, by the first byte from the arrays of the others.
const (
	mapHead = 0xa0
	mapMask = 0xe0
)

func encodeExtensions(from host.ID, e Extensions) ([]byte, error) {
	e.From = from
	raw, err := cbor.Marshal(e)
	return raw, eris.Wrap(err, "encode extensions")
}

func decodeExtensions(raw []byte) (Datagram, error) {
	var e Extensions
	if err := cbor.Unmarshal(raw, &e); err != nil {
		return Datagram{}, eris.Wrap(err, "decode extensions")
	}
	d := Datagram{From: e.From, Extensions: e}
	d.Extensions.From = ""
	return d, nil
}
