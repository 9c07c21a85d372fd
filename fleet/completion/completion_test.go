package completion

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1000, 0)
	cfg   = Config{Settle: 20 * time.Millisecond, RetryInterval: 100 * time.Millisecond, Timeout: time.Second}
)

func TestCheckConcludesFromWhatTheOtherConnectionsShow(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		events []Event
		want   Verdict
	}{
		"the others stay":                              {[]Event{Ended{2}, Observed{2, 0}}, Complete},
		"all others end, nothing listens":              {[]Event{Ended{2}, Observed{0, 2}, Refused{}}, BrokenOff},
		"another answer ends as well":                  {[]Event{Ended{2}, Observed{1, 1}, Connected{}}, Complete},
		"the end of one connection was lost":           {[]Event{Ended{2}, Observed{1, 1}, Refused{}}, BrokenOff},
		"this host closed the others":                  {[]Event{Ended{2}, Observed{0, 0}, Connected{}}, Complete},
		"no other, it listens":                         {[]Event{Ended{0}, Connected{}, Observed{1, 0}}, Complete},
		"no other, nothing listens":                    {[]Event{Ended{0}, Refused{}}, BrokenOff},
		"it listened for a moment only":                {[]Event{Ended{0}, Connected{}, Observed{0, 1}, Refused{}}, BrokenOff},
		"it can't be reached at first, and listens":    {[]Event{Ended{0}, Unreachable{}, Connected{}, Observed{1, 0}}, Complete},
		"it can't be reached at first, and is refused": {[]Event{Ended{0}, Unreachable{}, Refused{}}, BrokenOff},
	} {
		check := New(cfg)
		var last Command
		for _, e := range c.events {
			last = check.Update(start, e)
		}
		require.Equal(t, Conclude{c.want}, last, name)
	}
}

func TestEndpointThatCanNotBeReachedLeavesTheAnswerUnconfirmed(t *testing.T) {
	t.Parallel()
	check := New(cfg)
	require.Equal(t, Connect{}, check.Update(start, Ended{}))
	require.Equal(t, Connect{After: cfg.RetryInterval}, check.Update(start.Add(cfg.Timeout-time.Millisecond), Unreachable{}))
	require.Equal(t, Conclude{Unconfirmed}, check.Update(start.Add(cfg.Timeout), Unreachable{}))
}

// Whatever the order of events, an answer is complete only if the endpoint was seen to run after the answer's end, and the check ends.
func TestCheckEndsAndTakesNoAnswerForCompleteWithoutASignOfLife(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		check, now, alive := New(cfg), start, false
		command := check.Update(now, Ended{Others: rapid.IntRange(0, 3).Draw(r, "others")})
		for step := 0; ; step++ {
			require.Less(r, step, 100, "the check does not end")
			switch c := command.(type) {
			case Observe:
				now = now.Add(c.After)
				seen := Observed{Open: rapid.IntRange(0, 3).Draw(r, "open"), Ended: rapid.IntRange(0, 3).Draw(r, "ended")}
				alive = alive || seen.Open > 0
				command = check.Update(now, seen)
			case Connect:
				now = now.Add(c.After + 20*time.Millisecond)
				result := rapid.SampledFrom([]Event{Connected{}, Refused{}, Unreachable{}}).Draw(r, "result")
				_, connected := result.(Connected)
				alive = alive || connected
				command = check.Update(now, result)
			case Conclude:
				if c.Verdict == Complete {
					require.True(r, alive)
				}
				return
			}
		}
	})
}
