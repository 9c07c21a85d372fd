package node

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/stream"
	"balsamknot.org/fleet/timer"
)

// streamTracker knows which software version began each stream that a caller may take up, or asks the hosts that know. It is safe for
// concurrent use.
type streamTracker struct {
	n *Node

	mu       sync.Mutex
	registry *stream.Registry

	// originQueries ask hosts for the origins of streams, and partQueries ask keepers which versions cache a part of a prompt.
	originQueries *queries[streamReply]
	partQueries   *queries[[]endpoint.Version]
}

// streamReply is a reply to a query, with the host that sent it.
type streamReply struct {
	from host.ID
	peer.StreamReply
}

const (
	// streamReplicas is how many other hosts get the origin of a stream, and streamQueries how many are asked for it: more, since hosts
	// that have ended or joined meanwhile change the ranking.
	streamReplicas = 3
	streamQueries  = 2 * streamReplicas
	// queryResendInterval is the time after which a query is sent again, and queryTimeout that after which it is given up.
	queryResendInterval = 15 * time.Millisecond
	queryTimeout        = 60 * time.Millisecond
	// freshAge is the age of the copy of the store up to which a host that has seen one version only takes a stream for begun there, and
	// staleAge that up to which it does so if no other host it asks knows better.
	freshAge = time.Second
	staleAge = 2500 * time.Millisecond
	// unknownOriginRetryAfter is the retry-after time for a stream whose origin this host does not know: another one may.
	unknownOriginRetryAfter = 100 * time.Millisecond
	// maxOriginsPerDatagram limits the origins in one datagram.
	maxOriginsPerDatagram = 32
)

func newStreamTracker(n *Node) *streamTracker {
	return &streamTracker{
		n: n, registry: stream.NewRegistry(timer.BootClock()), originQueries: newQueries[streamReply](), partQueries: newQueries[[]endpoint.Version](),
	}
}

// update applies an event to the registry and sends origins to their replicas.
func (s *streamTracker) update(now time.Time, e stream.Event) {
	s.mu.Lock()
	command := s.registry.Update(now, e)
	s.mu.Unlock()
	s.replicate(command.Origins)
}

// replicate sends each origin to its replicas, those for the same host together.
func (s *streamTracker) replicate(origins []stream.Origin) {
	batches := make(map[host.ID][]peer.StreamOrigin)
	flush := func(id host.ID) {
		s.n.membership.send(id, peer.Datagram{Additions: peer.Additions{StreamOrigins: batches[id]}})
		delete(batches, id)
	}
	for _, o := range origins {
		for _, id := range s.n.membership.streamHosts(o.Stream, streamReplicas) {
			batches[id] = append(batches[id], peer.StreamOrigin{Stream: o.Stream, Service: o.Service, Version: o.Version})
			if len(batches[id]) == maxOriginsPerDatagram {
				flush(id)
			}
		}
	}
	for id := range batches {
		flush(id)
	}
}

// handle processes the messages about streams of a datagram.
func (s *streamTracker) handle(now time.Time, d peer.Datagram) {
	for _, o := range d.Additions.StreamOrigins {
		s.update(now, stream.Received{Origin: stream.Origin{Stream: o.Stream, Service: o.Service, Version: o.Version}})
	}
	for _, q := range d.Additions.StreamQueries {
		s.mu.Lock()
		version, _ := s.registry.Origin(q.Stream)
		count, _ := s.registry.Versions(now, q.Service)
		s.mu.Unlock()
		reply := peer.StreamReply{Nonce: q.Nonce, Version: version, Several: count > 1}
		s.n.membership.send(d.From, peer.Datagram{Additions: peer.Additions{StreamReplies: []peer.StreamReply{reply}}})
	}
	for _, reply := range d.Additions.StreamReplies {
		s.originQueries.deliver(reply.Nonce, streamReply{d.From, reply})
	}
	s.handlePartMessages(now, d)
}

