package pool

import (
	"slices"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
)

// GroupQuery is a question to the host that lists a group. Attempt is how many hosts of the group's ranking did not reply before.
type GroupQuery struct {
	Group   ListGroup
	Attempt int
}

const (
	// minGroupQueryInterval is the time after which the host of a group is asked again; it doubles each time, up to maxGroupQueryInterval.
	minGroupQueryInterval = 25 * time.Millisecond
	maxGroupQueryInterval = 200 * time.Millisecond
	// overdueQueryInterval is the time after which it is asked again if it only lacks lists that are overdue.
	overdueQueryInterval = time.Second
	// queriesPerHost is how many queries a host leaves without a reply until the next one of the ranking is asked.
	queriesPerHost = 3
)

// Search finds the versions that cache the last part of a prompt among the groups of a large service. It asks first for the groups to which the
// prompt's prefix falls, since chats are placed there, and for all groups only when nobody there has the part and no list of theirs is awaited.
//
// What is found in these groups decides alone: of two engines that ran a request one after the other, the second one was placed by the same
// prefix, and another group would have been taken only for lack of a free slot in this one, or for parts that are cached there. Where they
// have nothing, the stream was placed elsewhere, and the engines of all groups count.
//
// It is not safe for concurrent use.
type Search struct {
	count  int
	home   []ListGroup
	groups []ListGroup
	states map[ListGroup]*groupSearch
}

// groupSearch is the state of a search in one group.
type groupSearch struct {
	answer   GroupAnswer
	answered bool
	askAt    time.Time
	interval time.Duration
	// unanswered is how many queries had no reply since the last one.
	unanswered int
}

// NewSearch returns the search for a prompt with a shared prefix, or 0, in a service of count groups.
func NewSearch(prefix chat.PartID, count int) *Search {
	s := &Search{count: count, home: homeGroups(prefix, count), states: make(map[ListGroup]*groupSearch)}
	s.groups = slices.Clone(s.home)
	if len(s.home) == 0 {
		s.widen()
	}
	return s
}

// widen adds the groups that are not asked yet.
func (s *Search) widen() {
	for i := range s.count {
		if g := listGroup(i, s.count); !slices.Contains(s.groups, g) {
			s.groups = append(s.groups, g)
		}
	}
}

// Answer records the answer of a host. One about a group that the search does not have is ignored.
func (s *Search) Answer(now time.Time, a GroupAnswer) {
	g := s.states[a.Group]
	if g == nil {
		return
	}
	g.answer, g.answered, g.unanswered = a, true, 0
	if len(a.Awaited) == 0 {
		g.askAt = now.Add(overdueQueryInterval)
	}
	if len(s.groups) < s.count && s.missing() {
		s.widen()
	}
}

// missing reports whether all groups answered that they neither have the part nor await a list.
func (s *Search) missing() bool {
	for _, g := range s.groups {
		st := s.states[g]
		if st == nil || !st.answered || len(st.answer.Found)+len(st.answer.Awaited) > 0 {
			return false
		}
	}
	return true
}

// Due returns the queries that are to be sent now, and when to call it next. Groups whose answer can't change are not asked again.
func (s *Search) Due(now time.Time) (queries []GroupQuery, next time.Time) {
	next = now.Add(overdueQueryInterval)
	for _, group := range s.groups {
		g := s.states[group]
		if g == nil {
			g = &groupSearch{interval: minGroupQueryInterval}
			s.states[group] = g
		}
		if g.answered && !g.answer.Unlisted {
			continue
		}
		if !now.Before(g.askAt) {
			queries = append(queries, g.query(now, group))
		}
		if g.askAt.Before(next) {
			next = g.askAt
		}
	}
	return queries, next
}

// query returns the next query for the group.
func (g *groupSearch) query(now time.Time, group ListGroup) GroupQuery {
	q := GroupQuery{Group: group, Attempt: g.unanswered / queriesPerHost}
	g.unanswered++
	g.askAt = now.Add(g.interval)
	g.interval = min(2*g.interval, maxGroupQueryInterval)
	return q
}

// Versions returns the versions that cache the part, in order. known is false while a group that could add one has not answered, or awaits a list.
func (s *Search) Versions() (versions []endpoint.Version, known bool) {
	answers := make([]GroupAnswer, 0, len(s.groups))
	for _, g := range s.groups {
		st := s.states[g]
		if st == nil || !st.answered {
			return nil, false
		}
		answers = append(answers, st.answer)
	}
	return decideVersions(answers...)
}
