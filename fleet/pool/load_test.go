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

// play is a scripted load without a network: callers ask a keeper, hold their places for a while and give them back.
type play struct {
	t      *testing.T
	now    time.Time
	keeper *Keeper
	random *rand.Rand
	number uint64
	ends   []end
	// placed and refused count by rank, waits holds who waits.
	placed, refused map[int]int
	waits           map[Ticket]Asked
	stay            map[Ticket]time.Duration
	// fetched and missing count tokens of shared parts.
	missing, fetched int
	running          map[endpoint.ID]int
	overBound        int
	told             int
	lists            []endpoint.Record
}

type end struct {
	at     time.Time
	ticket Ticket
	id     endpoint.ID
}

const assistant site.ServiceName = "assistant"

func newPlay(t *testing.T, engines, places int) *play {
	p := &play{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(7, 7)),
		placed: map[int]int{}, refused: map[int]int{}, waits: map[Ticket]Asked{}, stay: map[Ticket]time.Duration{},
		running: map[endpoint.ID]int{},
	}
	p.restart(engines, places)
	// Another keeper told what it knows, which is nothing.
	p.keeper.Update(p.now, Learned{Service: assistant})
	return p
}

// restart lets a keeper begin that knows nothing.
func (p *play) restart(engines, places int) {
	p.keeper = New(Config{LoadFactor: 2, RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second})
	p.keeper.Update(p.now, ServiceSeen{Service: site.Service{Name: assistant, Engine: &site.Engine{Places: places, Transfers: true}}})
	for i := range engines {
		p.register(i, places, false)
	}
}

func engineID(i int) endpoint.ID { return endpoint.ID(fmt.Sprintf("engine-%02d", i)) }

func (p *play) register(i, places int, leaving bool) {
	p.carry(p.keeper.Update(p.now, EndpointSeen{Record: endpoint.Record{
		Instance: endpoint.Instance{ID: engineID(i)}, Service: assistant, Address: "10.0.0.1:1", Places: places, Leaving: leaving,
	}}))
}

func (p *play) ask(rank int, prompt chat.Prompt, stay, patience time.Duration) {
	p.number++
	e := Asked{Ticket: Ticket{"host", p.number}, Service: assistant, Prompt: prompt, Rank: rank, Patience: patience}
	p.waits[e.Ticket], p.stay[e.Ticket] = e, stay
	p.carry(p.keeper.Update(p.now, e))
}

func (p *play) carry(commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case Place:
			e := p.waits[c.Ticket]
			delete(p.waits, c.Ticket)
			id := c.Endpoint.Instance.ID
			p.placed[e.Rank]++
			p.missing += c.Why.Missing
			p.fetched += c.Why.Fetched
			if p.overLimit(id) {
				p.overBound++
			}
			p.running[id]++
			p.ends = append(p.ends, end{p.now.Add(p.stay[c.Ticket]), c.Ticket, id})
		case List:
			p.lists = append(p.lists, c.Endpoints...)
		case Tell:
			p.told += len(c.Cached)
		case Refuse:
			p.refused[p.waits[c.Ticket].Rank]++
			delete(p.waits, c.Ticket)
		}
	}
}

// overLimit is what operators measure: an engine that already holds more than twice the mean plus three.
func (p *play) overLimit(id endpoint.ID) bool {
	total := 0
	for _, n := range p.running {
		total += n
	}
	return float64(p.running[id]) > 2*float64(total)/float64(max(len(p.running), 1))+3
}

// until passes time, ending requests whose stay is over.
func (p *play) until(at time.Time) {
	for {
		slices.SortFunc(p.ends, func(a, b end) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.ticket.Number, b.ticket.Number)) })
		if len(p.ends) == 0 || p.ends[0].at.After(at) {
			break
		}
		next := p.ends[0]
		p.ends = p.ends[1:]
		p.now = next.at
		p.running[next.id]--
		p.carry(p.keeper.Update(p.now, Ended{Ticket: next.ticket, Service: assistant, Result: Done}))
	}
	p.now = at
	p.carry(p.keeper.Update(p.now, Ticked{}))
}

