package pool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/placement"
	"balsamknot.org/fleet/site"
)

const (
	// hostsPerThousand is the number of hosts for 1,000 engines at the target size, and minHosts that of the smallest fleet.
	hostsPerThousand = 213
	minHosts         = 3
	// streamsPerEngine is how many streams are taken up for each engine, maxStreams at most, spread over takeUpPeriod from the start on.
	streamsPerEngine = 2
	maxStreams       = 2000
	takeUpPeriod     = time.Second
	// confirmedAfter is the time from its start on during which a host lists no caches.
	confirmedAfter = 300 * time.Millisecond
	hostLatency    = time.Millisecond
	// minListTime and maxListTime bound the time of a list; pausePeriod is how long paused engines stand still from the start on.
	minListTime = 100 * time.Millisecond
	maxListTime = 2500 * time.Millisecond
	pausePeriod = time.Second
	// knownWithin is the time from the start within which a stream must go on, beside that of the list of the engine that began it.
	knownWithin = 2 * time.Second
	// playTime is the length of a play.
	playTime = 6 * time.Second
	// crossingPeriod is of how many streams one was run by an engine that lost it before the one that began it.
	crossingPeriod = 1000
	// queryBytes and replyBytes are the lengths of a group's lookup and reply as messages, with the headers of a datagram, and listBytes is that
	// of a full cache list.
	queryBytes, replyBytes = 28 + 65, 28 + 47
	listBytes              = maxParts * 45
)

// startSite plays a start of all hosts in front of the engines of a large service, in virtual time.
type startSite struct {
	now    time.Time
	start  time.Time
	random *rand.Rand
	events startEvents
	lastID int
	hosts  []host.ID
	// keepers holds those of the hosts that were asked for a group.
	keepers map[host.ID]*Keeper
	listers map[ListGroup]host.ID
	records []endpoint.Record
	cached  map[endpoint.ID][]chat.Part
	engines map[endpoint.ID]*playedEngine
	streams []*playedStream
	// lastRequest numbers the requests for lists; finished has those with a result.
	lastRequest int
	finished    map[int]bool
	// lists, queries and bytes count by host.
	lists, queries, bytes map[host.ID]int
}

// playedEngine is how an engine lists its cache.
type playedEngine struct {
	listTime       time.Duration
	silent, paused bool
	// request is the number of the last request for its list.
	request int
}

// playedStream is a stream that a caller takes up after the start.
type playedStream struct {
	engine  endpoint.ID
	version endpoint.Version
	prefix  chat.PartID
	lookup  PartLookup
	entry   host.ID
	search  *Search
	// found is the version at which it goes on, and foundAt when.
	found   endpoint.Version
	foundAt time.Time
	known   bool
}

// startEvent is an action at a time; those of the same time are in order of number.
type startEvent struct {
	at     time.Time
	number int
	do     func()
}

type startEvents []startEvent

func (h startEvents) Len() int { return len(h) }
func (h startEvents) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].number < h[j].number
	}
	return h[i].at.Before(h[j].at)
}
func (h startEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *startEvents) Push(x any)   { *h = append(*h, x.(startEvent)) }
func (h *startEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newStartSite(engines int) *startSite {
	s := &startSite{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(uint64(engines), 50)), keepers: map[host.ID]*Keeper{}, listers: map[ListGroup]host.ID{}, finished: map[int]bool{}, cached: map[endpoint.ID][]chat.Part{},
		engines: map[endpoint.ID]*playedEngine{}, lists: map[host.ID]int{}, queries: map[host.ID]int{}, bytes: map[host.ID]int{},
	}
	for i := range max(engines*hostsPerThousand/1000, minHosts) {
		s.hosts = append(s.hosts, host.ID(fmt.Sprintf("host-%d", i)))
	}
	kinds := s.random.Perm(engines)
	for i := range engines {
		id := endpoint.ID(fmt.Sprintf("engine-%05d", i))
		listTime := minListTime + time.Duration(s.random.Int64N(int64(maxListTime-minListTime)))
		s.engines[id] = &playedEngine{listTime: listTime, silent: kinds[i] < engines/10, paused: kinds[i] >= engines-engines/10}
		s.records = append(s.records, endpoint.Record{
			Instance: endpoint.Instance{ID: id, StartedAt: 1}, Service: assistant, Slots: 16, Version: alternating(2)[s.random.IntN(2)],
		})
	}
	s.place(min(engines*streamsPerEngine, maxStreams))
	s.start = s.now
	return s
}

// newKeeper returns the keeper of a host that has the registrations and no more.
func (s *startSite) newKeeper() *Keeper {
	k := New(Config{LoadFactor: 2, RetrySlack: 1000, RetryWindow: time.Second})
	k.Update(s.now, ServiceChanged{Service: site.Service{Name: assistant, Engine: &site.Engine{Slots: 16}}})
	for _, r := range s.records {
		k.Update(s.now, EndpointRegistered{Record: r})
	}
	return k
}

