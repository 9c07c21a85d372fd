package node

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/claim"
	"balsamknot.org/fleet/engine"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/revision"
	"balsamknot.org/fleet/wire"
)

// minCompressBytes is the smallest size, in bytes, of a message between nodes that is compressed.
const minCompressBytes = 16 << 10

// peerHandler serves calls of the other nodes of the fleet; it rejects calls that are not authenticated with the fleet's key.
func (n *Node) peerHandler() http.Handler {
	auth := &authInterceptor{key: n.cfg.FleetKey, self: n.self.ID, onReject: func(peer string) {
		n.meter.rejectedPeers.Inc()
		event.Log(n.log, zerolog.WarnLevel, event.PeerRejected).Str("Peer", peer).Msg(event.Text(event.PeerRejected))
	}}
	mux := http.NewServeMux()
	mux.Handle(wire.NewPeerHandler(&peerServer{n},
		connect.WithInterceptors(auth), connect.WithCompressMinBytes(minCompressBytes), connect.WithReadMaxBytes(maxPeerMessageBytes)))
	return mux
}

// peerServer implements the service Peer, through which nodes call each other.
type peerServer struct{ n *Node }

// Forward implements wire.PeerHandler. The peer takes this node for the keeper of the requested endpoint.
func (s *peerServer) Forward(ctx context.Context, r *connect.Request[wire.ForwardRequest], stream *connect.ServerStream[wire.Frame]) error {
	if r.Msg.GetCall() == nil {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("call is missing"))
	}
	return s.n.serveForward(ctx, r.Msg, stream.Send)
}

// Cancel implements wire.PeerHandler. It ends a request on its engine after the caller left or the deadline passed.
func (s *peerServer) Cancel(ctx context.Context, r *connect.Request[wire.CancelRequest]) (*connect.Response[wire.CancelReply], error) {
	if record, ok := s.n.documents.snapshot().endpoints[engine.ID(r.Msg.GetEngine())]; ok {
		s.n.keeper.cancelRequest(ctx, record, r.Msg.GetCall())
	}
	return connect.NewResponse(&wire.CancelReply{}), nil
}

// Act implements wire.PeerHandler. The peer takes this node for the home of the call's idempotency key.
func (s *peerServer) Act(ctx context.Context, r *connect.Request[wire.ActRequest]) (*connect.Response[wire.ActReply], error) {
	return connect.NewResponse(s.n.claims.serveAsHome(ctx, r.Msg.GetCall(), r.Msg.GetDeferred())), nil
}

// Vote implements wire.PeerHandler. The peer is a home that takes this node for an elector of the key.
func (s *peerServer) Vote(_ context.Context, r *connect.Request[wire.VoteRequest]) (*connect.Response[wire.VoteReply], error) {
	electors := make([]host.ID, 0, len(r.Msg.GetElectors()))
	for _, id := range r.Msg.GetElectors() {
		electors = append(electors, host.ID(id))
	}
	vote := s.n.claims.castVote(claim.Key(r.Msg.GetKey()), parseClaimant(r.Msg.GetClaimant()), claim.Attempt(r.Msg.GetAttempt()), electors)
	return connect.NewResponse(&wire.VoteReply{
		Verdict: int32(vote.Verdict), Attempt: uint64(vote.Attempt), Claimant: formatClaimant(vote.Holder),
	}), nil
}

// Release implements wire.PeerHandler. It withdraws the grant that this node made to an attempt that was abandoned.
func (s *peerServer) Release(_ context.Context, r *connect.Request[wire.ReleaseRequest]) (*connect.Response[wire.ReleaseReply], error) {
	s.n.claims.releaseGrant(claim.Key(r.Msg.GetKey()), parseClaimant(r.Msg.GetClaimant()), claim.Attempt(r.Msg.GetAttempt()))
	return connect.NewResponse(&wire.ReleaseReply{}), nil
}

// Exchange implements wire.PeerHandler. It processes a peer's heartbeat and gossip and replies with those of this node.
func (s *peerServer) Exchange(_ context.Context, r *connect.Request[wire.ExchangeMessage]) (*connect.Response[wire.ExchangeMessage], error) {
	m := s.n.members
	m.receive(r.Msg, false)
	m.mu.Lock()
	defer m.mu.Unlock()
	return connect.NewResponse(m.messageLocked(s.n.timers.Now())), nil
}

// FetchDocument implements wire.PeerHandler. It returns a document if the one in force here is newer than the peer's.
func (s *peerServer) FetchDocument(_ context.Context, r *connect.Request[wire.FetchDocumentRequest]) (*connect.Response[wire.FetchDocumentReply], error) {
	return connect.NewResponse(s.n.documents.fetchReply(revision.DocumentName(r.Msg.GetName()), revision.Number(r.Msg.GetHaveRevision()))), nil
}
