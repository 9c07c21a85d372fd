package node

import (
	"context"
	"strings"

	"connectrpc.com/connect"

	"balsamknot.org/fleet/claim"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/wire"
)

// poll drives a claim to its result.
func (c *claims) poll(ctx context.Context, key claim.Key, h *home) claim.Command {
	results := make(chan claim.Command, 1)
	c.drive(ctx, key, h, claim.AttemptRequested{Electors: c.n.members.electors(key)}, results)
	return <-results
}

// drive applies one event to a claim and carries out the commands.
func (c *claims) drive(ctx context.Context, key claim.Key, h *home, e claim.Event, results chan<- claim.Command) {
	c.mu.Lock()
	commands := h.claim.Update(c.n.timers.Now(), e)
	c.mu.Unlock()
	for _, command := range commands {
		switch cmd := command.(type) {
		case claim.RequestVotes:
			for _, id := range cmd.Electors {
				go c.ask(ctx, key, h, id, cmd, results)
			}
		case claim.SendRelease:
			for _, id := range cmd.Electors {
				go c.release(key, id, cmd.Attempt)
			}
		case claim.Won, claim.Lost, claim.Unsettled:
			results <- cmd
		}
	}
}

// ask gets one elector's vote.
func (c *claims) ask(ctx context.Context, key claim.Key, h *home, id host.ID, cmd claim.RequestVotes, results chan<- claim.Command) {
	vote, err := c.vote(ctx, key, id, cmd)
	if err != nil {
		c.drive(ctx, key, h, claim.VoteFailed{From: id, Attempt: cmd.Attempt}, results)
		return
	}
	c.drive(ctx, key, h, claim.VoteReceived{From: id, Vote: vote}, results)
}

func (c *claims) vote(ctx context.Context, key claim.Key, id host.ID, cmd claim.RequestVotes) (claim.Vote, error) {
	if id == c.n.self.ID {
		return c.decide(key, c.self, cmd.Attempt, cmd.Electors), nil
	}
	record, ok := c.n.members.record(id)
	if !ok {
		return claim.Vote{}, errNeverSent
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

// decide is this node's vote as an elector.
func (c *claims) decide(key claim.Key, claimant claim.Claimant, attempt claim.Attempt, electors []host.ID) claim.Vote {
	minted, err := mintOf(key)
	if err != nil {
		return claim.Vote{Attempt: attempt}
	}
	view, since := c.n.members.electors(key), c.n.members.electorSince(key)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.elector.Vote(c.n.timers.Now(), claim.VoteRequest{
		Key: key, KeyCreatedAt: minted, Claimant: claimant, Attempt: attempt, Electors: electors, LocalElectors: view, ElectorSince: since,
	})
}

func (c *claims) release(key claim.Key, id host.ID, attempt claim.Attempt) {
	if id == c.n.self.ID {
		c.forgetAttempt(key, c.self, attempt)
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

func (c *claims) forgetAttempt(key claim.Key, claimant claim.Claimant, attempt claim.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elector.Release(key, claimant, attempt)
}

func formatClaimant(c claim.Claimant) string { return string(c.Host) + "/" + string(c.Incarnation) }

func parseClaimant(text string) claim.Claimant {
	id, incarnation, _ := strings.Cut(text, "/")
	return claim.Claimant{Host: host.ID(id), Incarnation: host.Incarnation(incarnation)}
}
