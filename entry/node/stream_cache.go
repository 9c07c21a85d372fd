package node

import (
	"context"
	"time"

	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/timer"
)

const (
	// partQueryInterval is the time after which a keeper is asked again, and partQueryTimeout that after which the query is given up: the
	// keeper may have to list the engines' caches first.
	partQueryInterval = 25 * time.Millisecond
	partQueryTimeout  = 600 * time.Millisecond
)

// versionByCache returns the version at which a stream began that no host remembers, as after a start of all hosts: the last part of its
// prompt belongs to the stream or its session, so that only engines which read it cache it, and those that ran another turn of the session
// keep another number of tokens. It is not known if engines of several versions cache it, or none.
func (s *streamTracker) versionByCache(q *request) (endpoint.Version, bool) {
	parts := q.call.Prompt.Parts
	if len(parts) == 0 {
		return "", false
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), partQueryTimeout)
	defer cancel()
	own := parts[len(parts)-1]
	lookup := peer.PartLookup{Service: q.service, Part: own.ID, MinTokens: own.Tokens}
	if q.call.Prompt.MaxOutputTokens > 0 {
		lookup.MaxTokens = own.Tokens + q.call.Prompt.MaxOutputTokens
	}
	versions := s.versionsCaching(ctx, lookup)
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// versionsCaching asks the keeper of a service which versions cache a part, until it has listed the caches or ctx ends.
func (s *streamTracker) versionsCaching(ctx context.Context, query peer.PartLookup) []endpoint.Version {
	nonce, replies := s.partQueries.begin(1)
	defer s.partQueries.end(nonce)
	query.Nonce = nonce
	ask := time.NewTicker(partQueryInterval)
	defer ask.Stop()
	for {
		keeper := s.n.membership.keeper(timer.BootClock(), query.Service)
		if keeper == s.n.cfg.Host {
			s.answerLookup(timer.BootClock(), keeper, query.Nonce, query.ToPool())
		} else {
			s.n.membership.send(keeper, peer.Datagram{Extensions: peer.Extensions{PartLookups: []peer.PartLookup{query}}})
		}
		select {
		case versions := <-replies:
			return versions
		case <-ask.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// handlePartMessages processes the queries and replies about cached parts of a datagram.
func (s *streamTracker) handlePartMessages(now time.Time, d peer.Datagram) {
	for _, query := range d.Extras.PartQueries {
		s.answerLookup(now, d.From, query.Nonce, pool.PartLookup{Service: query.Service, Part: query.Part})
	}
	for _, query := range d.Extensions.PartLookups {
		s.answerLookup(now, d.From, query.Nonce, query.ToPool())
	}
	for _, reply := range d.Extras.PartReplies {
		s.partQueries.deliver(reply.Nonce, reply.Versions)
	}
}

// answerLookup tells a host which versions cache a part, once the engines' caches are listed. A host with an old copy of the store does not
// reply: it may not know the engines of another version.
func (s *streamTracker) answerLookup(now time.Time, to host.ID, nonce uint64, lookup pool.PartLookup) {
	s.n.slots.update(now, pool.PartQueried{Service: lookup.Service})
	versions, known := s.n.slots.versionsCaching(lookup)
	if !known || s.n.storeView.age(now) > staleAge {
		return
	}
	reply := peer.PartReply{Nonce: nonce, Versions: versions}
	d := peer.Datagram{From: s.n.cfg.Host, Extras: peer.Extras{PartReplies: []peer.PartReply{reply}}}
	if to == s.n.cfg.Host {
		s.handlePartMessages(timer.BootClock(), d)
		return
	}
	s.n.membership.send(to, d)
}

// versionsCaching returns what the local keeper knows; known is false while it lists the engines' caches.
func (s *slotManager) versionsCaching(lookup pool.PartLookup) (versions []endpoint.Version, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.VersionsCaching(lookup)
}
