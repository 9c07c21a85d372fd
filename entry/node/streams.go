package node

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/stream"
	"balsamknot.org/fleet/timer"
)

// streamTracker knows which software version began each stream that a caller may take up, or asks the hosts that know. It is safe for
// concurrent use.
type streamTracker struct {
	n *Node

	mu       sync.Mutex
	registry *stream.Registry
	// numberings holds what the streams of each service have shown of the IDs of their events.
	numberings map[site.ServiceName]*stream.Numbering

	// originQueries ask hosts for the origins of streams, partQueries ask keepers which versions cache a part of a prompt, and groupQueries the
	// hosts that list the groups of a large service.
	originQueries *queries[streamReply]
	partQueries   *queries[[]endpoint.Version]
	groupQueries  *queries[pool.GroupAnswer]
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
	// staleAge is the age of the copy of the store above which a host that has seen one version only does not take a stream for begun there,
	// whatever others say.
	staleAge = 2500 * time.Millisecond
	// unknownOriginRetryAfter is the retry-after time for a stream whose origin this host does not know: another one may.
	unknownOriginRetryAfter = 100 * time.Millisecond
	// maxOriginsPerDatagram limits the origins in one datagram.
	maxOriginsPerDatagram = 32
)

func newStreamTracker(n *Node) *streamTracker {
	return &streamTracker{
		n: n, registry: stream.NewRegistry(timer.BootClock()), numberings: make(map[site.ServiceName]*stream.Numbering),
		originQueries: newQueries[streamReply](), partQueries: newQueries[[]endpoint.Version](), groupQueries: newQueries[pool.GroupAnswer](),
	}
}

// update applies an event to the registry, sends origins to their replicas and logs conflicts.
func (s *streamTracker) update(now time.Time, e stream.Event) {
	s.mu.Lock()
	commands := s.registry.Update(now, e)
	s.mu.Unlock()
	s.replicate(commands.Origins)
	for _, c := range commands.Conflicts {
		s.n.meter.recordOriginConflict()
		event.LogText(s.n.log, zerolog.WarnLevel, event.OriginConflict).Uint64("Stream", uint64(c.Known.Stream)).Str("Service", string(c.Known.Service)).
			Str("Known", string(c.Known.Version)).Str("Rejected", string(c.Rejected.Version)).Send()
	}
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
	s.handleGroupMessages(now, d)
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

// noteNumbers takes the IDs of the events of a stream into account that has ended.
func (s *streamTracker) noteNumbers(q *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.numberings[q.service] == nil {
		s.numberings[q.service] = &stream.Numbering{}
	}
	s.numberings[q.service].Note(q.position)
}

// numbersConsecutively reports whether the IDs of a service's events are consecutive numbers, as far as this host knows.
func (s *streamTracker) numbersConsecutively(service site.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.numberings[service]
	return n != nil && n.Consecutive()
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
	version, evidence := s.versionOf(q)
	s.recordEvidence(q, version, evidence)
	if evidence == noEvidence {
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

// originEvidence is what the origin of a stream was taken from.
type originEvidence string

// Evidence of the origin of a stream, the strongest first.
const (
	// recordedOrigin means that a host remembers it.
	recordedOrigin originEvidence = "recorded"
	// onlyVersionSeen means that there was one version only for as long as the stream can have run.
	onlyVersionSeen originEvidence = "only version"
	// cachedPart means that the engines that cache the last part of its prompt were asked.
	cachedPart originEvidence = "caches"
	noEvidence originEvidence = "nothing"
)

// recordEvidence counts and logs what the version of a stream was taken from. What a host remembers is not logged.
func (s *streamTracker) recordEvidence(q *request, version endpoint.Version, evidence originEvidence) {
	s.n.meter.recordOrigin(evidence)
	if evidence == recordedOrigin {
		return
	}
	event.LogText(s.n.log, zerolog.InfoLevel, event.OriginInferred).Str("Request", q.call.ID).Uint64("Stream", uint64(stream.IDOf(q.call.Resumes))).
		Str("Service", string(q.service)).Str("Evidence", string(evidence)).Str("Version", string(version)).Send()
}

// versionOf returns the version that began the stream that a request takes up, and what it was taken from. Without the stream's origin, it is the
// only version of the service, if that can be known, and else the one whose engines cache the stream's prompt.
func (s *streamTracker) versionOf(q *request) (endpoint.Version, originEvidence) {
	arrivedAt := timer.BootClock()
	id := stream.IDOf(q.call.Resumes)
	if version, known := s.origin(id); known {
		return version, recordedOrigin
	}
	replies := s.ask(q.r.Context(), id, peer.StreamQuery{Stream: id, Service: q.service})
	if replies.version != "" {
		return replies.version, recordedOrigin
	}
	if replies.quorum {
		if version, only := s.onlyVersion(q, replies); only {
			return version, onlyVersionSeen
		}
	}
	if version, known := s.versionByCache(q); known {
		return version, cachedPart
	}
	if _, only := s.onlyVersion(q, replies); only && s.n.storeView.awaitChangesBefore(q.r.Context(), arrivedAt) {
		if version, only := s.onlyVersion(q, replies); only {
			return version, onlyVersionSeen
		}
	}
	return "", noEvidence
}

// origin returns the version that began a stream, if this host knows it.
func (s *streamTracker) origin(id stream.ID) (endpoint.Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Origin(id)
}

// onlyVersion returns the version of a service, if neither this host nor one that replied has seen another one, one of them has run for long
// enough to have seen all that count, and this host's copy of the store is not stale.
func (s *streamTracker) onlyVersion(q *request, replies originReplies) (endpoint.Version, bool) {
	now := timer.BootClock()
	age := s.n.storeView.age(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	count, version := s.registry.Versions(now, q.service)
	seenAll := replies.seenAll || s.registry.SeenAll(now)
	return version, count == 1 && seenAll && !replies.several && age <= staleAge
}

// originReplies is what other hosts replied to a query for the origin of a stream.
type originReplies struct {
	// version is the origin, empty if none that replied knows it.
	version endpoint.Version
	// several is true if one of them has seen several versions of the service, and seenAll if one has run for long enough to have seen all
	// that count.
	several, seenAll bool
	// quorum is true if one of them at least would be a replica of the origin. It is also true if there are no other hosts.
	quorum bool
}

// originQuorum returns how many of the hosts that could be asked for an origin must reply without it so that one of its replicas is among
// them.
func originQuorum(others int) int {
	asked := min(others, streamQueries)
	return min(asked, max(asked-streamReplicas+1, 1))
}

// ask asks other hosts for the origin of a stream and returns what those said that replied in time.
func (s *streamTracker) ask(ctx context.Context, id stream.ID, query peer.StreamQuery) originReplies {
	hosts := s.n.membership.streamHosts(id, streamQueries)
	quorum := originQuorum(s.n.membership.knownCount() - 1)
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
	all := originReplies{quorum: quorum == 0}
	replied := make(map[host.ID]bool)
	for len(replied) < len(hosts) {
		select {
		case reply := <-replies:
			replied[reply.from] = true
			all.several = all.several || reply.Several
			all.seenAll = all.seenAll || s.n.membership.hasRunFor(reply.from, stream.Lifetime)
			all.quorum = len(replied) >= quorum
			if all.version = reply.Version; all.version != "" {
				return all
			}
		case <-resend.C:
			send()
		case <-timeout.C:
			return all
		case <-ctx.Done():
			return all
		}
	}
	return all
}

// streamKey is the key by which the replicas of a stream are ranked.
func streamKey(id stream.ID) string { return "stream/" + strconv.FormatUint(uint64(id), 16) }
