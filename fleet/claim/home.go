package claim

import (
	"slices"
	"time"

	"balsamknot.org/fleet/host"
)

// State is how far a home has come with a key.
type State int

// States of a claim.
const (
	// Idle holds no votes and has sent nothing.
	Idle State = iota
	// Asking waits for votes.
	Asking
	// Held has a quorum and has sent nothing.
	Held
	// Started may have sent the request to the endpoint.
	Started
	// Voided holds a quorum and will never send: the key was refused as not run.
	Voided
)

// Claim is the decision state of one home for one key. It is not safe for concurrent use.
type Claim struct {
	self     Claimant
	limits   Limits
	minted   time.Time
	state    State
	attempt  Attempt
	electors []host.ID
	votes    map[host.ID]Verdict
	holder   Claimant
}

// NewClaim returns an idle claim.
func NewClaim(self Claimant, limits Limits, minted time.Time) *Claim {
	return &Claim{self: self, limits: limits, minted: minted}
}

// State returns how far the claim has come.
func (c *Claim) State() State { return c.state }

// Event is something that happens to a claim.
type Event interface{ claimEvent() }

// Asked begins an attempt to win the key.
type Asked struct{ Electors []host.ID }

// Voted is an elector's answer.
type Voted struct {
	From host.ID
	Vote Vote
}

// Unheard says that an elector's answer to an attempt will not come.
type Unheard struct {
	From    host.ID
	Attempt Attempt
}

// GivenUp ends an attempt that takes too long.
type GivenUp struct{ Attempt Attempt }

// StartWanted asks whether the request may go to the endpoint now. It comes directly before the first byte.
type StartWanted struct{ Deadline time.Time }

// HandedBack says that the endpoint's keeper declined the request: it was not sent and will not be.
type HandedBack struct{}

// RefuseWanted asks to refuse the request for good before it was sent.
type RefuseWanted struct{}

func (Asked) claimEvent()        {}
func (Voted) claimEvent()        {}
func (Unheard) claimEvent()      {}
func (GivenUp) claimEvent()      {}
func (StartWanted) claimEvent()  {}
func (HandedBack) claimEvent()   {}
func (RefuseWanted) claimEvent() {}

// Command is what a claim decided.
type Command interface{ claimCommand() }

// AskVotes sends a claim to the electors.
type AskVotes struct {
	Electors []host.ID
	Attempt  Attempt
}

// SendRelease tells the electors that an attempt was given up.
type SendRelease struct {
	Electors []host.ID
	Attempt  Attempt
}

// Won says that a quorum vouches.
type Won struct{}

// Lost says that the key is another's.
type Lost struct{ Holder Claimant }

// Unsettled says that too few electors answered; nothing was sent by this home.
type Unsettled struct{}

// Start hands the request to the endpoint's keeper. It is given again only after HandedBack.
type Start struct{}

// SayNotRun refuses the request: a quorum vouches for this home, and it will never send it.
type SayNotRun struct{}

// SayUnknown refuses the request: it may have run.
type SayUnknown struct{}

func (AskVotes) claimCommand()    {}
func (SendRelease) claimCommand() {}
func (Won) claimCommand()         {}
func (Lost) claimCommand()        {}
func (Unsettled) claimCommand()   {}
func (Start) claimCommand()       {}
func (SayNotRun) claimCommand()   {}
func (SayUnknown) claimCommand()  {}

// Update applies one event at time now and returns the commands that follow from it.
func (c *Claim) Update(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case Asked:
		return c.ask(e)
	case Voted:
		return c.count(e)
	case Unheard:
		if c.state == Asking && e.Attempt == c.attempt {
			c.votes[e.From] = Abstained
			return c.settle()
		}
	case GivenUp:
		if c.state == Asking && e.Attempt == c.attempt {
			return c.giveUp()
		}
	case StartWanted:
		return c.start(now, e)
	case HandedBack:
		if c.state == Started {
			c.state = Held
		}
	case RefuseWanted:
		return c.refuse()
	}
	return nil
}

func (c *Claim) ask(e Asked) []Command {
	if c.state != Idle {
		return nil
	}
	if len(e.Electors) == 0 {
		return []Command{Unsettled{}}
	}
	c.state = Asking
	c.attempt++
	c.electors = slices.Clone(e.Electors)
	c.votes = make(map[host.ID]Verdict, len(e.Electors))
	c.holder = Claimant{}
	return []Command{AskVotes{Electors: c.electors, Attempt: c.attempt}}
}

func (c *Claim) count(e Voted) []Command {
	if c.state != Asking || e.Vote.Attempt != c.attempt || !slices.Contains(c.electors, e.From) {
		return nil
	}
	c.votes[e.From] = e.Vote.Verdict
	if e.Vote.Verdict == Refused {
		c.holder = e.Vote.Holder
	}
	return c.settle()
}

// settle ends the attempt as soon as its result is certain.
func (c *Claim) settle() []Command {
	granted := 0
	for _, verdict := range c.votes {
		if verdict == Granted {
			granted++
		}
	}
	quorum := Quorum(len(c.electors))
	if granted >= quorum {
		c.state = Held
		return []Command{Won{}}
	}
	if granted+len(c.electors)-len(c.votes) < quorum {
		return c.giveUp()
	}
	return nil
}

func (c *Claim) giveUp() []Command {
	c.state = Idle
	release := SendRelease{Electors: c.electors, Attempt: c.attempt}
	if c.holder != (Claimant{}) {
		return []Command{release, Lost{Holder: c.holder}}
	}
	return []Command{release, Unsettled{}}
}

// start marks the request as started before a byte leaves; there is no second start unless it was handed back.
func (c *Claim) start(now time.Time, e StartWanted) []Command {
	if c.state != Held {
		return []Command{SayUnknown{}}
	}
	if !now.Before(e.Deadline) || c.limits.Expired(now, c.minted) {
		return c.refuse()
	}
	c.state = Started
	return []Command{Start{}}
}

// refuse voids a held claim. The electors go on vouching for this home, so that no other can win the key.
func (c *Claim) refuse() []Command {
	if c.state != Held && c.state != Voided {
		return []Command{SayUnknown{}}
	}
	c.state = Voided
	return []Command{SayNotRun{}}
}
