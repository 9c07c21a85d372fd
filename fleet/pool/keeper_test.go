package pool

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
)

// simulation drives a keeper with a scripted load and a simulated clock: requests get slots, hold them for a given time
// and release them.
type simulation struct {
	t          *testing.T
	now        time.Time
	keeper     *Keeper
	random     *rand.Rand
	nextTicket uint64
	releases   []release
	// granted and refused count requests by priority; waiting holds the requests that are neither granted nor refused yet.
	granted, refused map[int]int
	waiting          map[Ticket]SlotRequested
	holdTime         map[Ticket]time.Duration
	// missingTokens and fetchedTokens add up MissingTokens and FetchedTokens of all grants.
	missingTokens, fetchedTokens int
	running                      map[endpoint.ID]int
	overLimitGrants              int
	updatesSent                  int
	enginesToList                []endpoint.Record
}

// release is the scheduled release of a request's slot.
type release struct {
	at     time.Time
	ticket Ticket
	id     endpoint.ID
}

const assistant site.ServiceName = "assistant"

func newSimulation(t *testing.T, engines, slots int) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(7, 7)),
		granted: map[int]int{}, refused: map[int]int{}, waiting: map[Ticket]SlotRequested{}, holdTime: map[Ticket]time.Duration{},
		running: map[endpoint.ID]int{},
	}
	sim.restart(engines, slots)
	// An empty update from another keeper prevents the cache listing.
	sim.keeper.Update(sim.now, CacheUpdated{Service: assistant})
	return sim
}

// restart replaces the keeper by a new one without cache information.
func (sim *simulation) restart(engines, slots int) {
	sim.keeper = New(Config{LoadFactor: 2, RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second})
	sim.keeper.Update(sim.now, ServiceChanged{Service: site.Service{Name: assistant, Engine: &site.Engine{Slots: slots, CacheTransfer: true}}})
	for i := range engines {
		sim.register(i, slots, false)
	}
}

func engineID(i int) endpoint.ID { return endpoint.ID(fmt.Sprintf("engine-%02d", i)) }

func (sim *simulation) register(i, slots int, leaving bool) {
	sim.apply(sim.keeper.Update(sim.now, EndpointRegistered{Record: endpoint.Record{
		Instance: endpoint.Instance{ID: engineID(i)}, Service: assistant, Address: "10.0.0.1:1", Slots: slots, Leaving: leaving,
	}}))
}

func (sim *simulation) request(priority int, prompt chat.Prompt, holdTime, timeLeft time.Duration) {
	sim.nextTicket++
	e := SlotRequested{Ticket: Ticket{"host", sim.nextTicket}, Service: assistant, Prompt: prompt, Priority: priority, TimeLeft: timeLeft}
	sim.waiting[e.Ticket], sim.holdTime[e.Ticket] = e, holdTime
	sim.apply(sim.keeper.Update(sim.now, e))
}

func (sim *simulation) apply(commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case Grant:
			e := sim.waiting[c.Ticket]
			delete(sim.waiting, c.Ticket)
			id := c.Endpoint.Instance.ID
			sim.granted[e.Priority]++
			sim.missingTokens += c.Decision.MissingTokens
			sim.fetchedTokens += c.Decision.FetchedTokens
			if sim.overLimit(id) {
				sim.overLimitGrants++
			}
			sim.running[id]++
			sim.releases = append(sim.releases, release{sim.now.Add(sim.holdTime[c.Ticket]), c.Ticket, id})
		case ListCache:
			sim.enginesToList = append(sim.enginesToList, c.Endpoint)
		case UpdateStandbys:
			sim.updatesSent += len(c.Cached)
		case Refuse:
			sim.refused[sim.waiting[c.Ticket].Priority]++
			delete(sim.waiting, c.Ticket)
		}
	}
}

// overLimit checks the limit that operators measure: whether an engine runs more than twice the mean plus three requests
// before it gets another.
func (sim *simulation) overLimit(id endpoint.ID) bool {
	total := 0
	for _, n := range sim.running {
		total += n
	}
	return float64(sim.running[id]) > 2*float64(total)/float64(max(len(sim.running), 1))+3
}

// advance moves the clock to at and releases the slots whose hold time ends by then.
func (sim *simulation) advance(at time.Time) {
	for {
		slices.SortFunc(sim.releases, func(a, b release) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.ticket.Number, b.ticket.Number))
		})
		if len(sim.releases) == 0 || sim.releases[0].at.After(at) {
			break
		}
		next := sim.releases[0]
		sim.releases = sim.releases[1:]
		sim.now = next.at
		sim.running[next.id]--
		sim.apply(sim.keeper.Update(sim.now, SlotReleased{Ticket: next.ticket, Service: assistant, Result: Completed}))
	}
	sim.now = at
	sim.apply(sim.keeper.Update(sim.now, Tick{}))
}

