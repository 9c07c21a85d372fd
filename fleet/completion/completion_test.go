package completion

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1000, 0)
	cfg   = Config{
		Settle: 20 * time.Millisecond, RestartTime: 100 * time.Millisecond, AnswerTime: 200 * time.Millisecond, RetryInterval: 100 * time.Millisecond,
		Timeout: 500 * time.Millisecond,
	}
)

// step is an event some time after the answer's end, and the command that must follow.
type step struct {
	after time.Duration
	event Event
	want  Command
}

func TestCheckConcludesFromWhatTheConnectionsShow(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	settle, again := Observe{After: cfg.Settle}, Connect{After: cfg.RetryInterval}
	for name, steps := range map[string][]step{
		"it listens, the others stay": {{ms, Connected{}, settle}, {21 * ms, Observed{true, 2, 0, GuardAbsent}, Conclude{Complete}}},
		"it listens, there are no others": {
			{ms, Connected{}, settle}, {21 * ms, Observed{true, 0, 0, GuardAbsent}, Identify{}}, {22 * ms, Identified{}, Conclude{Complete}},
		},
		"another process listens, there are no others": {
			{ms, Connected{}, settle}, {21 * ms, Observed{true, 0, 0, GuardAbsent}, Identify{}}, {22 * ms, Identified{ListenerOther}, Conclude{BrokenOff}},
		},
		"it listens, another answer ended": {
			{ms, Connected{}, settle}, {21 * ms, Observed{true, 0, 1, GuardAbsent}, Identify{}}, {22 * ms, Identified{}, Conclude{Unconfirmed}},
		},
		"the same, by the registered process": {
			{ms, Connected{}, settle}, {21 * ms, Observed{true, 0, 1, GuardAbsent}, Identify{}}, {22 * ms, Identified{ListenerRegistered}, Conclude{Complete}},
		},
		"the same, by another process": {
			{ms, Connected{}, settle}, {21 * ms, Observed{true, 0, 1, GuardAbsent}, Identify{}}, {22 * ms, Identified{ListenerOther}, Conclude{BrokenOff}},
		},
		"it listens, another answer ended, the guard answers": {{ms, Connected{}, settle}, {21 * ms, Observed{true, 0, 1, GuardAlive}, Conclude{Complete}}},
		"the same, the guard is silent": {
			{ms, Connected{}, settle}, {21 * ms, Observed{true, 0, 1, GuardOpen}, settle}, {210 * ms, Observed{true, 0, 1, GuardOpen}, Identify{}},
			{211 * ms, Identified{}, Conclude{Unconfirmed}},
		},
		"the same, the registered process listens": {
			{ms, Connected{}, settle}, {210 * ms, Observed{true, 0, 1, GuardOpen}, Identify{}}, {211 * ms, Identified{ListenerRegistered}, Conclude{Complete}},
		},
		"it listens, the guard is silent": {
			{ms, Connected{}, settle}, {21 * ms, Observed{true, 0, 0, GuardOpen}, settle}, {210 * ms, Observed{true, 0, 0, GuardOpen}, Identify{}},
			{211 * ms, Identified{}, Conclude{Complete}},
		},
		"the same, another process listens": {
			{ms, Connected{}, settle}, {210 * ms, Observed{true, 2, 0, GuardOpen}, Identify{}}, {211 * ms, Identified{ListenerOther}, Conclude{BrokenOff}},
		},
		"it listens, the guard was silent before": {
			{ms, Connected{}, settle}, {21 * ms, Observed{true, 1, 1, GuardSilent}, Identify{}}, {22 * ms, Identified{}, Conclude{Unconfirmed}},
		},
		"it listens, the guard answers late": {
			{ms, Connected{}, settle}, {21 * ms, Observed{true, 0, 0, GuardOpen}, settle}, {41 * ms, Observed{true, 0, 0, GuardAlive}, Conclude{Complete}},
		},
		"it listens, the guard ended":        {{ms, Connected{}, settle}, {21 * ms, Observed{true, 0, 0, GuardEnded}, Conclude{BrokenOff}}},
		"the same, others stay":              {{ms, Connected{}, settle}, {21 * ms, Observed{true, 2, 0, GuardEnded}, Conclude{BrokenOff}}},
		"nothing listens, the guard answers": {{ms, Refused{}, settle}, {21 * ms, Observed{false, 0, 1, GuardAlive}, Conclude{Complete}}},
		"nothing listens, the guard is silent": {
			{ms, Refused{}, settle}, {21 * ms, Observed{false, 2, 0, GuardOpen}, settle}, {210 * ms, Observed{false, 2, 0, GuardOpen}, Identify{}},
			{211 * ms, Identified{}, again}, {311 * ms, Refused{}, settle}, {510 * ms, Observed{false, 2, 0, GuardOpen}, Conclude{Unconfirmed}},
		},
		"nothing listens, the others are silent": {
			{ms, Refused{}, settle}, {21 * ms, Observed{false, 2, 0, GuardAbsent}, again}, {122 * ms, Refused{}, settle},
			{510 * ms, Observed{false, 2, 0, GuardAbsent}, Conclude{Unconfirmed}},
		},
		"nothing listens, the guard ends late": {
			{ms, Refused{}, settle}, {21 * ms, Observed{false, 1, 0, GuardOpen}, settle}, {142 * ms, Observed{false, 1, 0, GuardEnded}, Conclude{BrokenOff}},
		},
		"nothing listens, the others end late": {
			{ms, Refused{}, settle}, {21 * ms, Observed{false, 1, 0, GuardAbsent}, again}, {122 * ms, Refused{}, settle},
			{142 * ms, Observed{false, 0, 1, GuardAbsent}, Conclude{BrokenOff}},
		},
		"it listens, one idle one ended": {{ms, Connected{}, settle}, {21 * ms, Observed{true, 1, 1, GuardAbsent}, Conclude{Complete}}},
		"it listens, all idle ones ended": {
			{ms, Connected{}, settle}, {21 * ms, Observed{true, 0, 2, GuardAbsent}, Identify{}}, {22 * ms, Identified{}, Conclude{Unconfirmed}},
		},
		"nothing listens":                     {{ms, Refused{}, settle}, {21 * ms, Observed{}, Conclude{BrokenOff}}},
		"it resets new ones, the others stay": {{ms, Connected{}, settle}, {21 * ms, Observed{false, 3, 0, GuardAbsent}, Conclude{Complete}}},
		"it listened for a moment only": {
			{ms, Connected{}, settle}, {21 * ms, Observed{false, 0, 1, GuardAbsent}, again}, {122 * ms, Refused{}, settle},
			{142 * ms, Observed{false, 0, 1, GuardAbsent}, Conclude{BrokenOff}},
		},
		"it takes no new ones, the guard answers": {{90 * ms, Unreachable{}, settle}, {110 * ms, Observed{false, 1, 0, GuardAlive}, Conclude{Complete}}},
		"it takes no new ones, the others may be silent": {
			{90 * ms, Unreachable{}, settle}, {110 * ms, Observed{false, 1, 0, GuardAbsent}, again}, {480 * ms, Unreachable{}, settle},
			{500 * ms, Observed{false, 1, 0, GuardAbsent}, Conclude{Unconfirmed}},
		},
		"it listens again after the others ended": {
			{90 * ms, Unreachable{}, settle}, {110 * ms, Observed{false, 0, 3, GuardAbsent}, again}, {220 * ms, Connected{}, settle},
			{240 * ms, Observed{true, 0, 3, GuardAbsent}, Conclude{Unconfirmed}},
		},
		"it listens late, there are no others": {
			{90 * ms, Unreachable{}, settle}, {110 * ms, Observed{}, again}, {220 * ms, Connected{}, settle},
			{240 * ms, Observed{NewOpen: true}, Conclude{Unconfirmed}},
		},
		"it takes no new ones for long": {
			{90 * ms, Unreachable{}, settle}, {110 * ms, Observed{}, again}, {480 * ms, Unreachable{}, settle}, {500 * ms, Observed{}, Conclude{Unconfirmed}},
		},
	} {
		check := New(cfg)
		require.Equal(t, Connect{}, check.Update(start, Ended{}), name)
		for i, s := range steps {
			require.Equal(t, s.want, check.Update(start.Add(s.after), s.event), "%s, step %d", name, i)
		}
	}
}

