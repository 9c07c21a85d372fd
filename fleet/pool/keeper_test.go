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
	// granted and refused count requests by priority; waiting holds the requests without a reply.
	granted, refused map[int]int
	waiting          map[Ticket]SlotRequested
	holdTime         map[Ticket]time.Duration
	// missing and fetched add up MissingTokens and FetchedTokens of all grants.
	missing, fetched int
	running          map[endpoint.ID]int
	overLimitGrants  int
	updatesSent      int
	toList           []endpoint.Record
}

type release struct {
	at     time.Time
	ticket Ticket
	id     endpoint.ID
}

const assistant site.ServiceName = "assistant"

func newSimulation(t *testing.T, engines, slots int) *simulation {
	p := &simulation{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(7, 7)),
		granted: map[int]int{}, refused: map[int]int{}, waiting: map[Ticket]SlotRequested{}, holdTime: map[Ticket]time.Duration{},
		running: map[endpoint.ID]int{},
	}
	p.restart(engines, slots)
	// An empty update of another keeper prevents the cache listing.
	p.keeper.Update(p.now, CacheUpdated{Service: assistant})
	return p
}

// restart replaces the keeper by a new one without cache information.
func (p *simulation) restart(engines, slots int) {
	p.keeper = New(Config{LoadFactor: 2, RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second})
	p.keeper.Update(p.now, ServiceChanged{Service: site.Service{Name: assistant, Engine: &site.Engine{Slots: slots, CacheTransfer: true}}})
	for i := range engines {
		p.register(i, slots, false)
	}
}

func engineID(i int) endpoint.ID { return endpoint.ID(fmt.Sprintf("engine-%02d", i)) }

func (p *simulation) register(i, slots int, leaving bool) {
	p.apply(p.keeper.Update(p.now, EndpointRegistered{Record: endpoint.Record{
		Instance: endpoint.Instance{ID: engineID(i)}, Service: assistant, Address: "10.0.0.1:1", Slots: slots, Leaving: leaving,
	}}))
}

func (p *simulation) request(priority int, prompt chat.Prompt, holdTime, timeLeft time.Duration) {
	p.nextTicket++
	e := SlotRequested{Ticket: Ticket{"host", p.nextTicket}, Service: assistant, Prompt: prompt, Priority: priority, TimeLeft: timeLeft}
	p.waiting[e.Ticket], p.holdTime[e.Ticket] = e, holdTime
	p.apply(p.keeper.Update(p.now, e))
}

func (p *simulation) apply(commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case Grant:
			e := p.waiting[c.Ticket]
			delete(p.waiting, c.Ticket)
			id := c.Endpoint.Instance.ID
			p.granted[e.Priority]++
			p.missing += c.Decision.MissingTokens
			p.fetched += c.Decision.FetchedTokens
			if p.overLimit(id) {
				p.overLimitGrants++
			}
			p.running[id]++
			p.releases = append(p.releases, release{p.now.Add(p.holdTime[c.Ticket]), c.Ticket, id})
		case ListCaches:
			p.toList = append(p.toList, c.Endpoints...)
		case UpdateStandbys:
			p.updatesSent += len(c.Cached)
		case Refuse:
			p.refused[p.waiting[c.Ticket].Priority]++
			delete(p.waiting, c.Ticket)
		}
	}
}

// overLimit checks the limit that operators measure: whether an engine runs more than twice the mean plus three requests
// before it gets another.
func (p *simulation) overLimit(id endpoint.ID) bool {
	total := 0
	for _, n := range p.running {
		total += n
	}
	return float64(p.running[id]) > 2*float64(total)/float64(max(len(p.running), 1))+3
}

// advance moves the clock to at and releases the slots whose hold time ends by then.
func (p *simulation) advance(at time.Time) {
	for {
		slices.SortFunc(p.releases, func(a, b release) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.ticket.Number, b.ticket.Number))
		})
		if len(p.releases) == 0 || p.releases[0].at.After(at) {
			break
		}
		next := p.releases[0]
		p.releases = p.releases[1:]
		p.now = next.at
		p.running[next.id]--
		p.apply(p.keeper.Update(p.now, SlotReleased{Ticket: next.ticket, Service: assistant, Result: Completed}))
	}
	p.now = at
	p.apply(p.keeper.Update(p.now, Tick{}))
}

// prompt returns the prompt of a chat: a short part that every third chat shares, a long part of the chat's own and a
// last part of the request's own.
func prompt(chatNumber, tokens int) chat.Prompt {
	return chat.Prompt{Tokens: 500 + tokens + 100, Parts: []chat.Part{
		{ID: chat.PartID(1 + chatNumber%3), Tokens: 500}, {ID: chat.PartID(1000 + chatNumber), Tokens: tokens}, {ID: 0, Tokens: 100},
	}}
}

