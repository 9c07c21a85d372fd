package node

import (
	"context"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/stream"
	"balsamknot.org/fleet/timer"
)

const (
	// minPartQueryInterval is the time after which a keeper is asked again, since it may have to list the engines' caches first. It doubles
	// each time, up to maxPartQueryInterval.
	minPartQueryInterval = 25 * time.Millisecond
	maxPartQueryInterval = 200 * time.Millisecond
	// partQueryShare is the share of a caller's patience for which it is asked. The rest is left for the endpoint's first event.
	partQueryShare = 0.7
)

// versionByCache returns the version at which a stream began that no host remembers, as after a start of all hosts: the last part of its
// prompt belongs to the stream or its session, so that only engines which read it cache it, and those that ran another turn of the session
// keep another number of tokens. It is not known if engines of several versions cache it, or none. While engines have not listed their
// caches, the request waits for partQueryShare of its patience.
func (s *streamTracker) versionByCache(q *request) (endpoint.Version, bool) {
	parts := q.call.Prompt.Parts
	if len(parts) == 0 || q.set.Services[q.service].Engine == nil {
		return "", false
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), partQueryTimeLeft(q))
	defer cancel()
	own := parts[len(parts)-1]
	lookup := peer.PartLookup{Service: q.service, Part: own.ID, MinTokens: own.Tokens, TakenUp: peer.FromTakenUp(q.takenUp())}
	if q.call.Prompt.MaxOutputTokens > 0 {
		lookup.MaxTokens = own.Tokens + q.call.Prompt.MaxOutputTokens
	}
	versions := s.findVersions(ctx, lookup, q.call.Prompt.SharedPrefix())
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// takenUp returns the stream that the request takes up.
func (q *request) takenUp() pool.TakenUp {
	events, err := strconv.Atoi(q.call.LastEventID)
	if err != nil {
		events = 0
	}
	age := time.Duration(0)
	if q.route.Timeout > 0 {
		age = max(q.route.Timeout-q.call.TimeLeft, 0) + timer.BootClock().Sub(q.start)
	}
	return pool.TakenUp{Stream: stream.IDOf(q.call.Resumes), Age: age, Events: events}
}

// partQueryTimeLeft returns how much longer a request may wait for its stream's version: until partQueryShare of the time has passed for which
// its caller waits for the first event, but no longer than for its deadline.
func partQueryTimeLeft(q *request) time.Duration {
	patience := min(q.deadline.Sub(q.start), q.route.FirstEventPatience)
	return time.Duration(partQueryShare*float64(patience)) - timer.BootClock().Sub(q.start)
}

// findVersions returns the versions that cache a part of a prompt with a prefix: as the keeper of the service says, or, of a service of several
// groups, as the hosts say that list these.
func (s *streamTracker) findVersions(ctx context.Context, query peer.PartLookup, prefix chat.PartID) []endpoint.Version {
	if groups := s.n.slots.listGroupCount(query.Service); groups > 1 {
		return s.searchGroups(ctx, query.ToPool(), prefix, groups)
	}
	return s.versionsCaching(ctx, query)
}

// versionsCaching asks the keeper of a service which versions cache a part, until the keeper knows or ctx ends.
func (s *streamTracker) versionsCaching(ctx context.Context, query peer.PartLookup) []endpoint.Version {
	nonce, replies := s.partQueries.begin(1)
	defer s.partQueries.end(nonce)
	query.Nonce = nonce
	interval := minPartQueryInterval
	ask := time.NewTimer(interval)
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
			interval = min(2*interval, maxPartQueryInterval)
			ask.Reset(interval)
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

// knowsEngines reports whether this host has a copy of the store that is not old.
func (s *streamTracker) knowsEngines(now time.Time) bool {
	return s.n.storeView.setVersion() != 0 && s.n.storeView.age(now) <= staleAge
}

// answerLookup tells a host which versions cache a part, once that is known. A host with an old copy of the store, or none, does not reply: it
// may not know the engines of another version.
func (s *streamTracker) answerLookup(now time.Time, to host.ID, nonce uint64, lookup pool.PartLookup) {
	if !s.knowsEngines(now) {
		return
	}
	s.n.slots.update(now, pool.PartQueried{Lookup: lookup, KeeperUnconfirmed: s.n.slots.justStarted()})
	if !s.n.past.known(now) {
		return
	}
	versions, known := s.n.slots.versionsCaching(now, lookup)
	if !known {
		return
	}
	s.logLookup(to, lookup, versions, s.n.slots.answerGroup(now, lookup))
	reply := peer.PartReply{Nonce: nonce, Versions: versions}
	d := peer.Datagram{From: s.n.cfg.Host, Extras: peer.Extras{PartReplies: []peer.PartReply{reply}}}
	if to == s.n.cfg.Host {
		s.handlePartMessages(timer.BootClock(), d)
		return
	}
	s.n.membership.send(to, d)
}

// logLookup logs what this host told another one, or itself, of the versions that cache a part.
func (s *streamTracker) logLookup(to host.ID, lookup pool.PartLookup, versions []endpoint.Version, answer pool.GroupAnswer) {
	event.LogText(s.n.log, zerolog.InfoLevel, event.OriginLookedUp).Str("To", string(to)).Str("Part", strconv.FormatUint(uint64(lookup.Part), 16)).
		Uint64("Stream", uint64(lookup.TakenUp.Stream)).Any("Found", answer.Found).Any("Possible", answer.Possible).Any("Left", answer.Left).
		Any("Order", answer.Order).Int("Standing", int(answer.Standing)).Any("Versions", versions).Send()
}

// versionsCaching returns what the local keeper knows; known is false while it lacks lists of engines' caches.
func (s *slotManager) versionsCaching(now time.Time, lookup pool.PartLookup) (versions []endpoint.Version, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.VersionsCaching(now, lookup)
}
