package node

import (
	"context"
	"time"

	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/placement"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/timer"
)

const (
	// groupRanks is how many hosts of the ranking of a group are asked in turn while they do not reply.
	groupRanks = 4
	// groupReplyBuffer is how many replies of one search are buffered; further ones are dropped, and their groups asked again.
	groupReplyBuffer = 128
)

// searchGroups asks the hosts that list the groups of a service which versions cache a part, until that is known or ctx ends. It returns none then.
func (s *streamTracker) searchGroups(ctx context.Context, lookup pool.PartLookup, prefix chat.PartID, groups int) []endpoint.Version {
	nonce, replies := s.groupQueries.begin(groupReplyBuffer)
	defer s.groupQueries.end(nonce)
	search := pool.NewSearch(prefix, groups)
	ask := time.NewTimer(0)
	defer ask.Stop()
	for {
		select {
		case answer := <-replies:
			search.Answer(timer.BootClock(), answer)
			if versions, known := search.Versions(); known {
				return versions
			}
		case <-ask.C:
		case <-ctx.Done():
			return nil
		}
		ask.Reset(s.askGroups(nonce, lookup, search))
	}
}

// askGroups sends the queries of a search that are due and returns the time until the next ones are.
func (s *streamTracker) askGroups(nonce uint64, lookup pool.PartLookup, search *pool.Search) time.Duration {
	now := timer.BootClock()
	queries, next := search.Due(now)
	for _, q := range queries {
		message := peer.FromGroupQuery(nonce, lookup, q)
		to := s.n.membership.groupHost(lookup.Service, q)
		if to == s.n.cfg.Host {
			s.groupQueries.deliver(nonce, s.answerGroup(now, message))
			continue
		}
		s.n.membership.send(to, peer.Datagram{Extensions: peer.Extensions{GroupLookups: []peer.GroupLookup{message}}})
	}
	return max(next.Sub(now), 0)
}

// handleGroupMessages processes the queries and replies about groups of a datagram. A host with an old copy of the store, or none, does not reply.
func (s *streamTracker) handleGroupMessages(now time.Time, d peer.Datagram) {
	for _, query := range d.Extensions.GroupLookups {
		if query.Count == 0 || !s.knowsEngines(now) {
			continue
		}
		reply := peer.FromGroupAnswer(query.Nonce, s.answerGroup(now, query))
		s.n.membership.send(d.From, peer.Datagram{Extensions: peer.Extensions{GroupReplies: []peer.GroupReply{reply}}})
	}
	for _, reply := range d.Extensions.GroupReplies {
		s.groupQueries.deliver(reply.Nonce, reply.ToPool())
	}
}

// answerGroup returns what this host knows of a group, and lets it list the group's caches if needed: only as the first host of the group's ranking,
// or for a host that got no reply from the first one.
func (s *streamTracker) answerGroup(now time.Time, query peer.GroupLookup) pool.GroupAnswer {
	lookup := query.ToPool()
	first := s.n.membership.groupHost(lookup.Service, pool.GroupQuery{Group: lookup.Group})
	unconfirmed := s.n.slots.justStarted() || first != s.n.cfg.Host && query.Attempt == 0
	s.n.slots.update(now, pool.PartQueried{Lookup: lookup, KeeperUnconfirmed: unconfirmed})
	answer := s.n.slots.answerGroup(now, lookup)
	if !s.n.past.known(now) {
		return answer.AwaitPast()
	}
	return answer
}

// groupHost returns the host that is to be asked about a group.
func (m *membership) groupHost(service site.ServiceName, q pool.GroupQuery) host.ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := placement.Rank(q.Group.RankKey(service), m.live, groupRanks)
	if len(ids) == 0 {
		return m.n.cfg.Host
	}
	return ids[q.Attempt%len(ids)]
}

// listGroupCount returns how many groups the engines of a service are divided into.
func (s *slotManager) listGroupCount(service site.ServiceName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.ListGroupCount(service)
}

// answerGroup returns what the local keeper knows of a group.
func (s *slotManager) answerGroup(now time.Time, lookup pool.PartLookup) pool.GroupAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.AnswerGroup(now, lookup)
}