// Guards against processing a cached prefix again: 36 chats with long prompts return at random, with 60 requests a second
// at nine engines. Each prefix is processed by one engine, and no engine exceeds the load limit.
func TestReturningChatsReuseTheirCachedPrefix(t *testing.T) {
	t.Parallel()
	p := newSimulation(t, 9, 64)
	chats := map[int]bool{}
	for range 1800 {
		p.advance(p.now.Add(time.Second / 60))
		chatNumber := p.random.IntN(36)
		chats[chatNumber] = true
		p.request(1, prompt(chatNumber, 10000), 100*time.Millisecond+time.Duration(p.random.IntN(1500))*time.Millisecond, 5*time.Second)
	}
	first := len(chats)*10000 + 3*500
	require.Less(t, p.missing-first-p.fetched, first/20, "tokens that were processed again")
	require.Less(t, p.fetched, first, "tokens that were fetched")
	require.Zero(t, p.overLimitGrants)
	require.Zero(t, p.refused[1])
}

// A chat that gets a quarter of all requests must not overload the engine that caches its prefix. Other engines take over
// and fetch the prefix instead of processing it again.
func TestHotChatKeepsEnginesWithinTheLoadLimit(t *testing.T) {
	t.Parallel()
	p := newSimulation(t, 9, 64)
	for range 1200 {
		p.advance(p.now.Add(time.Second / 60))
		chatNumber := p.random.IntN(36)
		if p.random.IntN(4) == 0 {
			chatNumber = 0
		}
		p.request(1, prompt(chatNumber, 10000), time.Second, 5*time.Second)
	}
	require.Zero(t, p.overLimitGrants)
	require.Zero(t, p.refused[1])
	require.Less(t, p.missing-p.fetched, 38*10500)
}

// A service gets three times the load that it can serve. Higher priorities are served first without starving the others,
// slots don't stay free while requests are refused, and every request gets a slot or a refusal by its deadline.
func TestOverloadServesHighPriorityFirstWithoutStarvation(t *testing.T) {
	t.Parallel()
	p := newSimulation(t, 4, 6)
	requested := map[int]int{}
	for range 3000 {
		p.advance(p.now.Add(time.Second / 720))
		priority := p.random.IntN(3)
		requested[priority]++
		p.request(priority, chat.Prompt{}, 100*time.Millisecond, 400*time.Millisecond)
	}
	p.advance(p.now.Add(time.Second))
	require.Empty(t, p.waiting)
	served := func(priority int) float64 { return float64(p.granted[priority]) / float64(requested[priority]) }
	require.GreaterOrEqual(t, served(0), served(1)-0.05)
	require.GreaterOrEqual(t, served(1), served(2)-0.05)
	all := float64(p.granted[0]+p.granted[1]+p.granted[2]) / 3000
	require.Greater(t, all, 0.30, "share of granted requests; the capacity is a third of the load")
	for priority := range 3 {
		require.Greater(t, served(priority), all/4, "priority %d", priority)
	}
}

// The chats of a leaving engine move to the others: it gets no new requests, and the prefixes are fetched from its cache.
func TestLeavingEngineGetsNoRequestsAndItsCacheIsFetched(t *testing.T) {
	t.Parallel()
	p := newSimulation(t, 3, 64)
	for chatNumber := range 12 {
		p.request(1, prompt(chatNumber, 8000), 100*time.Millisecond, time.Second)
	}
	p.advance(p.now.Add(time.Second))
	p.register(1, 64, true)
	p.missing, p.fetched = 0, 0
	for chatNumber := range 12 {
		p.request(1, prompt(chatNumber, 8000), 100*time.Millisecond, time.Second)
	}
	require.Zero(t, p.running[engineID(1)])
	require.Positive(t, p.missing)
	require.Equal(t, p.missing, p.fetched, "all missing tokens are fetched")
}

func TestNewKeeperUsesTheLastEndpointNamedByTheEntry(t *testing.T) {
	t.Parallel()
	p := newSimulation(t, 9, 64)
	for i := range 9 {
		e := SlotRequested{Ticket: Ticket{"host", uint64(i)}, Service: assistant, Prompt: prompt(100+i, 9000), TimeLeft: time.Second, LastEndpoint: engineID(i)}
		commands := p.keeper.Update(p.now, e)
		require.Equal(t, engineID(i), commands[0].(Grant).Endpoint.Instance.ID)
	}
}