// endpointState is an endpoint as it may be in fact. Its process ends at the answer's end, or goes on; one that ended may start anew.
type endpointState struct {
	ended     bool
	restartAt time.Duration
	// reachableAt is from when new connections come through.
	reachableAt time.Duration
	// others is the number of earlier connections, and guarded is true if there is a guard beside them. silent is true if nothing arrives over any of
	// them, their ends included.
	others          int
	guarded, silent bool
}

// Whatever happens to the network, and however soon another process listens, no answer of a process that ended is complete if another connection
// could show it.
func TestAnswerOfAProcessThatEndedIsNeverComplete(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		ms := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(r, name)) * time.Millisecond
		}
		e := endpointState{
			ended: rapid.Bool().Draw(r, "ended"), restartAt: ms("restart", 1000), reachableAt: ms("reachable", 300),
			others: rapid.IntRange(0, 3).Draw(r, "others"), guarded: rapid.Bool().Draw(r, "guarded"), silent: rapid.Bool().Draw(r, "silent"),
		}
		if e.others == 0 && !e.guarded || e.silent {
			e.restartAt += cfg.RestartTime + time.Millisecond
		}
		require.False(r, e.verdict(r) == Complete && e.ended, "%+v", e)
	})
}

// guard returns the state of the guard after its answer to the question had time to arrive.
func (e endpointState) guard() Guard {
	switch {
	case e.silent:
		return GuardOpen
	case e.ended:
		return GuardEnded
	}
	return GuardAlive
}

// verdict runs a check against the endpoint, whose other connections end as soon as its process does.
func (e endpointState) verdict(r *rapid.T) Verdict {
	check, now, newOpen := New(cfg), time.Duration(0), false
	command := check.Update(start, Ended{})
	for range 100 {
		switch c := command.(type) {
		case Connect:
			now += c.After + time.Millisecond
			var event Event = Connected{}
			switch {
			case now < e.reachableAt:
				event = Unreachable{}
				now += 80 * time.Millisecond
			case e.ended && now < e.restartAt:
				event = Refused{}
			}
			newOpen = event == Connected{}
			command = check.Update(start.Add(now), event)
		case Observe:
			now += c.After
			seen := Observed{NewOpen: newOpen, Open: e.others}
			if e.ended && !e.silent {
				seen = Observed{NewOpen: newOpen, Ended: e.others}
			}
			if e.guarded {
				seen.Guard = e.guard()
			}
			command = check.Update(start.Add(now), seen)
		case Identify:
			command = check.Update(start.Add(now), Identified{})
		case Conclude:
			return c.Verdict
		}
	}
	r.Fatal("the check does not end")
	return ""
}

// Guards against LOST: answers of sound endpoints were lost for as long as connections that were open before had gone silent.
func TestAnswerOfAProcessThatGoesOnIsCompleteThoughEarlierConnectionsAreSilent(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		e := endpointState{others: rapid.IntRange(0, 3).Draw(r, "others"), guarded: rapid.Bool().Draw(r, "guarded"), silent: rapid.Bool().Draw(r, "silent")}
		require.Equal(r, Complete, e.verdict(r), "%+v", e)
	})
}
