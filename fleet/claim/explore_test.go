package claim

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/host"
)

// A modelState is one state of an exhaustive search over message orders, with the real Claim and Elector code: two homes, their
// electors and the messages in flight. States are immutable; a step copies what it changes.
//
// A message is lost by never being delivered. An elector's reply arrives in the same step as the request or never:
// a home only counts replies and ignores those of an earlier attempt, so a later reply leads to no other state.
type modelState struct {
	homes    [2]*Claim
	electors []electorState
	// sentToKeeper is true, by home, while the endpoint's keeper has the home's request and may still run or decline it.
	sentToKeeper  [2]bool
	runs          int
	repliedNotRun bool
	restarts      int
	attempts      int
}

// electorState is one elector and the messages in flight to it.
type electorState struct {
	elector      *Elector
	electorSince time.Time
	inFlight     []message
}

type message struct {
	release bool
	home    int
	attempt Attempt
}

// searchSpace bounds the search, to the sizes that issue 4 asks for.
type searchSpace struct {
	electorLists [2][]host.ID
	maxRestarts  int
	maxAttempts  int
}

var (
	keyCreatedAt  = time.Unix(1_000_000, 0)
	electorsSince = keyCreatedAt.Add(-time.Hour)
	voteTime      = keyCreatedAt.Add(2 * time.Second)
	limits        = Limits{Lifetime: time.Minute, ClockSkew: time.Second}
	claimants     = [2]Claimant{{Host: "home-a", Incarnation: "1"}, {Host: "home-b", Incarnation: "1"}}
)

const testKey = Key("key")

// electorIDs returns the electors of both lists, each once.
func (space searchSpace) electorIDs() []host.ID {
	ids := slices.Concat(space.electorLists[0], space.electorLists[1])
	slices.Sort(ids)
	return slices.Compact(ids)
}

func newModelState(space searchSpace) *modelState {
	st := &modelState{}
	for i := range st.homes {
		st.homes[i] = NewClaim(claimants[i], limits, keyCreatedAt)
	}
	for range space.electorIDs() {
		st.electors = append(st.electors, electorState{elector: NewElector(limits), electorSince: electorsSince})
	}
	return st
}

func cloneClaim(c *Claim) *Claim {
	clone := *c
	clone.votes = maps.Clone(c.votes)
	return &clone
}

func cloneElector(e *Elector) *Elector {
	elector := NewElector(e.limits)
	for key, g := range e.grants {
		copied := *g
		copied.releasedAttempts = maps.Clone(g.releasedAttempts)
		elector.grants[key] = &copied
	}
	return elector
}

// encodeElectors returns each elector's state as a string. Electors with equal strings are interchangeable.
func (st *modelState) encodeElectors(space searchSpace, ids []host.ID) []string {
	encoded := make([]string, len(st.electors))
	for n, s := range st.electors {
		b := make([]byte, 0, 24)
		for i := range st.homes {
			member := byte('-')
			if slices.Contains(space.electorLists[i], ids[n]) {
				member = '+'
			}
			b = append(b, member)
			if vote, voted := st.homes[i].votes[ids[n]]; voted && st.homes[i].state == AwaitingVotes {
				b = append(b, 'v', byte(vote))
			}
		}
		if g := s.elector.grants[testKey]; g != nil {
			b = append(b, 'g', byte(g.attempt), byte(g.releasedAttempts[claimants[0]]), byte(g.releasedAttempts[claimants[1]]))
			if g.attempt > 0 {
				b = append(b, g.holder.Host[len(g.holder.Host)-1])
			}
		}
		if !s.electorSince.Equal(electorsSince) {
			b = append(b, 'r')
		}
		for _, m := range s.inFlight {
			kind := byte('a')
			if m.release {
				kind = 'r'
			}
			b = append(b, kind, byte(m.home), byte(m.attempt))
		}
		encoded[n] = string(b)
	}
	return encoded
}

// hash identifies a state by 128 bits. The order of the electors does not matter, which merges states that are alike.
func (st *modelState) hash(space searchSpace, ids []host.ID) [2]uint64 {
	encoded := st.encodeElectors(space, ids)
	slices.Sort(encoded)
	rest := []byte{
		byte(st.homes[0].state), byte(st.homes[0].attempt), byte(st.homes[1].state), byte(st.homes[1].attempt),
		byte(st.runs), byte(st.restarts), byte(st.attempts),
	}
	for _, flag := range []bool{st.repliedNotRun, st.sentToKeeper[0], st.sentToKeeper[1]} {
		if flag {
			rest = append(rest, '1')
		} else {
			rest = append(rest, '0')
		}
	}
	encodedState := strings.Join(encoded, "|") + string(rest)
	return [2]uint64{xxhash.Sum64String(encodedState), xxhash.Sum64String("2" + encodedState)}
}