// place lets the keeper before the start choose the engines of streams. Some were lost by an engine that cached their prompts before.
func (s *startSite) place(streams int) {
	before := s.newKeeper()
	before.Update(s.now, CacheUpdated{Service: assistant})
	for i := range streams {
		s.now = s.now.Add(time.Millisecond)
		chatNumber := s.random.IntN(streams)
		prompt := chat.Prompt{Parts: []chat.Part{
			{ID: chat.PartID(1 + chatNumber%3), Tokens: 500}, {ID: chat.PartID(1000 + chatNumber), Tokens: 3000}, {ID: chat.PartID(1<<40 + i), Tokens: ownTokens},
		}}
		e := SlotRequested{Ticket: Ticket{"entry", uint64(i)}, Service: assistant, Prompt: prompt, TimeLeft: time.Second}
		began := s.run(before, e)
		if i%crossingPeriod == crossingPeriod-1 {
			e.Ticket.Number, e.Tried, e.Retry = uint64(streams+i), []endpoint.ID{began.Instance.ID}, true
			began = s.run(before, e)
		}
		s.streams = append(s.streams, &playedStream{
			engine: began.Instance.ID, version: began.Version, prefix: prompt.SharedPrefix(), entry: s.hosts[s.random.IntN(len(s.hosts))],
			lookup: PartLookup{Service: assistant, Part: prompt.Parts[2].ID, MinTokens: ownTokens, MaxTokens: 2 * ownTokens},
		})
	}
}

// run lets a keeper choose the engine of a request, which caches its prompt from then on.
func (s *startSite) run(k *Keeper, e SlotRequested) endpoint.Record {
	for _, c := range k.Update(s.now, e) {
		if grant, ok := c.(Grant); ok {
			id := grant.Endpoint.Instance.ID
			s.cached[id] = append(s.cached[id], e.Prompt.Parts...)
			return grant.Endpoint
		}
	}
	panic("no slot")
}

func (s *startSite) after(d time.Duration, do func()) {
	s.lastID++
	heap.Push(&s.events, startEvent{s.now.Add(d), s.lastID, do})
}

// play takes up all streams and plays the time until playTime after the start.
func (s *startSite) play() {
	for _, st := range s.streams {
		s.after(time.Duration(s.random.Int64N(int64(takeUpPeriod))), func() { s.takeUp(st) })
	}
	for len(s.events) > 0 && s.now.Sub(s.start) < playTime {
		e := heap.Pop(&s.events).(startEvent)
		s.now = e.at
		e.do()
	}
}

func (s *startSite) takeUp(st *playedStream) {
	count := groupCount(len(s.records), maxGroupSize)
	st.search = NewSearch(st.prefix, count)
	s.ask(st)
}

// ask sends the queries that are due and repeats itself until the stream's versions are known.
func (s *startSite) ask(st *playedStream) {
	if st.known {
		return
	}
	queries, next := st.search.Due(s.now)
	for _, q := range queries {
		s.count(st.entry, queryBytes)
		s.after(hostLatency, func() { s.answer(st, q.Group) })
	}
	s.after(next.Sub(s.now), func() { s.ask(st) })
}

// answer plays the host that lists a group.
func (s *startSite) answer(st *playedStream, g ListGroup) {
	id := s.lister(g)
	s.queries[id]++
	s.count(id, queryBytes+replyBytes)
	lookup := st.lookup
	lookup.Group = g
	k := s.keeper(id)
	s.apply(id, k.Update(s.now, PartQueried{Lookup: lookup, KeeperUnconfirmed: s.now.Sub(s.start) < confirmedAfter}))
	a := k.AnswerGroup(s.now, lookup)
	s.after(hostLatency, func() { s.receive(st, a) })
}

// lister returns the host that lists a group.
func (s *startSite) lister(g ListGroup) host.ID {
	if s.listers[g] == "" {
		s.listers[g] = placement.Rank(g.RankKey(assistant), s.hosts, 1)[0]
	}
	return s.listers[g]
}

// receive plays the reply to a query.
func (s *startSite) receive(st *playedStream, a GroupAnswer) {
	s.count(st.entry, replyBytes)
	if st.known {
		return
	}
	st.search.Answer(s.now, a)
	versions, known := st.search.Versions()
	if !known {
		s.askNow(st)
		return
	}
	st.known, st.foundAt = true, s.now
	if len(versions) == 1 {
		st.found = versions[0]
	}
}

// askNow sends what became due by an answer.
func (s *startSite) askNow(st *playedStream) {
	queries, _ := st.search.Due(s.now)
	for _, q := range queries {
		s.count(st.entry, queryBytes)
		s.after(hostLatency, func() { s.answer(st, q.Group) })
	}
}

