package fingerprint

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
)

// maxRefusal is the longest time for which sound requests may be refused for two parts that occur together, all trials of which but the last
// failed by accident: the pauses after these, and the delay of requests with several suspects for each.
const maxRefusal = firstTrialPause*(1+trialPauseFactor+trialPauseFactor*trialPauseFactor) + (maxPartTrials+1)*blockPartAfter*sharedTrialDelay

// callers sends requests to engines, one each step, and records what becomes of them in a registry.
type callers struct {
	r   *Registry
	now time.Time
	n   int64
	// refusedSince is when the sound requests were first refused of those that were refused without a served one in between.
	refusedSince time.Time
	longest      time.Duration
	// accident reports whether the next sound run ends its engine; nil if none does. accidents is how many trials of sound requests in a row do
	// so, and failed how many did since the last served request.
	accident          func() bool
	accidents, failed int
	// unlucky is the most trials in a row of a part that is not bad that failed.
	unlucky      int
	failedByPart map[Fingerprint]int
	// crashes holds when each bad part crashed engines.
	crashes map[Fingerprint][]time.Time
}

func newCallers() *callers {
	return &callers{r: NewRegistry(0), now: start, crashes: make(map[Fingerprint][]time.Time), failedByPart: make(map[Fingerprint]int)}
}

// send sends a request after a pause. It ends its engine if it has one of the bad parts, or by accident.
func (c *callers) send(pause time.Duration, accident bool, bad []Fingerprint, fps ...Fingerprint) {
	c.now = c.now.Add(pause)
	c.n++
	causes := slices.DeleteFunc(slices.Clone(fps), func(fp Fingerprint) bool { return !slices.Contains(bad, fp) })
	d := c.r.Decide(c.now, fps)
	if c.accidents > 0 && len(d.Trials) > 0 && len(causes) == 0 {
		accident = c.failed < c.accidents
		c.failed++
	}
	switch {
	case d.BlockedFor > 0 && len(causes) == 0:
		if c.refusedSince.IsZero() {
			c.refusedSince = c.now
		}
		c.longest = max(c.longest, c.now.Sub(c.refusedSince))
		return
	case d.BlockedFor > 0:
		return
	case len(causes) == 0 && !accident:
		for _, fp := range fps {
			c.r.RecordCompletion(c.now, fp)
			delete(c.failedByPart, fp)
		}
		c.refusedSince, c.failed = time.Time{}, 0
		return
	}
	for _, fp := range d.Trials {
		if !slices.Contains(bad, fp) {
			c.failedByPart[fp]++
			c.unlucky = max(c.unlucky, c.failedByPart[fp])
		}
	}
	for _, fp := range fps {
		c.r.RecordCrash(c.now, fp, Crash{Engine: "e", Incarnation: c.n, Alone: fp.IsPart() && slices.Contains(d.Trials, fp)})
	}
	for _, fp := range causes {
		c.crashes[fp] = append(c.crashes[fp], c.now)
	}
}

// late returns how many crashes of a bad part came later than stableTime after the fifth.
func (c *callers) late(part Fingerprint) int {
	const stableTime = 3 * time.Second
	times, n := c.crashes[part], 0
	for i := blockPartAfter; i < len(times); i++ {
		if times[i].Sub(times[blockPartAfter-1]) > stableTime {
			n++
		}
	}
	return n
}

// crashWithCommonPart sends the requests that block commonPart and badPart.
func (c *callers) crashWithCommonPart() {
	for n := range Fingerprint(blockPartAfter) {
		c.send(time.Second, false, []Fingerprint{badPart}, request+n, commonPart, badPart)
	}
}

// Engines end for other reasons as well, also while they run a trial.
func TestOneFailedTrialDoesNotRefuseARoute(t *testing.T) {
	t.Parallel()
	secondBadPart := OfPart(0xbad2)
	for name, failTrial := range map[string]func(c *callers){
		"accident": func(c *callers) { c.send(100*time.Millisecond, true, nil, 50, commonPart) },
		"second bad part": func(c *callers) {
			c.send(100*time.Millisecond, false, []Fingerprint{secondBadPart}, 50, commonPart, secondBadPart)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCallers()
			c.crashWithCommonPart()
			failTrial(c)
			for n := range Fingerprint(120) {
				c.send(time.Second, false, nil, 100+n, commonPart)
			}
			require.LessOrEqual(t, c.longest, maxRefusal)
			require.NotZero(t, c.r.Decide(c.now, []Fingerprint{1000, badPart}).Trials, "the part that crashed engines is suspect by itself")
		})
	}
}