// prompt returns the prompt of a chat: a short part that it shares with a third of the chats, a long part that only this chat
// uses, and a last part that only this request uses.
func prompt(chatNumber, tokens int) chat.Prompt {
	return chat.Prompt{Tokens: 500 + tokens + 100, Parts: []chat.Part{
		{ID: chat.PartID(1 + chatNumber%3), Tokens: 500}, {ID: chat.PartID(1000 + chatNumber), Tokens: tokens}, {ID: 0, Tokens: 100},
	}}
}

// Guards against processing a cached prefix again: 60 requests a second, each from a random one of 36 chats with long
// prompts, go to nine engines. Hardly any prefix is processed twice, and no engine exceeds the load limit.
func TestReturningChatsReuseTheirCachedPrefix(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 9, 64)
	chats := map[int]bool{}
	for range 1800 {
		sim.advance(sim.now.Add(time.Second / 60))
		chatNumber := sim.random.IntN(36)
		chats[chatNumber] = true
		sim.request(1, prompt(chatNumber, 10000), 100*time.Millisecond+time.Duration(sim.random.IntN(1500))*time.Millisecond, 5*time.Second)
	}
	uniqueTokens := len(chats)*10000 + 3*500
	require.Less(t, sim.missingTokens-uniqueTokens-sim.fetchedTokens, uniqueTokens/20, "tokens that were processed again")
	require.Less(t, sim.fetchedTokens, uniqueTokens, "tokens that were fetched")
	require.Zero(t, sim.overLimitGrants)
	require.Zero(t, sim.refused[1])
}

// A chat that gets a quarter of all requests must not overload the engine that caches its prefix. Other engines take over
// and fetch the prefix instead of processing it again.
func TestHotChatKeepsEnginesWithinTheLoadLimit(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 9, 64)
	for range 1200 {
		sim.advance(sim.now.Add(time.Second / 60))
		chatNumber := sim.random.IntN(36)
		if sim.random.IntN(4) == 0 {
			chatNumber = 0
		}
		sim.request(1, prompt(chatNumber, 10000), time.Second, 5*time.Second)
	}
	require.Zero(t, sim.overLimitGrants)
	require.Zero(t, sim.refused[1])
	// Each of the 36 chats has 10,500 shared tokens, which must be processed hardly more than once.
	require.Less(t, sim.missingTokens-sim.fetchedTokens, 38*10500)
}

// A service gets three times the load that it can serve. Higher priorities are served first without starving the others,
// slots don't stay free while requests are refused, and no request is still queued after its deadline.
func TestOverloadServesHighPriorityFirstWithoutStarvation(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 4, 6)
	requested := map[int]int{}
	for range 3000 {
		sim.advance(sim.now.Add(time.Second / 720))
		priority := sim.random.IntN(3)
		requested[priority]++
		sim.request(priority, chat.Prompt{}, 100*time.Millisecond, 400*time.Millisecond)
	}
	sim.advance(sim.now.Add(time.Second))
	require.Empty(t, sim.waiting)
	served := func(priority int) float64 { return float64(sim.granted[priority]) / float64(requested[priority]) }
	require.GreaterOrEqual(t, served(0), served(1)-0.05)
	require.GreaterOrEqual(t, served(1), served(2)-0.05)
	all := float64(sim.granted[0]+sim.granted[1]+sim.granted[2]) / 3000
	require.Greater(t, all, 0.30, "share of granted requests; the capacity is a third of the load")
	for priority := range 3 {
		require.Greater(t, served(priority), all/4, "priority %d", priority)
	}
}

// The chats of a leaving engine move to the others: it gets no new requests, and the prefixes are fetched from its cache.
func TestLeavingEngineGetsNoRequestsAndItsCacheIsFetched(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 3, 64)
	for chatNumber := range 12 {
		sim.request(1, prompt(chatNumber, 8000), 100*time.Millisecond, time.Second)
	}
	sim.advance(sim.now.Add(time.Second))
	sim.register(1, 64, true)
	sim.missingTokens, sim.fetchedTokens = 0, 0
	for chatNumber := range 12 {
		sim.request(1, prompt(chatNumber, 8000), 100*time.Millisecond, time.Second)
	}
	require.Zero(t, sim.running[engineID(1)])
	require.Positive(t, sim.missingTokens)
	require.Equal(t, sim.missingTokens, sim.fetchedTokens, "all missing tokens are fetched")
}

