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

// compressFrom is the size in bytes from which a message between nodes is compressed.
const compressFrom = 16 << 10

// peerHandler serves the other nodes of the fleet and nobody else.
func (n *Node) peerHandler() http.Handler {
	proof := &signer{key: n.cfg.FleetKey, self: n.self.ID, rejected: func(peer string) {
		n.meter.rejections.Inc()
		event.Log(n.log, zerolog.WarnLevel, event.PeerRejected).Str("Peer", peer).Msg(event.Text(event.PeerRejected))
	}}
	mux := http.NewServeMux()
	mux.Handle(wire.NewPeerHandler(&peerServer{n},
		connect.WithInterceptors(proof), connect.WithCompressMinBytes(compressFrom), connect.WithReadMaxBytes(maxPeerMessage)))
	return mux
}

// peerServer implements what one node asks of another.
type peerServer struct{ n *Node }

// Forward implements wire.PeerHandler.
func (s *peerServer) Forward(ctx context.Context, r *connect.Request[wire.ForwardRequest], stream *connect.ServerStream[wire.Frame]) error {
	if r.Msg.GetCall() == nil {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("call is missing"))
	}
	return s.n.serveForward(ctx, r.Msg, stream.Send)
}

// Cancel implements wire.PeerHandler.
func (s *peerServer) Cancel(ctx context.Context, r *connect.Request[wire.CancelRequest]) (*connect.Response[wire.CancelReply], error) {
	if record, ok := s.n.documents.snapshot().endpoints[engine.ID(r.Msg.GetEngine())]; ok {
		s.n.keeping.cancelRequest(ctx, record, r.Msg.GetCall())
	}
	return connect.NewResponse(&wire.CancelReply{}), nil
}

// Act implements wire.PeerHandler.
func (s *peerServer) Act(ctx context.Context, r *connect.Request[wire.ActRequest]) (*connect.Response[wire.ActReply], error) {
	return connect.NewResponse(s.n.claims.serveAsHome(ctx, r.Msg.GetCall(), r.Msg.GetDeferred())), nil
}

// Vote implements wire.PeerHandler.
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

// Release implements wire.PeerHandler.
func (s *peerServer) Release(_ context.Context, r *connect.Request[wire.ReleaseRequest]) (*connect.Response[wire.ReleaseReply], error) {
	s.n.claims.releaseGrant(claim.Key(r.Msg.GetKey()), parseClaimant(r.Msg.GetClaimant()), claim.Attempt(r.Msg.GetAttempt()))
	return connect.NewResponse(&wire.ReleaseReply{}), nil
}

// Exchange implements wire.PeerHandler.
func (s *peerServer) Exchange(_ context.Context, r *connect.Request[wire.ExchangeMessage]) (*connect.Response[wire.ExchangeMessage], error) {
	m := s.n.members
	m.receive(r.Msg, false)
	m.mu.Lock()
	defer m.mu.Unlock()
	return connect.NewResponse(m.message(s.n.timers.Now())), nil
}

// FetchDocument implements wire.PeerHandler.
func (s *peerServer) FetchDocument(_ context.Context, r *connect.Request[wire.FetchDocumentRequest]) (*connect.Response[wire.FetchDocumentReply], error) {
	return connect.NewResponse(s.n.documents.fetchReply(revision.DocumentName(r.Msg.GetName()), revision.Number(r.Msg.GetHaveRevision()))), nil
}