// Each request has a part of its own that ran beside the cause, so that none is free of other suspects.
func TestRequestsWhosePartsAllHaveCrashesAreServedAgain(t *testing.T) {
	t.Parallel()
	c := newCallers()
	for n := range Fingerprint(blockPartAfter) {
		c.send(time.Second, false, []Fingerprint{badPart}, request+n, commonPart, badPart)
		for other := range chat.PartID(8) {
			c.r.RecordCrash(c.now, OfPart(other+1), Crash{Engine: "e", Incarnation: c.n})
		}
	}
	for n := range Fingerprint(40) {
		c.send(250*time.Millisecond, false, nil, 100+n, commonPart, OfPart(chat.PartID(n%8)+1))
	}
	require.LessOrEqual(t, c.longest, maxRefusal)
	require.Zero(t, c.refusedSince, "the last request is served")
}

// What refutes a wrong block must be allowed to happen: whatever is blocked, sound requests are served again within maxRefusal, unless
// all trials of a part failed by chance. A bad part crashes no more than the allowed number of engines meanwhile.
func TestNoBlockRefusesSoundRequestsForLong(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := newCallers()
		c.accidents = rapid.IntRange(1, maxPartTrials).Draw(t, "failed trials")
		mix := badMix{
			badParts: rapid.IntRange(1, 3).Draw(t, "bad parts"), every: rapid.IntRange(2, 10).Draw(t, "one bad request in"),
			burst: rapid.IntRange(blockPartAfter, 4*blockPartAfter).Draw(t, "bad requests in a burst"),
			draw:  func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") },
		}
		mix.send(c)
		if c.unlucky < maxPartTrials {
			require.LessOrEqual(t, c.longest, maxRefusal)
		}
		c.requireFewLateCrashes(t, mix)
	})
}

// Two and three bad parts with a common first part, in every second to every tenth request, beside engines that end in one of fifteen sound
// runs. Ten runs each. If the first trial of a part falls to a request with another bad one, it fails all three by chance once in 225 times;
// parts are blocked two or three times in a run.
func TestSeveralBadPartsBesideAccidents(t *testing.T) {
	t.Parallel()
	const runs, soundRunsPerAccident, allowedUnlucky = 10, 15, 3
	unlucky := 0
	for badParts := 1; badParts <= 3; badParts++ {
		for _, every := range []int{2, 4, 10} {
			longest, late := time.Duration(0), 0
			for seed := range uint64(runs) {
				random := rand.New(rand.NewPCG(seed, uint64(badParts*100+every)))
				c := newCallers()
				c.accident = func() bool { return random.IntN(soundRunsPerAccident) == 0 }
				mix := badMix{badParts: badParts, every: every, burst: 4 * blockPartAfter, draw: random.IntN}
				mix.send(c)
				longest = max(longest, c.longest)
				if c.unlucky >= maxPartTrials {
					unlucky++
					continue
				}
				require.LessOrEqual(t, c.longest, maxRefusal, "%d bad parts in one of %d requests, seed %d", badParts, every, seed)
				late = max(late, c.requireFewLateCrashes(t, mix))
			}
			t.Logf("%d bad parts in one of %d requests: sound requests refused for %s at most, %d late crashes of a part", badParts, every, longest, late)
		}
	}
	t.Logf("in %d runs all trials of a sound part failed by chance", unlucky)
	require.LessOrEqual(t, unlucky, allowedUnlucky)
}

// badMix are sound requests with a common part and one of six others, among which some have a bad part as well.
type badMix struct {
	// every is the number of requests of which one is bad; burst how many bad ones come in a row in each hundred.
	badParts, every, burst int
	// draw returns a number below n.
	draw func(n int) int
}

