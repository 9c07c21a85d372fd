package pool

import (
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
)

// telling is what was last told of a subject.
type telling struct {
	id endpoint.ID
	at time.Time
}

const (
	// tellAgain is how often it is told where a subject in use is cached, also when that did not change.
	tellAgain = 8 * time.Second
	// tellForget is how long a subject is remembered that nobody asks for.
	tellForget = 2 * tellAgain
)

// noteNews remembers to tell where a prompt's parts are now.
func (s *service) noteNews(now time.Time, id endpoint.ID, p chat.Prompt) {
	subject := p.Subject()
	if s.engine == nil || subject == 0 {
		return
	}
	if old := s.told[subject]; old.id == id && now.Sub(old.at) < tellAgain {
		return
	}
	s.told[subject] = telling{id: id, at: now}
	cached := Cached{ID: id}
	for _, part := range p.Parts[:len(p.Parts)-1] {
		cached.Parts = append(cached.Parts, part.ID)
	}
	s.news[subject] = cached
}

// tell hands out the news, and forgets subjects that nobody asks for.
func (s *service) tell(now time.Time) []Command {
	if len(s.news) == 0 {
		return nil
	}
	tell := Tell{Service: s.name}
	for _, subject := range sortedKeys(s.news) {
		tell.Cached = append(tell.Cached, s.news[subject])
	}
	clear(s.news)
	for subject, old := range s.told {
		if now.Sub(old.at) > tellForget {
			delete(s.told, subject)
		}
	}
	return []Command{tell}
}

// learn takes in what another keeper knows.
func (s *service) learn(now time.Time, e Learned) {
	s.listing.begun = true
	for _, cached := range e.Cached {
		st := s.seats[cached.ID]
		if st == nil {
			continue
		}
		for _, part := range cached.Parts {
			st.hold(now, part)
		}
	}
}
