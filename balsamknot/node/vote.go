package node

import (
	"context"
	"strings"

	"connectrpc.com/connect"

	"balsamknot.org/fleet/claim"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/wire"
)

// claimKey makes one attempt to win a key and returns its result: claim.Won, claim.Lost or claim.Unsettled.
func (c *claims) claimKey(ctx context.Context, key claim.Key, state *keyState) claim.Command {
	results := make(chan claim.Command, 1)
	c.updateAndExecute(ctx, key, state, claim.AttemptRequested{Electors: c.n.members.electors(key)}, results)
	return <-results
}

// updateAndExecute applies one event to a claim and carries out the commands that follow. The result of an attempt goes to
// results.
func (c *claims) updateAndExecute(ctx context.Context, key claim.Key, state *keyState, e claim.Event, results chan<- claim.Command) {
	c.mu.Lock()
	commands := state.claim.Update(c.n.timers.Now(), e)
	c.mu.Unlock()
	for _, command := range commands {
		switch cmd := command.(type) {
		case claim.RequestVotes:
			for _, id := range cmd.Electors {
				go c.collectVote(ctx, key, state, id, cmd, results)
			}
		case claim.SendRelease:
			for _, id := range cmd.Electors {
				go c.sendRelease(key, id, cmd.Attempt)
			}
		case claim.Won, claim.Lost, claim.Unsettled:
			results <- cmd
		}
	}
}

// collectVote requests one elector's vote and applies it to the claim.
func (c *claims) collectVote(ctx context.Context, key claim.Key, state *keyState, id host.ID, cmd claim.RequestVotes, results chan<- claim.Command) {
	vote, err := c.requestVote(ctx, key, id, cmd)
	if err != nil {
		c.updateAndExecute(ctx, key, state, claim.VoteFailed{From: id, Attempt: cmd.Attempt}, results)
		return
	}
	c.updateAndExecute(ctx, key, state, claim.VoteReceived{From: id, Vote: vote}, results)
}

// requestVote returns the vote of an elector, which may be this node.
func (c *claims) requestVote(ctx context.Context, key claim.Key, id host.ID, cmd claim.RequestVotes) (claim.Vote, error) {
	if id == c.n.self.ID {
		return c.castVote(key, c.self, cmd.Attempt, cmd.Electors), nil
	}
	record, ok := c.n.members.record(id)
	if !ok {
		return claim.Vote{}, errUnknownPeer
	}
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	r := &wire.VoteRequest{Key: string(key), Claimant: formatClaimant(c.self), Attempt: uint64(cmd.Attempt)}
	for _, elector := range cmd.Electors {
		r.Electors = append(r.Electors, string(elector))
	}
	reply, err := c.n.peers.controlClient(record.PeerAddress).Vote(ctx, connect.NewRequest(r))
	if err != nil {
		return claim.Vote{}, err
	}
	return claim.Vote{
		Verdict: claim.Verdict(reply.Msg.GetVerdict()), Attempt: claim.Attempt(reply.Msg.GetAttempt()),
		Holder: parseClaimant(reply.Msg.GetClaimant()),
	}, nil
}

// castVote returns this node's vote as an elector. It abstains if the key is malformed.
func (c *claims) castVote(key claim.Key, claimant claim.Claimant, attempt claim.Attempt, electors []host.ID) claim.Vote {
	keyCreatedAt, err := keyCreationTime(key)
	if err != nil {
		return claim.Vote{Attempt: attempt}
	}
	localElectors, since := c.n.members.electors(key), c.n.members.electorSince(key)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.elector.Vote(c.n.timers.Now(), claim.VoteRequest{
		Key: key, KeyCreatedAt: keyCreatedAt, Claimant: claimant, Attempt: attempt, Electors: electors, LocalElectors: localElectors, ElectorSince: since,
	})
}

// sendRelease tells an elector to withdraw its grant of an abandoned attempt. Errors are ignored: the grant then stays until a
// later attempt of this node is released there or the key expires.
func (c *claims) sendRelease(key claim.Key, id host.ID, attempt claim.Attempt) {
	if id == c.n.self.ID {
		c.releaseGrant(key, c.self, attempt)
		return
	}
	record, ok := c.n.members.record(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, _ = c.n.peers.controlClient(record.PeerAddress).Release(ctx, connect.NewRequest(&wire.ReleaseRequest{
		Key: string(key), Claimant: formatClaimant(c.self), Attempt: uint64(attempt),
	}))
}

// releaseGrant withdraws this node's grant of an abandoned attempt.
func (c *claims) releaseGrant(key claim.Key, claimant claim.Claimant, attempt claim.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elector.Release(key, claimant, attempt)
}

func formatClaimant(c claim.Claimant) string { return string(c.Host) + "/" + string(c.Incarnation) }

func parseClaimant(text string) claim.Claimant {
	id, incarnation, _ := strings.Cut(text, "/")
	return claim.Claimant{Host: host.ID(id), Incarnation: host.Incarnation(incarnation)}
}