func (m badMix) bad() []Fingerprint {
	var parts []Fingerprint
	for i := range m.badParts {
		parts = append(parts, OfPart(chat.PartID(0xbad+i)))
	}
	return parts
}

func (m badMix) send(c *callers) {
	const requests, pause = 400, 300 * time.Millisecond
	bad := m.bad()
	for n := range requests {
		fps := []Fingerprint{Fingerprint(n + 1), commonPart, OfPart(chat.PartID(1 + m.draw(6)))}
		if n%100 < m.burst || n%m.every == 0 {
			fps = append(fps, bad[m.draw(len(bad))])
		}
		c.send(pause, c.accident != nil && c.accident(), bad, fps...)
	}
}

// requireFewLateCrashes checks that each bad part crashed few engines after it was blocked, and returns how many at most.
func (c *callers) requireFewLateCrashes(t require.TestingT, m badMix) int {
	const allowedCrashes = 3
	most := 0
	for _, part := range m.bad() {
		most = max(most, c.late(part))
	}
	require.LessOrEqual(t, most, allowedCrashes)
	return most
}

// The failed trials of a bad part have longer and longer pauses, up to the time for which a crash is remembered.
func TestTrialsOfABadPartAreBounded(t *testing.T) {
	t.Parallel()
	c := newCallers()
	for n := range Fingerprint(6000) {
		c.send(100*time.Millisecond, false, []Fingerprint{badPart}, request+n, badPart)
	}
	require.Len(t, c.crashes[badPart], blockPartAfter+1+maxPartTrials)
	require.LessOrEqual(t, c.late(badPart), maxPartTrials)
	d := c.r.Decide(c.now, []Fingerprint{99, badPart})
	require.Equal(t, badPart, d.Blocked)
	require.Positive(t, d.BlockedFor)
	require.LessOrEqual(t, d.BlockedFor, crashLifetime)
}

// A request may be blocked since it ran by chance on endpoints that failed.
func TestBlockedRequestGetsATrial(t *testing.T) {
	t.Parallel()
	c := newCallers()
	for range blockAfterShared {
		c.send(time.Second, true, nil, request)
	}
	d := c.r.Decide(c.now, []Fingerprint{request})
	require.Equal(t, Decision{Blocked: request, BlockedFor: requestTrialPause}, d)
	c.now = c.now.Add(d.BlockedFor)
	require.Equal(t, trialOf(request), c.r.Decide(c.now, []Fingerprint{request}))
	require.Equal(t, Evidence{Crashes: blockAfterShared}, c.r.Evidence(c.now, request))
	c.send(0, true, nil, request)
	d = c.r.Decide(c.now, []Fingerprint{request})
	require.Equal(t, request, d.Blocked)
	require.Greater(t, d.BlockedFor, time.Minute, "its one trial failed")
	require.Equal(t, Evidence{Crashes: blockAfterShared + 1, FailedTrials: 1, NextTrial: d.BlockedFor}, c.r.Evidence(c.now, request))
	c.r.RecordCompletion(c.now.Add(time.Second), request)
	require.Zero(t, c.r.Decide(c.now.Add(time.Second), []Fingerprint{request}))
}

// Two requests ran on the same engines, and only one of them is taken for the cause. It may be the wrong one.
func TestCopiesOfARequestWhoseCrashesAreAttributedToAnotherRunOneAfterAnother(t *testing.T) {
	t.Parallel()
	r := NewRegistry(0)
	now := start
	for n := range int64(blockAfterShared + 1) {
		now = start.Add(time.Duration(n) * time.Second)
		r.RecordCrash(now, 7, Crash{Engine: engine.ID("e"), Incarnation: n})
		if n > 0 {
			r.RecordCrash(now, 8, Crash{Engine: engine.ID("e"), Incarnation: n})
		}
	}
	require.Equal(t, Fingerprint(7), r.Decide(now, []Fingerprint{7}).Blocked)
	require.Equal(t, Decision{Serial: 8}, r.Decide(now, []Fingerprint{8}))
	r.RecordCompletion(now.Add(time.Second), 8)
	require.Zero(t, r.Decide(now.Add(time.Second), []Fingerprint{8}))
}
