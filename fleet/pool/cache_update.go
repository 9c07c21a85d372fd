package pool

import (
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
)

// sentUpdate is the endpoint in the newest cache update for a shared prefix, and when the update was queued for sending.
type sentUpdate struct {
	endpoint endpoint.ID
	at       time.Time
}

const (
	// resendInterval is how often the update of a prefix in use is sent again although its endpoint did not change.
	resendInterval = 8 * time.Second
	// sentLifetime is how long the last update of an unused prefix is kept.
	sentLifetime = 2 * resendInterval
)

// recordCacheUpdate queues an update that informs the standbys which endpoint now caches the shared parts of a prompt.
func (s *service) recordCacheUpdate(now time.Time, id endpoint.ID, p chat.Prompt) {
	prefix := p.SharedPrefix()
	if s.engine == nil || prefix == 0 {
		return
	}
	if last := s.sent[prefix]; last.endpoint == id && now.Sub(last.at) < resendInterval {
		return
	}
	s.sent[prefix] = sentUpdate{endpoint: id, at: now}
	cached := CachedParts{ID: id}
	for _, part := range p.Parts[:len(p.Parts)-1] {
		cached.Parts = append(cached.Parts, part.ID)
	}
	s.pending[prefix] = cached
}

// flushCacheUpdates returns the pending updates and removes the records of prefixes that are no longer used.
func (s *service) flushCacheUpdates(now time.Time) []Command {
	if len(s.pending) == 0 {
		return nil
	}
	update := UpdateStandbys{Service: s.name}
	for _, prefix := range sortedKeys(s.pending) {
		update.Cached = append(update.Cached, s.pending[prefix])
	}
	clear(s.pending)
	for prefix, last := range s.sent {
		if now.Sub(last.at) > sentLifetime {
			delete(s.sent, prefix)
		}
	}
	return []Command{update}
}

// applyCacheUpdate records the cache contents that another keeper sent.
func (s *service) applyCacheUpdate(now time.Time, e CacheUpdated) {
	s.listing.started = true
	for _, cached := range e.Cached {
		st := s.endpoints[cached.ID]
		if st == nil {
			continue
		}
		for _, id := range cached.Parts {
			part := st.cachedParts[id]
			part.usedAt = now
			s.putPart(now, st, id, part)
		}
	}
}