func TestEndpointIsAvoidedAfterAConnectionFailure(t *testing.T) {
	t.Parallel()
	p := newSimulation(t, 2, 64)
	grantedAt := func(number uint64) endpoint.ID {
		e := SlotRequested{Ticket: Ticket{"host", number}, Service: assistant, Prompt: prompt(1, 9000), TimeLeft: time.Second}
		return p.keeper.Update(p.now, e)[0].(Grant).Endpoint.Instance.ID
	}
	first := grantedAt(1)
	p.keeper.Update(p.now, SlotReleased{Ticket: Ticket{"host", 1}, Service: assistant, Result: ConnectionFailed})
	require.NotEqual(t, first, grantedAt(2))
	p.keeper.Update(p.now, EndpointRemoved{ID: grantedAt(3)})
	require.Equal(t, first, grantedAt(4), "a suspect endpoint is used when there is no other")
}

func TestRepeatsStayWithinTheBudgetOfTheService(t *testing.T) {
	t.Parallel()
	p := newSimulation(t, 2, 64)
	granted := 0
	for i := range uint64(200) {
		first := SlotRequested{Ticket: Ticket{"host", 2 * i}, Service: assistant, TimeLeft: time.Second}
		p.keeper.Update(p.now, first)
		p.keeper.Update(p.now, SlotReleased{Ticket: first.Ticket, Service: assistant, Result: Failed})
		retry := SlotRequested{Ticket: Ticket{"host", 2*i + 1}, Service: assistant, TimeLeft: time.Second, Retry: true}
		if _, ok := p.keeper.Update(p.now, retry)[0].(Grant); ok {
			granted++
			p.keeper.Update(p.now, SlotReleased{Ticket: retry.Ticket, Service: assistant, Result: Failed})
		}
	}
	require.LessOrEqual(t, float64(granted), 0.2*200+10)
	require.Positive(t, granted)
}

func TestSlotsOfARemovedHostAreReleased(t *testing.T) {
	t.Parallel()
	p := newSimulation(t, 1, 2)
	for i := range uint64(2) {
		p.keeper.Update(p.now, SlotRequested{Ticket: Ticket{"lost", i}, Service: assistant, TimeLeft: time.Second})
	}
	require.Equal(t, 2, p.keeper.Running())
	p.request(0, chat.Prompt{}, time.Second, time.Second)
	require.Equal(t, 1, p.keeper.Waiting())
	p.apply(p.keeper.Update(p.now, HostRemoved{Host: "lost"}))
	require.Equal(t, 1, p.keeper.Running())
	require.Zero(t, p.keeper.Waiting())
}

// The keeper is killed under load. Its standby has received the cache updates, so that hardly any prefix is processed again.
func TestStandbyTakesOverWithTheCacheState(t *testing.T) {
	t.Parallel()
	p := newSimulation(t, 9, 64)
	standby := newSimulation(t, 9, 64)
	for i := range 600 {
		p.advance(p.now.Add(time.Second / 60))
		p.request(1, prompt(i%36, 10000), time.Second, 5*time.Second)
		for _, c := range p.keeper.Update(p.now, Tick{}) {
			if update, ok := c.(UpdateStandbys); ok {
				standby.keeper.Update(p.now, CacheUpdated(update))
			}
		}
	}
	standby.now = p.now
	for i := range 360 {
		standby.advance(standby.now.Add(time.Second / 60))
		standby.request(1, prompt(i%36, 10000), time.Second, 5*time.Second)
	}
	require.Less(t, standby.missing, 36*10500/20)
}

func TestUnchangedCacheUpdateIsSentOncePerInterval(t *testing.T) {
	t.Parallel()
	p := newSimulation(t, 9, 64)
	sent := 0
	for i := range 600 {
		p.advance(p.now.Add(time.Second / 60))
		p.nextTicket++
		p.keeper.Update(p.now, SlotRequested{Ticket: Ticket{"host", p.nextTicket}, Service: assistant, Prompt: prompt(i%36, 10000), TimeLeft: time.Second})
		p.keeper.Update(p.now, SlotReleased{Ticket: Ticket{"host", p.nextTicket}, Service: assistant, Result: Completed})
		for _, c := range p.keeper.Update(p.now, Tick{}) {
			sent += len(c.(UpdateStandbys).Cached)
		}
	}
	require.LessOrEqual(t, sent, 3*36, "in 10 s each update is sent once and repeated once")
}