func TestNewKeeperUsesTheLastEndpointNamedByTheEntry(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 9, 64)
	for i := range 9 {
		e := SlotRequested{Ticket: Ticket{"host", uint64(i)}, Service: assistant, Prompt: prompt(100+i, 9000), TimeLeft: time.Second, LastEndpoint: engineID(i)}
		commands := sim.keeper.Update(sim.now, e)
		require.Equal(t, engineID(i), commands[0].(Grant).Endpoint.Instance.ID)
	}
}

func TestEndpointIsAvoidedAfterAConnectionFailure(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 2, 64)
	grantedEndpoint := func(number uint64) endpoint.ID {
		e := SlotRequested{Ticket: Ticket{"host", number}, Service: assistant, Prompt: prompt(1, 9000), TimeLeft: time.Second}
		return sim.keeper.Update(sim.now, e)[0].(Grant).Endpoint.Instance.ID
	}
	first := grantedEndpoint(1)
	sim.keeper.Update(sim.now, SlotReleased{Ticket: Ticket{"host", 1}, Service: assistant, Result: ConnectionFailed})
	require.NotEqual(t, first, grantedEndpoint(2))
	sim.keeper.Update(sim.now, EndpointRemoved{ID: grantedEndpoint(3)})
	require.Equal(t, first, grantedEndpoint(4), "a suspect endpoint is used when there is no other")
}

func TestRetriesStayWithinTheBudgetOfTheService(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 2, 64)
	granted := 0
	for i := range uint64(200) {
		first := SlotRequested{Ticket: Ticket{"host", 2 * i}, Service: assistant, TimeLeft: time.Second}
		sim.keeper.Update(sim.now, first)
		sim.keeper.Update(sim.now, SlotReleased{Ticket: first.Ticket, Service: assistant, Result: Failed})
		retry := SlotRequested{Ticket: Ticket{"host", 2*i + 1}, Service: assistant, TimeLeft: time.Second, Retry: true}
		if _, ok := sim.keeper.Update(sim.now, retry)[0].(Grant); ok {
			granted++
			sim.keeper.Update(sim.now, SlotReleased{Ticket: retry.Ticket, Service: assistant, Result: Failed})
		}
	}
	require.LessOrEqual(t, float64(granted), 0.2*200+10)
	require.Positive(t, granted)
}

func TestSlotsOfARemovedHostAreReleased(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 1, 2)
	for i := range uint64(2) {
		sim.keeper.Update(sim.now, SlotRequested{Ticket: Ticket{"lost", i}, Service: assistant, TimeLeft: time.Second})
	}
	require.Equal(t, 2, sim.keeper.Running())
	sim.request(0, chat.Prompt{}, time.Second, time.Second)
	require.Equal(t, 1, sim.keeper.Queued())
	sim.apply(sim.keeper.Update(sim.now, HostRemoved{Host: "lost"}))
	require.Equal(t, 1, sim.keeper.Running())
	require.Zero(t, sim.keeper.Queued())
}

// The keeper is killed under load. Its standby has received the cache updates, so that hardly any prefix is processed again.
func TestStandbyTakesOverWithTheCacheState(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 9, 64)
	standby := newSimulation(t, 9, 64)
	for i := range 600 {
		sim.advance(sim.now.Add(time.Second / 60))
		sim.request(1, prompt(i%36, 10000), time.Second, 5*time.Second)
		for _, c := range sim.keeper.Update(sim.now, Tick{}) {
			if update, ok := c.(UpdateStandbys); ok {
				standby.keeper.Update(sim.now, CacheUpdated(update))
			}
		}
	}
	standby.now = sim.now
	for i := range 360 {
		standby.advance(standby.now.Add(time.Second / 60))
		standby.request(1, prompt(i%36, 10000), time.Second, 5*time.Second)
	}
	require.Less(t, standby.missingTokens, 36*10500/20)
}

func TestUnchangedCacheUpdateIsSentOncePerInterval(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 9, 64)
	sent := 0
	for i := range 600 {
		sim.advance(sim.now.Add(time.Second / 60))
		sim.nextTicket++
		sim.keeper.Update(sim.now, SlotRequested{Ticket: Ticket{"host", sim.nextTicket}, Service: assistant, Prompt: prompt(i%36, 10000), TimeLeft: time.Second})
		sim.keeper.Update(sim.now, SlotReleased{Ticket: Ticket{"host", sim.nextTicket}, Service: assistant, Result: Completed})
		for _, c := range sim.keeper.Update(sim.now, Tick{}) {
			sent += len(c.(UpdateStandbys).Cached)
		}
	}
	require.LessOrEqual(t, sent, 3*36, "in 10 s each update is sent once and repeated once")
}