// prompt is one of many chats: a short part that some share, a long one of its own, and a last part of the request.
func prompt(subject, tokens int) chat.Prompt {
	return chat.Prompt{Tokens: 500 + tokens + 100, Parts: []chat.Part{
		{ID: chat.PartID(1 + subject%3), Tokens: 500}, {ID: chat.PartID(1000 + subject), Tokens: tokens}, {ID: 0, Tokens: 100},
	}}
}

// The load of an ordinary day: 36 chats with long prompts come back again and again, 60 requests a second to nine engines.
// Each prompt is read by one engine; no engine passes the bound.
func TestReturningChatsAreReadOnce(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 9, 64)
	subjects := map[int]bool{}
	for range 1800 {
		p.until(p.now.Add(time.Second / 60))
		subject := p.random.IntN(36)
		subjects[subject] = true
		p.ask(1, prompt(subject, 10000), 100*time.Millisecond+time.Duration(p.random.IntN(1500))*time.Millisecond, 5*time.Second)
	}
	first := len(subjects)*10000 + 3*500
	require.Less(t, p.missing-first-p.fetched, first/20, "tokens read again")
	require.Less(t, p.fetched, first, "tokens moved")
	require.Zero(t, p.overBound)
	require.Zero(t, p.refused[1])
}

// A closing: one chat gets a quarter of all requests. Its engine stays within the bound, and what others take over is
// fetched, not read again.
func TestAHotChatStaysWithinTheBound(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 9, 64)
	for range 1200 {
		p.until(p.now.Add(time.Second / 60))
		subject := p.random.IntN(36)
		if p.random.IntN(4) == 0 {
			subject = 0
		}
		p.ask(1, prompt(subject, 10000), time.Second, 5*time.Second)
	}
	require.Zero(t, p.overBound)
	require.Zero(t, p.refused[1])
	require.Less(t, p.missing-p.fetched, 38*10500)
}

// The heaviest day: a plain service is asked for three times what it can do. The urgent are served first, the others are
// not starved, nobody is refused while a place is free, and who is refused hears it at once or when its time is over.
func TestOverloadServesTheUrgentFirstAndStarvesNobody(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 4, 6)
	asked := map[int]int{}
	for range 3000 {
		p.until(p.now.Add(time.Second / 720))
		rank := p.random.IntN(3)
		asked[rank]++
		p.ask(rank, chat.Prompt{}, 100*time.Millisecond, 400*time.Millisecond)
	}
	p.until(p.now.Add(time.Second))
	require.Empty(t, p.waits)
	served := func(rank int) float64 { return float64(p.placed[rank]) / float64(asked[rank]) }
	require.GreaterOrEqual(t, served(0), served(1)-0.05)
	require.GreaterOrEqual(t, served(1), served(2)-0.05)
	all := float64(p.placed[0]+p.placed[1]+p.placed[2]) / 3000
	require.Greater(t, all, 0.30, "a third of what is asked fits")
	for rank := range 3 {
		require.Greater(t, served(rank), all/4, "rank %d", rank)
	}
}

// An engine that leaves hands its chats over: no new request goes there, and the new engine fetches from it.
func TestALeavingEngineHandsItsChatsOver(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 3, 64)
	for subject := range 12 {
		p.ask(1, prompt(subject, 8000), 100*time.Millisecond, time.Second)
	}
	p.until(p.now.Add(time.Second))
	p.register(1, 64, true)
	p.missing, p.fetched = 0, 0
	for subject := range 12 {
		p.ask(1, prompt(subject, 8000), 100*time.Millisecond, time.Second)
	}
	require.Zero(t, p.running[engineID(1)])
	require.Positive(t, p.missing)
	require.Equal(t, p.missing, p.fetched, "nothing is read again")
}

func TestAKeeperThatKnowsNothingFollowsWhatTheEntryKnows(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 9, 64)
	for i := range 9 {
		e := Asked{Ticket: Ticket{"host", uint64(i)}, Service: assistant, Prompt: prompt(100+i, 9000), Patience: time.Second, Known: engineID(i)}
		commands := p.keeper.Update(p.now, e)
		require.Equal(t, engineID(i), commands[0].(Place).Endpoint.Instance.ID)
	}
}

