package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
)

const (
	searchGroups = 8
	searchPrefix = chat.PartID(1234)
)

// searched plays the answers of groups to a search. Groups without one have listed all engines and cache nothing of it.
type searched struct {
	search *Search
	now    time.Time
	// asked counts the queries by group.
	asked map[ListGroup]int
}

func newSearched(prefix chat.PartID) *searched {
	return &searched{search: NewSearch(prefix, searchGroups), now: time.Unix(1000, 0), asked: map[ListGroup]int{}}
}

// ask sends the queries that are due and answers them.
func (s *searched) ask(answers map[ListGroup]GroupAnswer) {
	queries, _ := s.search.Due(s.now)
	for _, q := range queries {
		s.asked[q.Group]++
		a := answers[q.Group]
		a.Group = q.Group
		s.search.Answer(s.now, a)
	}
	s.now = s.now.Add(step)
}

func TestSearchThatFindsAVersionInThePrefixGroupsAsksNoOther(t *testing.T) {
	t.Parallel()
	s := newSearched(searchPrefix)
	home := homeGroups(searchPrefix, searchGroups)
	require.Len(t, home, 2)
	s.ask(map[ListGroup]GroupAnswer{home[1]: {Found: []endpoint.Version{"v1"}, Unlisted: true}})
	versions, known := s.search.Versions()
	require.True(t, known)
	require.Equal(t, []endpoint.Version{"v1"}, versions)
	require.Equal(t, map[ListGroup]int{home[0]: 1, home[1]: 1}, s.asked)
}

func TestSearchWaitsForEnginesOfAnotherVersionInTheOtherPrefixGroup(t *testing.T) {
	t.Parallel()
	s := newSearched(searchPrefix)
	home := homeGroups(searchPrefix, searchGroups)
	answers := map[ListGroup]GroupAnswer{
		home[0]: {Found: []endpoint.Version{"v1"}}, home[1]: {Awaited: []endpoint.Version{"v1", "v2"}, Unlisted: true},
	}
	s.ask(answers)
	_, known := s.search.Versions()
	require.False(t, known)
	answers[home[1]] = GroupAnswer{Found: []endpoint.Version{"v2"}}
	for range 4 {
		s.ask(answers)
	}
	versions, known := s.search.Versions()
	require.True(t, known)
	require.Equal(t, []endpoint.Version{"v1", "v2"}, versions, "two versions remain two")
	require.Equal(t, 1, s.asked[home[0]], "what is listed is not asked for again")
}

// The keeper places a stream in a further group if the first ones have no free slot, or if engines there cache more of its prompt.
func TestSearchThatFindsNothingInThePrefixGroupsNeedsAllGroups(t *testing.T) {
	t.Parallel()
	for name, prefix := range map[string]chat.PartID{"a prefix": searchPrefix, "no prefix": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSearched(prefix)
			var further []ListGroup
			for i := range searchGroups {
				g := listGroup(i, searchGroups)
				if h := homeGroups(prefix, searchGroups); len(h) == 0 || g != h[0] && g != h[1] {
					further = append(further, g)
				}
			}
			answers := map[ListGroup]GroupAnswer{
				further[0]: {Found: []endpoint.Version{"v2"}}, further[1]: {Awaited: []endpoint.Version{"v1"}, Unlisted: true},
			}
			s.ask(answers)
			s.ask(answers)
			_, known := s.search.Versions()
			require.False(t, known, "an engine of another version is awaited")
			require.Len(t, s.asked, searchGroups)
			answers[further[1]] = GroupAnswer{Unlisted: true}
			s.now = s.now.Add(time.Second)
			s.ask(answers)
			versions, known := s.search.Versions()
			require.True(t, known, "it is overdue")
			require.Equal(t, []endpoint.Version{"v2"}, versions)
		})
	}
}

func TestSearchThatFindsNothingKnowsThatOnlyIfAllEnginesAreListed(t *testing.T) {
	t.Parallel()
	s := newSearched(0)
	answers := map[ListGroup]GroupAnswer{listGroup(5, searchGroups): {Unlisted: true}}
	s.ask(answers)
	_, known := s.search.Versions()
	require.False(t, known)
	s.now = s.now.Add(overdueQueryInterval)
	s.ask(nil)
	versions, known := s.search.Versions()
	require.True(t, known)
	require.Empty(t, versions)
}

func TestSearchAsksAnotherHostOfTheRankingWhenOneDoesNotReply(t *testing.T) {
	t.Parallel()
	s := newSearched(searchPrefix)
	var attempts []int
	for range 2 * queriesPerHost {
		queries, next := s.search.Due(s.now)
		attempts = append(attempts, queries[0].Attempt)
		require.True(t, next.After(s.now))
		s.now = next
	}
	require.Equal(t, []int{0, 0, 0, 1, 1, 1}, attempts)
}

// Hosts whose registrations differ divide a service by the numbers that the query names.
func TestGroupsOfAnyNumberDivideTheEnginesOfAService(t *testing.T) {
	t.Parallel()
	l := newListingSite(alternating(300)...)
	s := l.keeper.service(assistant)
	require.Equal(t, 2, l.keeper.ListGroupCount(assistant))
	for _, count := range []int{1, 2, 4, 3} {
		n := 0
		for i := range count {
			n += len(s.members(listGroup(i, count)))
		}
		require.Equal(t, 300, n)
	}
	require.Empty(t, s.members(ListGroup{Index: 2, Count: 2}))
}

func TestLookupOfAGroupListsNoOtherEngines(t *testing.T) {
	t.Parallel()
	l := newListingSite(alternating(300)...)
	lookup := ownLookup
	lookup.Group = listGroup(1, 2)
	members := l.keeper.service(assistant).members(lookup.Group)
	l.advance(time.Second, func() { l.apply(l.keeper.Update(l.now, PartQueried{Lookup: lookup})) })
	require.Len(t, l.attempts, len(members))
	_, known := l.keeper.VersionsCaching(l.now, lookup)
	require.True(t, known)
}