// forEachSuccessor calls visit with every state that one step leads to.
func (st *modelState) forEachSuccessor(space searchSpace, ids []host.ID, visit func(*modelState)) {
	step := func(change func(*modelState)) {
		c := *st
		c.electors = slices.Clone(st.electors)
		change(&c)
		visit(&c)
	}
	for i := range st.homes {
		switch st.homes[i].state {
		case Idle:
			if st.attempts < space.maxAttempts {
				step(func(c *modelState) { c.attempts++; c.apply(ids, i, AttemptRequested{Electors: space.electorLists[i]}) })
			}
		case AwaitingVotes:
			step(func(c *modelState) { c.apply(ids, i, AttemptTimedOut{Attempt: c.homes[i].attempt}) })
		case Acquired:
			step(func(c *modelState) { c.apply(ids, i, StartRequested{Deadline: voteTime.Add(time.Second)}) })
			step(func(c *modelState) { c.apply(ids, i, RefusalRequested{}) })
		case Started, Voided:
		}
	}
	for i, sent := range st.sentToKeeper {
		if sent {
			step(func(c *modelState) { c.sentToKeeper[i] = false; c.runs++ })
			step(func(c *modelState) { c.sentToKeeper[i] = false; c.apply(ids, i, KeeperDeclined{}) })
		}
	}
	encoded := st.encodeElectors(space, ids)
	for n := range st.electors {
		if slices.Index(encoded, encoded[n]) < n {
			continue
		}
		for m := range st.electors[n].inFlight {
			step(func(c *modelState) { c.deliver(space, ids, n, m, true) })
			if !st.electors[n].inFlight[m].release {
				step(func(c *modelState) { c.deliver(space, ids, n, m, false) })
			}
		}
		if st.restarts < space.maxRestarts {
			step(func(c *modelState) {
				c.restarts++
				c.electors[n].elector = NewElector(limits)
				c.electors[n].electorSince = keyCreatedAt
			})
		}
	}
}

func (st *modelState) apply(ids []host.ID, home int, event Event) {
	st.homes[home] = cloneClaim(st.homes[home])
	for _, command := range st.homes[home].Update(voteTime, event) {
		switch c := command.(type) {
		case RequestVotes:
			st.send(ids, c.Electors, message{home: home, attempt: c.Attempt})
		case SendRelease:
			st.send(ids, c.Electors, message{home: home, attempt: c.Attempt, release: true})
		case Start:
			st.sentToKeeper[home] = true
		case RefuseNotRun:
			st.repliedNotRun = true
		}
	}
}

func (st *modelState) send(ids, to []host.ID, m message) {
	for n := range st.electors {
		if slices.Contains(to, ids[n]) {
			st.electors[n].inFlight = append(slices.Clone(st.electors[n].inFlight), m)
			slices.SortFunc(st.electors[n].inFlight, func(a, b message) int {
				return cmp.Or(cmp.Compare(a.home, b.home), cmp.Compare(a.attempt, b.attempt))
			})
		}
	}
}

// deliver delivers one message to elector n; replyArrives says whether the elector's vote reaches the home.
func (st *modelState) deliver(space searchSpace, ids []host.ID, n, index int, replyArrives bool) {
	s := &st.electors[n]
	m := s.inFlight[index]
	s.inFlight = slices.Delete(slices.Clone(s.inFlight), index, index+1)
	s.elector = cloneElector(s.elector)
	if m.release {
		s.elector.Release(testKey, claimants[m.home], m.attempt)
		return
	}
	vote := s.elector.Vote(voteTime, VoteRequest{
		Key: testKey, KeyCreatedAt: keyCreatedAt, Claimant: claimants[m.home], Attempt: m.attempt,
		Electors: space.electorLists[m.home], LocalElectors: space.electorLists[m.home], ElectorSince: s.electorSince,
	})
	if replyArrives {
		st.apply(ids, m.home, VoteReceived{From: ids[n], Vote: vote})
	}
}

// explore visits every reachable state. It returns how many there are, the highest number of runs of the request in any of
// them, and whether in any of them the request was refused as not run but also ran.
func explore(space searchSpace) (states, maxRuns int, falseNotRun bool) {
	ids := space.electorIDs()
	stack := []*modelState{newModelState(space)}
	seen := map[[2]uint64]bool{}
	for len(stack) > 0 {
		st := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		maxRuns = max(maxRuns, st.runs)
		falseNotRun = falseNotRun || (st.repliedNotRun && st.runs > 0)
		st.forEachSuccessor(space, ids, func(state *modelState) {
			if hash := state.hash(space, ids); !seen[hash] {
				seen[hash] = true
				stack = append(stack, state)
			}
		})
	}
	return len(seen), maxRuns, falseNotRun
}

func electorLists(a, b string) [2][]host.ID {
	var lists [2][]host.ID
	for i, ids := range []string{a, b} {
		for _, id := range ids {
			lists[i] = append(lists[i], host.ID(id))
		}
	}
	return lists
}

func TestNoInterleavingRunsAKeyTwice(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		search   searchSpace
		wantRuns int
	}{
		{"same list", searchSpace{electorLists: electorLists("12345", "12345"), maxAttempts: 2}, 1},
		{"same list, one elector restarts", searchSpace{electorLists: electorLists("12345", "12345"), maxAttempts: 2, maxRestarts: 1}, 1},
		{"lists differ by one", searchSpace{electorLists: electorLists("12345", "12346"), maxAttempts: 2}, 1},
		{"lists differ by two", searchSpace{electorLists: electorLists("12345", "12367"), maxAttempts: 2}, 1},
		{"three electors, all must grant", searchSpace{electorLists: electorLists("123", "124"), maxAttempts: 2, maxRestarts: 1}, 1},
		{"lists differ by three, beyond the guarantee", searchSpace{electorLists: electorLists("12345", "12678"), maxAttempts: 2}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			states, runs, falseNotRun := explore(tt.search)
			t.Logf("%d states", states)
			require.Equal(t, tt.wantRuns, runs)
			if tt.wantRuns == 1 {
				require.False(t, falseNotRun, "the request was refused as not run but also ran")
			}
		})
	}
}
