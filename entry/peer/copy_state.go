package peer

import (
	"time"

	"balsamknot.org/fleet/catalogue"
)

// CopyProbe queries the state of a reader's copy of the platform's store. The reader replies with a CopyState.
type CopyProbe struct {
	// Nonce matches a reply with its probe.
	Nonce uint64 `cbor:"1,keyasint"`
}

// CopyState is the reply to a CopyProbe. Its fields are those of ProbeReply, but for the era in NewestChange.
type CopyState struct {
	Nonce         uint64             `cbor:"1,keyasint"`
	NewestChange  catalogue.Position `cbor:"2,keyasint"`
	AgeMs         int64              `cbor:"3,keyasint"`
	ReadsPlatform bool               `cbor:"4,keyasint,omitempty"`
	// OutageEnd is when the last outage of the store ended, and SteadySince from when on reads of it have followed each other closely. Hosts of
	// earlier releases state neither.
	OutageEnd   Ago `cbor:"5,keyasint,omitempty"`
	SteadySince Ago `cbor:"6,keyasint,omitempty"`
}

// Ago is a time before a message was sent, in milliseconds, plus one; 0 if there is none.
type Ago int64

// AgoAt returns how long before now t is; t is zero if there is none.
func AgoAt(now, t time.Time) Ago {
	if t.IsZero() {
		return 0
	}
	return Ago(now.Sub(t).Milliseconds() + 1)
}

// Before returns the time, if the message was sent at sentAt; zero if there is none.
func (a Ago) Before(sentAt time.Time) time.Time {
	if a <= 0 {
		return time.Time{}
	}
	return sentAt.Add(-time.Duration(a-1) * time.Millisecond)
}

// CopyNotice informs the hosts that probed the sender recently that its copy changed, or that it can no longer read the platform. Its fields are
// those of Notice, but for the era in NewestChange.
type CopyNotice struct {
	NewestChange catalogue.Position `cbor:"1,keyasint"`
	ReadFailed   bool               `cbor:"2,keyasint,omitempty"`
}

// WithoutEra returns the state as hosts of earlier releases read it.
func (s CopyState) WithoutEra() ProbeReply {
	return ProbeReply{Nonce: s.Nonce, NewestChange: s.NewestChange.Revision, AgeMs: s.AgeMs, ReadsPlatform: s.ReadsPlatform}
}

// InEra returns the state that a host of an earlier release reports, which is taken to have read the store in the receiver's era.
func (r ProbeReply) InEra(era catalogue.Era) CopyState {
	return CopyState{Nonce: r.Nonce, NewestChange: catalogue.Position{Era: era, Revision: r.NewestChange}, AgeMs: r.AgeMs, ReadsPlatform: r.ReadsPlatform}
}

// WithoutEra returns the notice as hosts of earlier releases read it.
func (n CopyNotice) WithoutEra() Notice {
	return Notice{NewestChange: n.NewestChange.Revision, ReadFailed: n.ReadFailed}
}

// InEra returns the notice of a host of an earlier release, which is taken to have read the store in the receiver's era.
func (n Notice) InEra(era catalogue.Era) CopyNotice {
	return CopyNotice{NewestChange: catalogue.Position{Era: era, Revision: n.NewestChange}, ReadFailed: n.ReadFailed}
}
