package node

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/claim"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/outcome"
	"balsamknot.org/fleet/placement"
	"balsamknot.org/fleet/wire"
)

const (
	voteTimeout     = 500 * time.Millisecond
	claimRetryAfter = time.Second
	releaseTimeout  = time.Second
	// maxRetainedBytes limits the total size of the answers that a home keeps for repeated calls.
	maxRetainedBytes = 64 << 20
	// maxKeys limits the keys that a node remembers as home, and separately those that it remembers as elector.
	maxKeys = 200_000
)

// claims runs calls with idempotency keys at most once: as home it claims keys and runs calls, as elector it votes on claims.
type claims struct {
	n      *Node
	self   claim.Claimant
	limits claim.Limits

	mu            sync.Mutex
	elector       *claim.Elector
	homes         map[claim.Key]*keyState
	retainedBytes int
	// answeredKeys holds the keys with a final reply, oldest first, for eviction.
	answeredKeys []claim.Key
}

// keyState is the state that this node holds, as home, for one key.
type keyState struct {
	claim        *claim.Claim
	keyCreatedAt time.Time
	fingerprint  uint64
	// execution is the attempt in progress, which repeated calls wait for; nil if there is none.
	execution *execution
	// finalReply is the reply to repeated calls; nil as long as the outcome is open.
	finalReply *wire.ActReply
}

// execution is one attempt to claim a key and run its call. reply is set before done is closed.
type execution struct {
	done  chan struct{}
	reply *wire.ActReply
}

func newClaims(n *Node) *claims {
	limits := claim.Limits{Lifetime: n.cfg.KeyLifetime, ClockSkew: n.cfg.ClockSkew, MaxKeys: maxKeys}
	return &claims{
		n: n, self: claim.Claimant{Host: n.self.ID, Incarnation: n.incarnation}, limits: limits,
		elector: claim.NewElector(limits), homes: make(map[claim.Key]*keyState),
	}
}

// scopedKey prefixes a key with its workspace, so that a caller can't get the answer of another workspace by reusing its key.
func scopedKey(call *wire.Call) claim.Key {
	return claim.Key(call.GetWorkspace() + "/" + call.GetIdempotencyKey())
}

func keyCreationTime(key claim.Key) (time.Time, error) {
	_, id, _ := strings.Cut(string(key), "/")
	_, createdAt, err := claim.ParseKey(id)
	return createdAt, err
}

// homeRegion returns the region of the homes, and thus of the electors, of a workspace's keys: its HomeRegion or, if that is
// empty, the first region by name among the live hosts.
func (n *Node) homeRegion(workspace string) host.Region {
	region := n.documents.snapshot().objects.Workspaces[workspace].HomeRegion
	if region != "" {
		return region
	}
	var regions []host.Region
	for _, id := range n.members.live("") {
		if record, ok := n.members.record(id); ok {
			regions = append(regions, record.Region)
		}
	}
	if len(regions) == 0 {
		return n.self.Region
	}
	return slices.Min(regions)
}

// maxHomeTries limits how many hosts are tried as home of a call if they can't be reached.
const maxHomeTries = 3

// routeToHome sends a call with an idempotency key to the home of the key: the highest-ranked live host of the home region, or
// this node if there is none. If the call could not be sent, that host becomes suspect and the live hosts are ranked again.
func (c *claims) routeToHome(ctx context.Context, call *wire.Call) *wire.ActReply {
	var reply *wire.ActReply
	for range maxHomeTries {
		ranked := placement.Rank("home/"+string(scopedKey(call)), c.n.members.live(c.n.homeRegion(call.GetWorkspace())), 1)
		if len(ranked) == 0 || ranked[0] == c.n.self.ID {
			return c.serveAsHome(ctx, call, false)
		}
		var sent bool
		if reply, sent = c.sendToHome(ctx, ranked[0], call, false); sent {
			break
		}
	}
	return reply
}

// sendToHome forwards a call to another host as its home. sent is false if the call certainly did not leave this node; if the
// connection fails later, the call may have run. deferred is true if this node lost the claim to that host.
func (c *claims) sendToHome(ctx context.Context, id host.ID, call *wire.Call, deferred bool) (reply *wire.ActReply, sent bool) {
	record, ok := c.n.members.record(id)
	if !ok {
		return c.unknownReply(outcome.CodePeerUnreachable, "the home of the key is gone", string(id)), false
	}
	response, err := c.n.peers.forwardClient(record.PeerAddress).Act(ctx, connect.NewRequest(&wire.ActRequest{Call: call, Deferred: deferred}))
	if err == nil {
		return response.Msg, true
	}
	if ctx.Err() == nil {
		c.n.members.recordContactFailure(id, false)
	}
	return c.unknownReply(outcome.CodePeerUnreachable, err.Error(), string(id)), !wasNeverSent(err)
}