func TestABrokenEndpointIsPassedOverForAWhile(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 2, 64)
	place := func(number uint64) endpoint.ID {
		e := Asked{Ticket: Ticket{"host", number}, Service: assistant, Prompt: prompt(1, 9000), Patience: time.Second}
		return p.keeper.Update(p.now, e)[0].(Place).Endpoint.Instance.ID
	}
	first := place(1)
	p.keeper.Update(p.now, Ended{Ticket: Ticket{"host", 1}, Service: assistant, Result: Broken})
	require.NotEqual(t, first, place(2))
	p.keeper.Update(p.now, EndpointGone{ID: place(3)})
	require.Equal(t, first, place(4), "it is taken when there is no other")
}

func TestRepeatsStayWithinTheBudgetOfTheService(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 2, 64)
	granted := 0
	for i := range uint64(200) {
		first := Asked{Ticket: Ticket{"host", 2 * i}, Service: assistant, Patience: time.Second}
		p.keeper.Update(p.now, first)
		p.keeper.Update(p.now, Ended{Ticket: first.Ticket, Service: assistant, Result: Failed})
		again := Asked{Ticket: Ticket{"host", 2*i + 1}, Service: assistant, Patience: time.Second, Repeat: true}
		if _, ok := p.keeper.Update(p.now, again)[0].(Place); ok {
			granted++
			p.keeper.Update(p.now, Ended{Ticket: again.Ticket, Service: assistant, Result: Failed})
		}
	}
	require.LessOrEqual(t, float64(granted), 0.2*200+10)
	require.Positive(t, granted)
}

func TestPlacesOfALostHostAreFreeAgain(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 1, 2)
	for i := range uint64(2) {
		p.keeper.Update(p.now, Asked{Ticket: Ticket{"lost", i}, Service: assistant, Patience: time.Second})
	}
	require.Equal(t, 2, p.keeper.Running())
	p.ask(0, chat.Prompt{}, time.Second, time.Second)
	require.Equal(t, 1, p.keeper.Waiting())
	p.carry(p.keeper.Update(p.now, HostLost{Host: "lost"}))
	require.Equal(t, 1, p.keeper.Running())
	require.Zero(t, p.keeper.Waiting())
}

// The keeper is killed in the middle of a closing. Its deputy was told where each chat is cached, so nothing is read again.
func TestADeputyTakesOverWithoutReadingAgain(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 9, 64)
	deputy := newPlay(t, 9, 64)
	for i := range 600 {
		p.until(p.now.Add(time.Second / 60))
		p.ask(1, prompt(i%36, 10000), time.Second, 5*time.Second)
		for _, c := range p.keeper.Update(p.now, Ticked{}) {
			if tell, ok := c.(Tell); ok {
				deputy.keeper.Update(p.now, Learned(tell))
			}
		}
	}
	deputy.now = p.now
	for i := range 360 {
		deputy.until(deputy.now.Add(time.Second / 60))
		deputy.ask(1, prompt(i%36, 10000), time.Second, 5*time.Second)
	}
	require.Less(t, deputy.missing, 36*10500/20)
}

func TestANewsIsToldOnceInAWhile(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 9, 64)
	tells := 0
	for i := range 600 {
		p.until(p.now.Add(time.Second / 60))
		p.number++
		p.keeper.Update(p.now, Asked{Ticket: Ticket{"host", p.number}, Service: assistant, Prompt: prompt(i%36, 10000), Patience: time.Second})
		p.keeper.Update(p.now, Ended{Ticket: Ticket{"host", p.number}, Service: assistant, Result: Done})
		for _, c := range p.keeper.Update(p.now, Ticked{}) {
			tells += len(c.(Tell).Cached)
		}
	}
	require.LessOrEqual(t, tells, 3*36, "10 s: once, and once again")
}