func (s *startSite) count(id host.ID, bytes int) { s.bytes[id] += bytes }

func (s *startSite) keeper(id host.ID) *Keeper {
	if s.keepers[id] == nil {
		k := s.newKeeper()
		s.keepers[id] = k
		s.tick(id, k)
	}
	return s.keepers[id]
}

func (s *startSite) tick(id host.ID, k *Keeper) {
	s.apply(id, k.Update(s.now, Tick{}))
	s.after(50*time.Millisecond, func() { s.tick(id, k) })
}

// apply plays the lists that a keeper requests.
func (s *startSite) apply(id host.ID, commands []Command) {
	for _, command := range commands {
		if c, ok := command.(CancelList); ok {
			s.finishList(id, s.engines[c.Instance.ID].request, CacheListed{Service: c.Service, Instance: c.Instance, Failed: true})
		}
		c, ok := command.(ListCache)
		if !ok {
			continue
		}
		s.lists[id]++
		e := s.engines[c.Endpoint.Instance.ID]
		result := CacheListed{Service: c.Service, Instance: c.Endpoint.Instance, Parts: s.cached[c.Endpoint.Instance.ID]}
		took := e.listTime
		if e.paused {
			took += max(s.start.Add(pausePeriod).Sub(s.now), 0)
		}
		if e.silent || took > c.TimeLimit {
			took, result.Failed, result.Parts = c.TimeLimit, true, nil
		}
		s.lastRequest++
		request := s.lastRequest
		e.request = request
		s.after(took, func() { s.finishList(id, request, result) })
	}
}

// finishList passes the result of a request for a list to the keeper, unless it has one already.
func (s *startSite) finishList(id host.ID, request int, result CacheListed) {
	if s.finished[request] {
		return
	}
	s.finished[request] = true
	if !result.Failed {
		s.count(id, listBytes)
	}
	s.apply(id, s.keepers[id].Update(s.now, result))
}

// startFigures is the outcome of a play.
type startFigures struct {
	// sound is the number of streams of engines that list, and inTime how many of them went on in time; wrong counts those of two versions, and
	// outside the streams that no home group has.
	sound, inTime, wrong, outside int
	latest                        time.Duration
}

func (s *startSite) figures() startFigures {
	var f startFigures
	hashes := map[endpoint.ID]*endpointState{}
	for _, r := range s.records {
		hashes[r.Instance.ID] = newEndpointState(r)
	}
	count := groupCount(len(s.records), maxGroupSize)
	for _, st := range s.streams {
		if st.found != "" && st.found != st.version {
			f.wrong++
		}
		if !atHome(homeGroups(st.prefix, count), hashes[st.engine]) {
			f.outside++
		}
		e := s.engines[st.engine]
		if e.silent {
			continue
		}
		f.sound++
		if took := st.foundAt.Sub(s.start); st.found == st.version && took <= knownWithin+e.listTime {
			f.inTime++
			f.latest = max(f.latest, took)
		}
	}
	return f
}

func atHome(home []ListGroup, st *endpointState) bool {
	for _, g := range home {
		if g.contains(st.hash) {
			return true
		}
	}
	return false
}

// totalAndMax returns the sum of counts by host, and the largest.
func totalAndMax(counts map[host.ID]int) (total, largest int) {
	for _, n := range counts {
		total += n
		largest = max(largest, n)
	}
	return total, largest
}

// Guards against LOST: the time until it was known which engine began a stream grew with the number of engines, most of all of those that
// do not list.
func TestTimeUntilItIsKnownWhoBeganAStreamDoesNotGrowWithThePool(t *testing.T) {
	t.Parallel()
	for _, engines := range []int{4, 120, 1000, 8000} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			t.Parallel()
			s := newStartSite(engines)
			s.play()
			f := s.figures()
			lists, mostLists := totalAndMax(s.lists)
			queries, mostQueries := totalAndMax(s.queries)
			bytes, mostBytes := totalAndMax(s.bytes)
			t.Logf("%d engines, %d hosts, %d streams (%d outside their groups): %d of %d of engines that list in time, the last after %v, %d at the wrong version",
				engines, len(s.hosts), len(s.streams), f.outside, f.inTime, f.sound, f.latest, f.wrong)
			t.Logf("%.2f lists an engine, %.1f queries a stream, %.1f MB in all; the busiest hosts: %d lists (%.3f), %d queries (%.3f), %.1f MB (%.3f)",
				float64(lists)/float64(engines), float64(queries)/float64(len(s.streams)), float64(bytes)/1e6, mostLists, float64(mostLists)/float64(lists),
				mostQueries, float64(mostQueries)/float64(queries), float64(mostBytes)/1e6, float64(mostBytes)/float64(bytes))
			require.GreaterOrEqual(t, float64(f.inTime), 0.95*float64(f.sound))
			require.LessOrEqual(t, f.wrong, 2)
		})
	}
}
