package claim

import (
	"slices"
	"time"

	"balsamknot.org/fleet/host"
)

// State is the state of a Claim.
type State int

// States of a claim.
const (
	// Idle means that no attempt is in progress and that the request has not been sent.
	Idle State = iota
	// AwaitingVotes means that votes are requested and that the result is open.
	AwaitingVotes
	// Acquired means that a quorum granted the key and that the request has not been sent.
	Acquired
	// Started means that the request may have been sent to the endpoint.
	Started
	// Voided means that a quorum granted the key, but that the request was refused as not run and will never be sent.
	Voided
)

// Claim is the state machine by which one home wins one key and decides whether the request may be sent. It does no I/O:
// Update takes events and returns commands. It is not safe for concurrent use.
type Claim struct {
	self         Claimant
	limits       Limits
	keyCreatedAt time.Time
	state        State
	attempt      Attempt
	electors     []host.ID
	votes        map[host.ID]Verdict
	holder       Claimant
}

// NewClaim returns an idle claim of self to a key that was created at keyCreatedAt.
func NewClaim(self Claimant, limits Limits, keyCreatedAt time.Time) *Claim {
	return &Claim{self: self, limits: limits, keyCreatedAt: keyCreatedAt}
}

// State returns the current state; only Update changes it.
func (c *Claim) State() State { return c.state }

// Event is an input of Update.
type Event interface{ claimEvent() }

// AttemptRequested starts an attempt to win the key. It is ignored unless the claim is idle.
type AttemptRequested struct{ Electors []host.ID }

// VoteReceived is an elector's reply.
type VoteReceived struct {
	From host.ID
	Vote Vote
}

// VoteFailed reports that the vote request to an elector failed, so that no reply to this attempt will arrive. Update
// handles it like an abstention.
type VoteFailed struct {
	From    host.ID
	Attempt Attempt
}

// AttemptTimedOut ends an attempt whose votes did not arrive in time.
type AttemptTimedOut struct{ Attempt Attempt }

// StartRequested requests permission to send the request to the endpoint now. It must come directly before the first byte is
// sent: a process that was paused since it won the key must not send the request after the deadline.
type StartRequested struct{ Deadline time.Time }

// KeeperDeclined reports that the endpoint's keeper declined the request: it did not send it to the endpoint and never will.
type KeeperDeclined struct{}

// RefusalRequested requests the kind of refusal for the request. Update returns RefuseNotRun if the key was won and the request
// not sent, which voids the key, and RefuseUnknown otherwise.
type RefusalRequested struct{}

func (AttemptRequested) claimEvent() {}
func (VoteReceived) claimEvent()     {}
func (VoteFailed) claimEvent()       {}
func (AttemptTimedOut) claimEvent()  {}
func (StartRequested) claimEvent()   {}
func (KeeperDeclined) claimEvent()   {}
func (RefusalRequested) claimEvent() {}

// Command is an output of Update, for the caller to carry out.
type Command interface{ claimCommand() }

// RequestVotes sends a vote request to each elector.
type RequestVotes struct {
	Electors []host.ID
	Attempt  Attempt
}

// SendRelease sends each elector a release of an abandoned attempt, so that it withdraws its grant.
type SendRelease struct {
	Electors []host.ID
	Attempt  Attempt
}

// Won reports that a quorum granted the key.
type Won struct{}

// Lost reports that the attempt failed and that at least one elector has granted the key to Holder.
type Lost struct{ Holder Claimant }

// Unsettled reports that too few electors granted the key and that none named another claimant. This home has not sent the
// request.
type Unsettled struct{}

// Start permits the request to be handed to the endpoint's keeper. It is returned once, and again only after KeeperDeclined.
type Start struct{}

// RefuseNotRun refuses the request with outcome NotRun: a quorum granted the key to this home, which will never send it.
type RefuseNotRun struct{}

// RefuseUnknown refuses the request with outcome Unknown: it may have run, here or at another home.
type RefuseUnknown struct{}

func (RequestVotes) claimCommand()  {}
func (SendRelease) claimCommand()   {}
func (Won) claimCommand()           {}
func (Lost) claimCommand()          {}
func (Unsettled) claimCommand()     {}
func (Start) claimCommand()         {}
func (RefuseNotRun) claimCommand()  {}
func (RefuseUnknown) claimCommand() {}

// Update applies one event at time now and returns the commands to carry out. Votes, failures and
// time-outs of an earlier attempt are ignored.
func (c *Claim) Update(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case AttemptRequested:
		return c.startAttempt(e)
	case VoteReceived:
		return c.countVote(e)
	case VoteFailed:
		if c.state == AwaitingVotes && e.Attempt == c.attempt {
			c.votes[e.From] = Abstained
			return c.endAttemptIfDecided()
		}
	case AttemptTimedOut:
		if c.state == AwaitingVotes && e.Attempt == c.attempt {
			return c.abandonAttempt()
		}
	case StartRequested:
		return c.tryStart(now, e)
	case KeeperDeclined:
		if c.state == Started {
			c.state = Acquired
		}
	case RefusalRequested:
		return c.refuse()
	}
	return nil
}

func (c *Claim) startAttempt(e AttemptRequested) []Command {
	if c.state != Idle {
		return nil
	}
	if len(e.Electors) == 0 {
		return []Command{Unsettled{}}
	}
	c.state = AwaitingVotes
	c.attempt++
	c.electors = slices.Clone(e.Electors)
	c.votes = make(map[host.ID]Verdict, len(e.Electors))
	c.holder = Claimant{}
	return []Command{RequestVotes{Electors: c.electors, Attempt: c.attempt}}
}

func (c *Claim) countVote(e VoteReceived) []Command {
	if c.state != AwaitingVotes || e.Vote.Attempt != c.attempt || !slices.Contains(c.electors, e.From) {
		return nil
	}
	c.votes[e.From] = e.Vote.Verdict
	if e.Vote.Verdict == Refused {
		c.holder = e.Vote.Holder
	}
	return c.endAttemptIfDecided()
}

// endAttemptIfDecided ends the attempt as soon as a quorum has granted the key or can no longer be reached.
func (c *Claim) endAttemptIfDecided() []Command {
	granted := 0
	for _, verdict := range c.votes {
		if verdict == Granted {
			granted++
		}
	}
	quorum := Quorum(len(c.electors))
	if granted >= quorum {
		c.state = Acquired
		return []Command{Won{}}
	}
	if granted+len(c.electors)-len(c.votes) < quorum {
		return c.abandonAttempt()
	}
	return nil
}

func (c *Claim) abandonAttempt() []Command {
	c.state = Idle
	release := SendRelease{Electors: c.electors, Attempt: c.attempt}
	if c.holder != (Claimant{}) {
		return []Command{release, Lost{Holder: c.holder}}
	}
	return []Command{release, Unsettled{}}
}

// tryStart sets Started before the first byte is sent. There is no second start unless the keeper declined the request.
func (c *Claim) tryStart(now time.Time, e StartRequested) []Command {
	if c.state != Acquired {
		return []Command{RefuseUnknown{}}
	}
	if !now.Before(e.Deadline) || c.limits.Expired(now, c.keyCreatedAt) {
		return c.refuse()
	}
	c.state = Started
	return []Command{Start{}}
}

// refuse voids a claim that has won the key. The grants are not released, so that no other home can win the key.
// In any other state the request may have run.
func (c *Claim) refuse() []Command {
	if c.state != Acquired && c.state != Voided {
		return []Command{RefuseUnknown{}}
	}
	c.state = Voided
	return []Command{RefuseNotRun{}}
}
