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
	voteTimeout    = 500 * time.Millisecond
	claimRetry     = time.Second
	releaseTimeout = time.Second
	// answerBytes bounds the answers that a home keeps for repeats.
	answerBytes = 64 << 20
	// mostKeys bounds the keys that a node remembers as home, and as elector.
	mostKeys = 200_000
)

// claims is the controller of idempotency keys: this node's part as elector and as home.
type claims struct {
	n      *Node
	self   claim.Claimant
	limits claim.Limits

	mu      sync.Mutex
	elector *claim.Elector
	homes   map[claim.Key]*home
	bytes   int
	// finished holds keys in the order in which their answers came, for dropping the oldest.
	finished []claim.Key
}

// home is this node's state for one key that it was asked to run.
type home struct {
	claim  *claim.Claim
	minted time.Time
	digest uint64
	// flight is the attempt in progress, nil when there is none.
	flight *flight
	// final is the answer for repeats, nil before there is one.
	final *wire.ActReply
}

type flight struct {
	done  chan struct{}
	reply *wire.ActReply
}

func newClaims(n *Node) *claims {
	limits := claim.Limits{Lifetime: n.cfg.KeyLifetime, ClockSkew: n.cfg.ClockSkew, MaxKeys: mostKeys}
	return &claims{
		n: n, self: claim.Claimant{Host: n.self.ID, Incarnation: n.incarnation}, limits: limits,
		elector: claim.NewElector(limits), homes: make(map[claim.Key]*home),
	}
}

// scopedKey binds a key to its workspace, so that no caller reaches another's answer.
func scopedKey(call *wire.Call) claim.Key {
	return claim.Key(call.GetWorkspace() + "/" + call.GetIdempotencyKey())
}

func mintOf(key claim.Key) (time.Time, error) {
	_, id, _ := strings.Cut(string(key), "/")
	_, minted, err := claim.ParseKey(id)
	return minted, err
}