// serveAsHome runs a call if this node wins its key. Repeated calls with the key wait for the attempt in progress or get the
// final reply. A deferred call comes from a home that lost the key to this host and is not deferred again.
func (c *claims) serveAsHome(ctx context.Context, call *wire.Call, deferred bool) *wire.ActReply {
	key := scopedKey(call)
	keyCreatedAt, err := keyCreationTime(key)
	if err != nil {
		return refusalReply(&outcome.Refusal{
			Code: outcome.CodeKeyMalformed, Outcome: outcome.NotRun, Status: http.StatusBadRequest, Detail: err.Error(), Step: "claim",
		})
	}
	c.mu.Lock()
	state := c.homes[key]
	if state == nil {
		if refusal := c.checkNewKey(keyCreatedAt); refusal != nil {
			c.mu.Unlock()
			return refusalReply(refusal)
		}
		state = &keyState{claim: claim.NewClaim(c.self, c.limits, keyCreatedAt), keyCreatedAt: keyCreatedAt, fingerprint: call.GetFingerprint()}
		c.homes[key] = state
	}
	if state.fingerprint != call.GetFingerprint() {
		c.mu.Unlock()
		return c.keyReusedReply()
	}
	if state.finalReply != nil {
		defer c.mu.Unlock()
		return state.finalReply
	}
	run := state.execution
	if run == nil {
		run = &execution{done: make(chan struct{})}
		state.execution = run
		c.n.work.Go(func() { c.execute(call, key, state, run, deferred) })
	}
	c.mu.Unlock()
	select {
	case <-run.done:
		return run.reply
	case <-ctx.Done():
		return c.unknownReply(outcome.CodeDeadline, "the call had not ended when its caller's time was up", string(c.n.self.ID))
	}
}

// checkNewKey returns a refusal if this home must not accept a key that it has no state for: its memory for keys is full, or
// the key has expired or was created in the future.
func (c *claims) checkNewKey(keyCreatedAt time.Time) *outcome.Refusal {
	now := c.n.timers.Now()
	switch {
	case c.limits.Full(len(c.homes)):
		return &outcome.Refusal{
			Code: outcome.CodeOverloaded, Outcome: outcome.Unknown, Status: http.StatusServiceUnavailable,
			RetryAfter: claimRetryAfter, Detail: "the home remembers as many keys as it may", Step: "claim", Peer: string(c.n.self.ID),
		}
	case c.limits.Expired(now, keyCreatedAt):
		return &outcome.Refusal{
			Code: outcome.CodeKeyExpired, Outcome: outcome.Unknown, Status: http.StatusConflict, Step: "claim",
			Detail: "the key is older than " + c.limits.Lifetime.String() + "; whether it ran is no longer known",
		}
	case c.limits.FromFuture(now, keyCreatedAt):
		return &outcome.Refusal{
			Code: outcome.CodeKeyMalformed, Outcome: outcome.NotRun, Status: http.StatusBadRequest, Step: "claim",
			Detail: "the key's mint time lies in the future; check the clock that minted it",
		}
	}
	return nil
}

func (c *claims) keyReusedReply() *wire.ActReply {
	return refusalReply(&outcome.Refusal{
		Code: outcome.CodeKeyReused, Outcome: outcome.Unknown, Status: http.StatusUnprocessableEntity, Step: "claim",
		Detail: "the Idempotency-Key was used with another request; mint a new one",
	})
}

// execute makes one attempt to claim a key and run its call, and keeps a final reply for repeated calls. Its context is
// independent of the caller's: the attempt goes on, until the call's deadline, if the caller disconnects.
func (c *claims) execute(call *wire.Call, key claim.Key, state *keyState, run *execution, deferred bool) {
	defer c.n.trackInFlight()()
	ctx, cancel := context.WithDeadline(context.Background(), time.UnixMilli(call.GetDeadlineMs()))
	defer cancel()
	reply, final := c.claimAndRun(ctx, call, key, state, deferred)
	c.mu.Lock()
	defer c.mu.Unlock()
	state.execution = nil
	run.reply = reply
	if final {
		state.finalReply = reply
		c.answeredKeys = append(c.answeredKeys, key)
		c.retainedBytes += len(reply.GetBody())
		c.evictAnswers()
	}
	close(run.done)
}

// evictAnswers replaces the oldest answers by the refusal AnswerGone, which still says that the call ran, until the others
// are within maxRetainedBytes. It is called with mu held.
func (c *claims) evictAnswers() {
	for c.retainedBytes > maxRetainedBytes && len(c.answeredKeys) > 0 {
		if state := c.homes[c.answeredKeys[0]]; state != nil && len(state.finalReply.GetBody()) > 0 {
			c.retainedBytes -= len(state.finalReply.GetBody())
			state.finalReply = refusalReply(&outcome.Refusal{
				Code: outcome.CodeAnswerGone, Outcome: outcome.Done, Status: http.StatusGone, Step: "claim",
				Detail: "the call ran; its answer is no longer held", Peer: string(c.n.self.ID),
			})
		}
		c.answeredKeys = c.answeredKeys[1:]
	}
}