// Six of nine engines fail two requests in five while they are registered as ready. Requests on their last try go to the
// other three as far as the load limit permits; requests that can be retried stay with their cached prefix.
func TestWhatCannotBeRepeatedAvoidsFailingEngines(t *testing.T) {
	t.Parallel()
	p := newSimulation(t, 9, 64)
	fails := func(id endpoint.ID) bool { return id >= engineID(3) && p.random.IntN(5) < 2 }
	failed, requested := map[bool]int{}, map[bool]int{}
	type run struct {
		at      time.Time
		ticket  Ticket
		id      endpoint.ID
		lastTry bool
	}
	var runs []run
	for i := range 2400 {
		p.now = p.now.Add(time.Second / 40)
		for len(runs) > 0 && !runs[0].at.After(p.now) {
			r := runs[0]
			runs = runs[1:]
			result := Completed
			if fails(r.id) {
				result = Failed
				failed[r.lastTry]++
			}
			p.keeper.Update(p.now, SlotReleased{Ticket: r.ticket, Service: assistant, Result: result})
		}
		e := SlotRequested{Ticket: Ticket{"host", uint64(i)}, Service: assistant, Prompt: prompt(i%36, 4000), TimeLeft: time.Second, LastTry: i%2 == 0}
		requested[e.LastTry]++
		grant := p.keeper.Update(p.now, e)[0].(Grant)
		runs = append(runs, run{p.now.Add(2 * time.Second), e.Ticket, grant.Endpoint.Instance.ID, e.LastTry})
	}
	failureRate := func(lastTry bool) float64 { return float64(failed[lastTry]) / float64(requested[lastTry]) }
	require.Less(t, failureRate(true), failureRate(false)/3)
}

// A host that receives a grant for which it no longer waits releases the slot and knows only the ticket.
func TestSlotIsReleasedByItsTicketAlone(t *testing.T) {
	t.Parallel()
	p := newSimulation(t, 2, 64)
	p.keeper.Update(p.now, SlotRequested{Ticket: Ticket{"host", 1}, Service: assistant, TimeLeft: time.Second})
	require.Equal(t, 1, p.keeper.Running())
	p.keeper.Update(p.now, SlotReleased{Ticket: Ticket{"host", 1}})
	require.Zero(t, p.keeper.Running())
}

// A host repeats its request because the reply was lost. It must get the same grant, with the engine to fetch from.
func TestRepeatedRequestGetsTheSameGrant(t *testing.T) {
	t.Parallel()
	p := newSimulation(t, 3, 64)
	first := SlotRequested{Ticket: Ticket{"host", 1}, Service: assistant, Prompt: prompt(1, 4000), TimeLeft: time.Second}
	holder := p.keeper.Update(p.now, first)[0].(Grant).Endpoint.Instance.ID
	second := SlotRequested{Ticket: Ticket{"host", 2}, Service: assistant, Prompt: prompt(1, 4000), TimeLeft: time.Second, Tried: []endpoint.ID{holder}}
	grant := p.keeper.Update(p.now, second)[0].(Grant)
	require.Equal(t, holder, grant.Fetch)
	require.Equal(t, []Command{grant}, p.keeper.Update(p.now, second))
}

// After a power loss of all hosts, a new keeper has no cache information and no other keeper to get it from. It lists the
// engines' caches, so that hardly any prefix is processed again. It serves requests even if no engine responds.
func TestAKeeperThatBeginsAsksWhatEnginesHold(t *testing.T) {
	t.Parallel()
	for _, enginesRespond := range []bool{true, false} {
		p := newSimulation(t, 9, 64)
		caches := map[endpoint.ID][]chat.PartID{}
		request := func(i int) {
			p.request(0, prompt(i%36, 4000), time.Second, time.Second)
			for _, e := range p.toList {
				listed := CacheListed{Service: assistant, Instance: e.Instance}
				if enginesRespond {
					listed.Parts = caches[e.Instance.ID]
				}
				p.apply(p.keeper.Update(p.now, listed))
			}
			p.toList = nil
		}
		for i := range 600 {
			p.advance(p.now.Add(time.Second / 60))
			request(i)
		}
		for id, st := range p.keeper.service(assistant).endpoints {
			for part := range st.cachedParts {
				caches[id] = append(caches[id], part)
			}
		}
		p.restart(9, 64)
		p.missing, p.fetched, p.granted[0] = 0, 0, 0
		for i := range 36 {
			p.advance(p.now.Add(time.Second / 60))
			request(i)
		}
		p.advance(p.now.Add(time.Second))
		require.Equal(t, 36, p.granted[0])
		const prompts = 36 * 4500
		if enginesRespond {
			require.Less(t, p.missing-p.fetched, prompts/20)
			continue
		}
		require.Greater(t, p.missing-p.fetched, prompts/2, "without the lists most prefixes are processed again")
	}
}