// homeRegion returns where a workspace's electors stand: its HomeRegion, else the first region by name.
func (n *Node) homeRegion(workspace string) host.Region {
	region := n.documents.inForce().objects.Workspaces[workspace].HomeRegion
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

// homeTries bounds how many homes a call is offered while none can be reached.
const homeTries = 3

// route sends a keyed call to the home of its key, and to the next in line while nothing could be sent.
func (c *claims) route(ctx context.Context, call *wire.Call) *wire.ActReply {
	var reply *wire.ActReply
	for range homeTries {
		ranked := placement.Rank("home/"+string(scopedKey(call)), c.n.members.live(c.n.homeRegion(call.GetWorkspace())), 1)
		if len(ranked) == 0 || ranked[0] == c.n.self.ID {
			return c.act(ctx, call, false)
		}
		var sent bool
		if reply, sent = c.actAt(ctx, ranked[0], call, false); sent {
			break
		}
	}
	return reply
}

// actAt asks another home. When the way breaks after the call was sent, it may have run.
func (c *claims) actAt(ctx context.Context, id host.ID, call *wire.Call, deferred bool) (reply *wire.ActReply, sent bool) {
	record, ok := c.n.members.record(id)
	if !ok {
		return c.unknown(outcome.CodePeerUnreachable, "the home of the key is gone", string(id)), false
	}
	answered, err := c.n.peers.forwardClient(record.PeerAddress).Act(ctx, connect.NewRequest(&wire.ActRequest{Call: call, Deferred: deferred}))
	if err == nil {
		return answered.Msg, true
	}
	if ctx.Err() == nil {
		c.n.members.recordContactFailure(id, false)
	}
	return c.unknown(outcome.CodePeerUnreachable, err.Error(), string(id)), !neverSent(err)
}

// act runs a key here if this home wins it, and answers repeats of it.
func (c *claims) act(ctx context.Context, call *wire.Call, deferred bool) *wire.ActReply {
	key := scopedKey(call)
	minted, err := mintOf(key)
	if err != nil {
		return refused(&outcome.Refusal{
			Code: outcome.CodeKeyMalformed, Outcome: outcome.NotRun, Status: http.StatusBadRequest, Detail: err.Error(), Step: "claim",
		})
	}
	c.mu.Lock()
	h := c.homes[key]
	if h == nil {
		if refusal := c.checkNew(minted); refusal != nil {
			c.mu.Unlock()
			return refused(refusal)
		}
		h = &home{claim: claim.NewClaim(c.self, c.limits, minted), minted: minted, digest: call.GetFingerprint()}
		c.homes[key] = h
	}
	if h.digest != call.GetFingerprint() {
		c.mu.Unlock()
		return c.reused()
	}
	if h.final != nil {
		defer c.mu.Unlock()
		return h.final
	}
	f := h.flight
	if f == nil {
		f = &flight{done: make(chan struct{})}
		h.flight = f
		c.n.work.Go(func() { c.fly(call, key, h, f, deferred) })
	}
	c.mu.Unlock()
	select {
	case <-f.done:
		return f.reply
	case <-ctx.Done():
		return c.unknown(outcome.CodeDeadline, "the call had not ended when its caller's time was up", string(c.n.self.ID))
	}
}

// checkNew refuses a key that this home does not know yet and must not take on.
func (c *claims) checkNew(minted time.Time) *outcome.Refusal {
	now := c.n.timers.Now()
	switch {
	case c.limits.Full(len(c.homes)):
		return &outcome.Refusal{
			Code: outcome.CodeOverloaded, Outcome: outcome.Unknown, Status: http.StatusServiceUnavailable,
			RetryAfter: claimRetry, Detail: "the home remembers as many keys as it may", Step: "claim", Peer: string(c.n.self.ID),
		}
	case c.limits.Expired(now, minted):
		return &outcome.Refusal{
			Code: outcome.CodeKeyExpired, Outcome: outcome.Unknown, Status: http.StatusConflict, Step: "claim",
			Detail: "the key is older than " + c.limits.Lifetime.String() + "; whether it ran is no longer known",
		}
	case c.limits.FromFuture(now, minted):
		return &outcome.Refusal{
			Code: outcome.CodeKeyMalformed, Outcome: outcome.NotRun, Status: http.StatusBadRequest, Step: "claim",
			Detail: "the key's mint time lies in the future; check the clock that minted it",
		}
	}
	return nil
}

func (c *claims) reused() *wire.ActReply {
	return refused(&outcome.Refusal{
		Code: outcome.CodeKeyReused, Outcome: outcome.Unknown, Status: http.StatusUnprocessableEntity, Step: "claim",
		Detail: "the Idempotency-Key was used with another request; mint a new one",
	})
}

// fly makes one attempt at a key and keeps a final answer for repeats.
func (c *claims) fly(call *wire.Call, key claim.Key, h *home, f *flight, deferred bool) {
	defer c.n.trackInFlight()()
	ctx, cancel := context.WithDeadline(context.Background(), time.UnixMilli(call.GetDeadlineMs()))
	defer cancel()
	reply, final := c.attempt(ctx, call, key, h, deferred)
	c.mu.Lock()
	defer c.mu.Unlock()
	h.flight = nil
	f.reply = reply
	if final {
		h.final = reply
		c.finished = append(c.finished, key)
		c.bytes += len(reply.GetBody())
		c.dropOldest()
	}
	close(f.done)
}

// dropOldest keeps the answers within bounds; a dropped one still says that the call ran.
func (c *claims) dropOldest() {
	for c.bytes > answerBytes && len(c.finished) > 0 {
		if h := c.homes[c.finished[0]]; h != nil && len(h.final.GetBody()) > 0 {
			c.bytes -= len(h.final.GetBody())
			h.final = refused(&outcome.Refusal{
				Code: outcome.CodeAnswerGone, Outcome: outcome.Done, Status: http.StatusGone, Step: "claim",
				Detail: "the call ran; its answer is no longer held", Peer: string(c.n.self.ID),
			})
		}
		c.finished = c.finished[1:]
	}
}

// attempt asks the electors and, with a quorum, runs the call. final is false when a repeat may try again.
func (c *claims) attempt(ctx context.Context, call *wire.Call, key claim.Key, h *home, deferred bool) (reply *wire.ActReply, final bool) {
	switch result := c.poll(ctx, key, h).(type) {
	case claim.Won:
		c.log(event.ClaimWon, key, "")
		return c.run(ctx, call, key, h), true
	case claim.Lost:
		c.log(event.ClaimDeferred, key, string(result.Holder.Host))
		if deferred || result.Holder.Host == c.self.Host {
			return c.unknown(outcome.CodeClaimUnsettled, "another home holds the key and can't be asked", string(result.Holder.Host)), false
		}
		reply, _ := c.actAt(ctx, result.Holder.Host, call, true)
		return reply, false
	}
	c.n.meter.unsettledClaims.Inc()
	c.log(event.ClaimUnsettled, key, "")
	return c.unknown(outcome.CodeClaimUnsettled, "too few electors vouched; nothing was sent", string(c.n.self.ID)), false
}

// run takes a won call to its endpoint.
func (c *claims) run(ctx context.Context, call *wire.Call, key claim.Key, h *home) *wire.ActReply {
	current := c.n.documents.inForce()
	service := current.objects.Services[call.GetService()]
	buffer := &buffer{}
	q := &request{
		call: call, sink: buffer,
		handedOver: func() *outcome.Refusal { return c.start(call, h) },
		handedBack: func() { c.apply(h, claim.KeeperDeclined{}) },
	}
	refusal := c.n.forward(ctx, q, service, current.objects.Policies[service.Policy])
	if refusal == nil {
		return &wire.ActReply{Status: buffer.head.GetStatus(), Headers: buffer.head.GetHeaders(), Body: buffer.body, Home: string(c.n.self.ID)}
	}
	return refused(c.finalRefusal(refusal, key, h))
}

// start is the check directly before a keyed request leaves this node.
func (c *claims) start(call *wire.Call, h *home) *outcome.Refusal {
	for _, command := range c.apply(h, claim.StartRequested{Deadline: time.UnixMilli(call.GetDeadlineMs())}) {
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
	return refusalFromWire(c.unknown(outcome.CodeClaimUnsettled, "the call was already sent", string(c.n.self.ID)).GetRefusal())
}

// finalRefusal says NotRun only when the claim is held and nothing was sent, and voids the key with it.
func (c *claims) finalRefusal(refusal *outcome.Refusal, key claim.Key, h *home) *outcome.Refusal {
	final := *refusal
	final.Outcome = outcome.Unknown
	for _, command := range c.apply(h, claim.RefusalRequested{}) {
		if _, ok := command.(claim.RefuseNotRun); ok {
			final.Outcome = outcome.NotRun
			c.log(event.ClaimVoided, key, "")
		}
	}
	return &final
}

func (c *claims) apply(h *home, e claim.Event) []claim.Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	return h.claim.Update(c.n.timers.Now(), e)
}

// forget drops what no repeat can ask for any more.
func (c *claims) forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elector.RemoveExpired(now)
	for key, h := range c.homes {
		if h.flight == nil && now.Sub(h.minted) > c.limits.Lifetime+c.limits.ClockSkew {
			c.bytes -= len(h.final.GetBody())
			delete(c.homes, key)
		}
	}
}

func (c *claims) log(number event.Number, key claim.Key, holder string) {
	event.Log(c.n.log, zerolog.DebugLevel, number).Str("Key", string(key)).Str("Holder", holder).Msg(event.Text(number))
}

func (c *claims) unknown(code outcome.Code, detail, peer string) *wire.ActReply {
	return refused(&outcome.Refusal{
		Code: code, Outcome: outcome.Unknown, Status: http.StatusServiceUnavailable, RetryAfter: claimRetry,
		Detail: detail, Step: "claim", Peer: peer,
	})
}

func refused(r *outcome.Refusal) *wire.ActReply { return &wire.ActReply{Refusal: refusalToWire(r)} }