// recordBegin records that the caller got the first event of a stream that it may take up later, or goes on with one here.
func (s *streamTracker) recordBegin(q *request) {
	id := stream.IDOf(q.call.ID)
	if q.takesUp() {
		id = stream.IDOf(q.call.Resumes)
	}
	if id != 0 && q.version != "" {
		s.update(timer.BootClock(), stream.Begun{Origin: stream.Origin{Stream: id, Service: q.service, Version: q.version}})
	}
}

// takesUp reports whether the request takes up a stream that an earlier one began.
func (q *request) takesUp() bool {
	return q.route.Streaming && (q.call.LastEventID != "" || q.call.Resumes != "")
}

// bind sets the version at which a stream that the request takes up must go on. It refuses the request and returns false if this host does
// not know the version.
func (s *streamTracker) bind(q *request) bool {
	if !q.takesUp() {
		return true
	}
	version, known := s.versionOf(q)
	if !known {
		if q.disconnected() {
			s.n.endDisconnected(q)
		}
		q.cause = "it is not known which version began the stream"
		s.n.refuse(q, http.StatusServiceUnavailable, unknownOriginRetryAfter)
		return false
	}
	q.version = version
	return true
}

// versionOf returns the version that began the stream that a request takes up. Without the stream's origin, it is the only version of the
// service, if a host that has run for long enough has seen no other, and else the one whose engines cache the stream's prompt.
func (s *streamTracker) versionOf(q *request) (endpoint.Version, bool) {
	id := stream.IDOf(q.call.Resumes)
	now := timer.BootClock()
	age := s.n.storeView.age(now)
	s.mu.Lock()
	version, known := s.registry.Origin(id)
	count, only := s.registry.Versions(now, q.service)
	seenAll := s.registry.SeenAll(now)
	s.mu.Unlock()
	switch {
	case known:
		return version, true
	case count == 1 && seenAll && age <= freshAge:
		return only, true
	}
	version, several, othersSeenAll := s.ask(q.r.Context(), id, peer.StreamQuery{Stream: id, Service: q.service})
	switch {
	case version != "":
		return version, true
	case count == 1 && !several && (seenAll || othersSeenAll) && age <= staleAge:
		return only, true
	}
	return s.versionByCache(q)
}

// ask asks other hosts for the origin of a stream. It returns an empty version if none that replied in time knows it, whether one of
// them has seen several versions of the service, and whether one of them has run for long enough to have seen all that count.
func (s *streamTracker) ask(ctx context.Context, id stream.ID, query peer.StreamQuery) (version endpoint.Version, several, seenAll bool) {
	hosts := s.n.membership.streamHosts(id, streamQueries)
	nonce, replies := s.originQueries.begin(2 * streamQueries)
	defer s.originQueries.end(nonce)
	query.Nonce = nonce
	send := func() {
		for _, id := range hosts {
			s.n.membership.send(id, peer.Datagram{Additions: peer.Additions{StreamQueries: []peer.StreamQuery{query}}})
		}
	}
	send()
	resend, timeout := time.NewTimer(queryResendInterval), time.NewTimer(queryTimeout)
	defer resend.Stop()
	defer timeout.Stop()
	replied := make(map[host.ID]bool)
	for len(replied) < len(hosts) {
		select {
		case reply := <-replies:
			replied[reply.from] = true
			several = several || reply.Several
			seenAll = seenAll || s.n.membership.hasRunFor(reply.from, stream.Lifetime)
			if reply.Version != "" {
				return reply.Version, several, seenAll
			}
		case <-resend.C:
			send()
		case <-timeout.C:
			return "", several, seenAll
		case <-ctx.Done():
			return "", several, seenAll
		}
	}
	return "", several, seenAll
}

// streamKey is the key by which the replicas of a stream are ranked.
func streamKey(id stream.ID) string { return "stream/" + strconv.FormatUint(uint64(id), 16) }