// Two of three engines fail two requests in five while they call themselves well. What can't be repeated goes to the sound one
// as far as the bound lets it; what can be repeated stays with its parts.
func TestWhatCannotBeRepeatedAvoidsFailingEngines(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 9, 64)
	fails := func(id endpoint.ID) bool { return id >= engineID(3) && p.random.IntN(5) < 2 }
	failed, asked := map[bool]int{}, map[bool]int{}
	type run struct {
		at     time.Time
		ticket Ticket
		id     endpoint.ID
		once   bool
	}
	var runs []run
	for i := range 2400 {
		p.now = p.now.Add(time.Second / 40)
		for len(runs) > 0 && !runs[0].at.After(p.now) {
			r := runs[0]
			runs = runs[1:]
			result := Done
			if fails(r.id) {
				result = Failed
				failed[r.once]++
			}
			p.keeper.Update(p.now, Ended{Ticket: r.ticket, Service: assistant, Result: result})
		}
		e := Asked{Ticket: Ticket{"host", uint64(i)}, Service: assistant, Prompt: prompt(i%36, 4000), Patience: time.Second, Once: i%2 == 0}
		asked[e.Once]++
		placed := p.keeper.Update(p.now, e)[0].(Place)
		runs = append(runs, run{p.now.Add(2 * time.Second), e.Ticket, placed.Endpoint.Instance.ID, e.Once})
	}
	share := func(once bool) float64 { return float64(failed[once]) / float64(asked[once]) }
	require.Less(t, share(true), share(false)/3)
}

// A host that no longer waits for a place that was given to it knows only the ticket.
func TestAPlaceIsGivenBackByItsTicketAlone(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 2, 64)
	p.keeper.Update(p.now, Asked{Ticket: Ticket{"host", 1}, Service: assistant, Patience: time.Second})
	require.Equal(t, 1, p.keeper.Running())
	p.keeper.Update(p.now, Ended{Ticket: Ticket{"host", 1}})
	require.Zero(t, p.keeper.Running())
}

// The answer to a host was lost, so that it asks once more: it hears the same, also where the engine can fetch what it lacks.
func TestARepeatedAskHearsTheSameAnswer(t *testing.T) {
	t.Parallel()
	p := newPlay(t, 3, 64)
	first := Asked{Ticket: Ticket{"host", 1}, Service: assistant, Prompt: prompt(1, 4000), Patience: time.Second}
	holder := p.keeper.Update(p.now, first)[0].(Place).Endpoint.Instance.ID
	again := Asked{Ticket: Ticket{"host", 2}, Service: assistant, Prompt: prompt(1, 4000), Patience: time.Second, Tried: []endpoint.ID{holder}}
	place := p.keeper.Update(p.now, again)[0].(Place)
	require.Equal(t, holder, place.Fetch)
	require.Equal(t, []Command{place}, p.keeper.Update(p.now, again))
}

// All hosts lose power, and a keeper begins that nobody tells what the engines hold, while chats go on as before. It asks the
// engines, and next to nothing is read again; without their answers, it serves all the same.
func TestAKeeperThatBeginsAsksWhatEnginesHold(t *testing.T) {
	t.Parallel()
	for _, answers := range []bool{true, false} {
		p := newPlay(t, 9, 64)
		caches := map[endpoint.ID][]chat.PartID{}
		ask := func(i int) {
			p.ask(0, prompt(i%36, 4000), time.Second, time.Second)
			for _, e := range p.lists {
				listed := Listed{Service: assistant, Instance: e.Instance}
				if answers {
					listed.Parts = caches[e.Instance.ID]
				}
				p.carry(p.keeper.Update(p.now, listed))
			}
			p.lists = nil
		}
		for i := range 600 {
			p.until(p.now.Add(time.Second / 60))
			ask(i)
		}
		for id, st := range p.keeper.service(assistant).seats {
			for part := range st.parts {
				caches[id] = append(caches[id], part)
			}
		}
		p.restart(9, 64)
		p.missing, p.fetched, p.placed[0] = 0, 0, 0
		for i := range 36 {
			p.until(p.now.Add(time.Second / 60))
			ask(i)
		}
		p.until(p.now.Add(time.Second))
		require.Equal(t, 36, p.placed[0])
		const prompts = 36 * 4500
		if answers {
			require.Less(t, p.missing-p.fetched, prompts/20)
			continue
		}
		require.Greater(t, p.missing-p.fetched, prompts/2, "the play shows what is lost without the lists")
	}
}