// claimAndRun requests the electors' votes and runs the call if a quorum grants the key. final is false if a repeated call may
// start another attempt.
func (c *claims) claimAndRun(ctx context.Context, call *wire.Call, key claim.Key, state *keyState, deferred bool) (reply *wire.ActReply, final bool) {
	switch result := c.collectVotes(ctx, key, state).(type) {
	case claim.Won:
		c.log(event.ClaimWon, key, "")
		return c.run(ctx, call, key, state), true
	case claim.Lost:
		c.log(event.ClaimDeferred, key, string(result.Holder.Host))
		if deferred || result.Holder.Host == c.self.Host {
			return c.unknownReply(outcome.CodeClaimUnsettled, "another home holds the key and can't be asked", string(result.Holder.Host)), false
		}
		reply, _ := c.sendToHome(ctx, result.Holder.Host, call, true)
		return reply, false
	}
	c.n.meter.unsettledClaims.Inc()
	c.log(event.ClaimUnsettled, key, "")
	return c.unknownReply(outcome.CodeClaimUnsettled, "too few electors vouched; nothing was sent", string(c.n.self.ID)), false
}

// run forwards a call whose key was won to an endpoint.
func (c *claims) run(ctx context.Context, call *wire.Call, key claim.Key, state *keyState) *wire.ActReply {
	current := c.n.documents.snapshot()
	service := current.objects.Services[call.GetService()]
	buffer := &buffer{}
	q := &request{
		call: call, sink: buffer,
		beforeSend: func() *outcome.Refusal { return c.permitSend(call, state) },
		onNotSent:  func() { c.update(state, claim.KeeperDeclined{}) },
	}
	refusal := c.n.forward(ctx, q, service, current.objects.Policies[service.Policy])
	if refusal == nil {
		return &wire.ActReply{Status: buffer.head.GetStatus(), Headers: buffer.head.GetHeaders(), Body: buffer.body, Home: string(c.n.self.ID)}
	}
	return refusalReply(c.finalRefusal(refusal, key, state))
}

// permitSend returns nil if the call may be sent to a keeper now, and a refusal if its deadline or key has expired or if it
// was already sent. It is called directly before the call is sent.
func (c *claims) permitSend(call *wire.Call, state *keyState) *outcome.Refusal {
	for _, command := range c.update(state, claim.StartRequested{Deadline: time.UnixMilli(call.GetDeadlineMs())}) {
		switch command.(type) {
		case claim.Start:
			return nil
		case claim.RefuseNotRun:
			return &outcome.Refusal{
				Code: outcome.CodeDeadline, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable,
				Detail: "the deadline passed before the call was sent", Step: "claim", Peer: string(c.n.self.ID),
			}
		}
	}
	return refusalFromWire(c.unknownReply(outcome.CodeClaimUnsettled, "the call was already sent", string(c.n.self.ID)).GetRefusal())
}

// finalRefusal returns the refusal with outcome NotRun if the key was won and the call not sent, and voids the key so that it
// is never sent. In all other cases the outcome is Unknown.
func (c *claims) finalRefusal(refusal *outcome.Refusal, key claim.Key, state *keyState) *outcome.Refusal {
	final := *refusal
	final.Outcome = outcome.Unknown
	for _, command := range c.update(state, claim.RefusalRequested{}) {
		if _, ok := command.(claim.RefuseNotRun); ok {
			final.Outcome = outcome.NotRun
			c.log(event.ClaimVoided, key, "")
		}
	}
	return &final
}

// update applies one event to a key's claim and returns the commands to carry out.
func (c *claims) update(state *keyState, e claim.Event) []claim.Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	return state.claim.Update(c.n.timers.Now(), e)
}

// removeExpired deletes what this node holds, as elector and as home, of keys that have expired by the clock of every host.
// A home's state stays while an attempt is in progress.
func (c *claims) removeExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elector.RemoveExpired(now)
	for key, state := range c.homes {
		if state.execution == nil && now.Sub(state.keyCreatedAt) > c.limits.Lifetime+c.limits.ClockSkew {
			c.retainedBytes -= len(state.finalReply.GetBody())
			delete(c.homes, key)
		}
	}
}

func (c *claims) log(number event.Number, key claim.Key, holder string) {
	event.Log(c.n.log, zerolog.DebugLevel, number).Str("Key", string(key)).Str("Holder", holder).Msg(event.Text(number))
}

// unknownReply returns a refusal with outcome Unknown, which invites the caller to retry.
func (c *claims) unknownReply(code outcome.Code, detail, peer string) *wire.ActReply {
	return refusalReply(&outcome.Refusal{
		Code: code, Outcome: outcome.Unknown, Status: http.StatusServiceUnavailable, RetryAfter: claimRetryAfter,
		Detail: detail, Step: "claim", Peer: peer,
	})
}

func refusalReply(r *outcome.Refusal) *wire.ActReply {
	return &wire.ActReply{Refusal: refusalToWire(r)}
}