// Six of nine engines fail two requests in five while they are registered as ready. Requests on their last try go to the
// other three as far as the load limit permits; requests that can be retried stay with their cached prefix.
func TestRequestsOnLastTryAvoidFailingEngines(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 9, 64)
	fails := func(id endpoint.ID) bool { return id >= engineID(3) && sim.random.IntN(5) < 2 }
	failed, requested := map[bool]int{}, map[bool]int{}
	type run struct {
		at      time.Time
		ticket  Ticket
		id      endpoint.ID
		lastTry bool
	}
	var runs []run
	for i := range 2400 {
		sim.now = sim.now.Add(time.Second / 40)
		for len(runs) > 0 && !runs[0].at.After(sim.now) {
			r := runs[0]
			runs = runs[1:]
			result := Completed
			if fails(r.id) {
				result = Failed
				failed[r.lastTry]++
			}
			sim.keeper.Update(sim.now, SlotReleased{Ticket: r.ticket, Service: assistant, Result: result})
		}
		e := SlotRequested{Ticket: Ticket{"host", uint64(i)}, Service: assistant, Prompt: prompt(i%36, 4000), TimeLeft: time.Second, LastTry: i%2 == 0}
		requested[e.LastTry]++
		grant := sim.keeper.Update(sim.now, e)[0].(Grant)
		runs = append(runs, run{sim.now.Add(2 * time.Second), e.Ticket, grant.Endpoint.Instance.ID, e.LastTry})
	}
	failureRate := func(lastTry bool) float64 { return float64(failed[lastTry]) / float64(requested[lastTry]) }
	require.Less(t, failureRate(true), failureRate(false)/3)
}

// A host that receives a grant for a request which has ended meanwhile releases the slot. It has only the ticket then, not
// the service.
func TestSlotIsReleasedByTicketWithoutService(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 2, 64)
	sim.keeper.Update(sim.now, SlotRequested{Ticket: Ticket{"host", 1}, Service: assistant, TimeLeft: time.Second})
	require.Equal(t, 1, sim.keeper.Running())
	sim.keeper.Update(sim.now, SlotReleased{Ticket: Ticket{"host", 1}})
	require.Zero(t, sim.keeper.Running())
}

// A host repeats its request because the reply was lost. It must get the same grant, with the engine to fetch from.
func TestRepeatedRequestGetsTheSameGrant(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 3, 64)
	first := SlotRequested{Ticket: Ticket{"host", 1}, Service: assistant, Prompt: prompt(1, 4000), TimeLeft: time.Second}
	source := sim.keeper.Update(sim.now, first)[0].(Grant).Endpoint.Instance.ID
	second := SlotRequested{Ticket: Ticket{"host", 2}, Service: assistant, Prompt: prompt(1, 4000), TimeLeft: time.Second, Tried: []endpoint.ID{source}}
	grant := sim.keeper.Update(sim.now, second)[0].(Grant)
	require.Equal(t, source, grant.Fetch)
	require.Equal(t, []Command{grant}, sim.keeper.Update(sim.now, second))
}

// After a power loss of all hosts, a new keeper has no cache information and no other keeper to get it from. It lists the
// engines' caches, so that hardly any prefix is processed again. It serves requests even if no engine responds.
func TestNewKeeperListsTheCachesOfEngines(t *testing.T) {
	t.Parallel()
	for _, enginesRespond := range []bool{true, false} {
		sim := newSimulation(t, 9, 64)
		caches := map[endpoint.ID][]chat.Part{}
		request := func(i int) {
			sim.request(0, prompt(i%36, 4000), time.Second, time.Second)
			for _, e := range sim.enginesToList {
				listed := CacheListed{Service: assistant, Instance: e.Instance, Failed: !enginesRespond}
				if enginesRespond {
					listed.Parts = caches[e.Instance.ID]
				}
				sim.apply(sim.keeper.Update(sim.now, listed))
			}
			sim.enginesToList = nil
		}
		for i := range 600 {
			sim.advance(sim.now.Add(time.Second / 60))
			request(i)
		}
		for id, st := range sim.keeper.service(assistant).endpoints {
			for part := range st.cachedParts {
				caches[id] = append(caches[id], chat.Part{ID: part})
			}
		}
		sim.restart(9, 64)
		sim.missingTokens, sim.fetchedTokens, sim.granted[0] = 0, 0, 0
		for i := range 36 {
			sim.advance(sim.now.Add(time.Second / 60))
			request(i)
		}
		sim.advance(sim.now.Add(time.Second))
		require.Equal(t, 36, sim.granted[0])
		const promptTokens = 36 * 4500
		if enginesRespond {
			require.Less(t, sim.missingTokens-sim.fetchedTokens, promptTokens/20)
			continue
		}
		require.Greater(t, sim.missingTokens-sim.fetchedTokens, promptTokens/2, "without the lists most prefixes are processed again")
	}
}
