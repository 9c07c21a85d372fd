package attempt

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
)

var start = time.Unix(1000, 0)

func newAttempt(repeat site.RetryMode, endpoints int) *Attempt {
	return New(Config{Repeat: repeat, Endpoints: endpoints, Deadline: start.Add(time.Second), Worth: 50 * time.Millisecond})
}

func TestWhatFollows(t *testing.T) {
	t.Parallel()
	refused := Refused{Reason: pool.NoRoom, After: time.Second}
	for name, c := range map[string]struct {
		repeat     site.RetryMode
		endpoints  int
		sent       bool
		delivering bool
		event      Event
		want       Command
	}{
		"refused before it was sent":         {site.NonIdempotent, 1, false, false, refused, Answer{http.StatusServiceUnavailable, time.Second}},
		"turned away, one endpoint allowed":  {site.NonIdempotent, 1, true, false, TurnedAway{"a"}, Answer{http.StatusServiceUnavailable, turnedAwayReturn}},
		"turned away, two endpoints allowed": {site.NonIdempotent, 2, true, false, TurnedAway{"a"}, Ask{[]endpoint.ID{"a"}, true}},
		"broken, may run once":               {site.NonIdempotent, 2, true, false, Broken{"a"}, Answer{Status: http.StatusBadGateway}},
		"broken, may run again":              {site.Idempotent, 2, true, false, Broken{"a"}, Ask{[]endpoint.ID{"a"}, true}},
		"broken, no endpoint left":           {site.Idempotent, 1, true, false, Broken{"a"}, Answer{Status: http.StatusBadGateway}},
		"broken midway, may not go on":       {site.Idempotent, 2, true, true, Broken{"a"}, Abort{}},
		"broken midway, may go on":           {site.Resumable, 2, true, true, Broken{"a"}, Ask{[]endpoint.ID{"a"}, true}},
		"failed, may run once":               {site.NonIdempotent, 2, true, false, Failed{"a"}, Relay{}},
		"failed, may run again":              {site.Idempotent, 2, true, false, Failed{"a"}, Ask{[]endpoint.ID{"a"}, true}},
		"failed when it went on":             {site.Resumable, 1, true, true, Failed{"a"}, Abort{}},
		"expired before it was sent":         {site.NonIdempotent, 1, false, false, Expired{}, Answer{http.StatusServiceUnavailable, turnedAwayReturn}},
		"expired at the endpoint":            {site.NonIdempotent, 1, true, false, Expired{}, Answer{Status: http.StatusGatewayTimeout}},
		"expired midway":                     {site.Resumable, 2, true, true, Expired{}, Abort{}},
		"no longer allowed":                  {site.NonIdempotent, 1, false, false, NotAllowed{time.Second}, Answer{http.StatusServiceUnavailable, time.Second}},
		"an endpoint could not be reached":   {site.NonIdempotent, 1, false, false, Unreached{"a"}, Ask{[]endpoint.ID{"a"}, false}},
	} {
		a := newAttempt(c.repeat, c.endpoints)
		if c.sent {
			a.Sent("a")
		}
		if c.delivering {
			a.Delivering()
		}
		require.Equal(t, c.want, a.Update(start, c.event), name)
	}
}

func TestNotRunIsNotSaidWhenAnEarlierEndpointMayHaveRunIt(t *testing.T) {
	t.Parallel()
	a := newAttempt(site.Idempotent, 3)
	a.Sent("a")
	require.IsType(t, Ask{}, a.Update(start, Broken{"a"}))
	require.Equal(t, Answer{Status: http.StatusBadGateway}, a.Update(start, Refused{Reason: pool.NoBudget}))

	b := newAttempt(site.NonIdempotent, 2)
	b.Sent("a")
	require.IsType(t, Ask{}, b.Update(start, TurnedAway{"a"}))
	b.Sent("b")
	require.Equal(t, http.StatusServiceUnavailable, b.Update(start, TurnedAway{"b"}).(Answer).Status)
}

func TestNoOtherEndpointIsTriedWithoutTime(t *testing.T) {
	t.Parallel()
	a := newAttempt(site.Idempotent, 3)
	a.Sent("a")
	require.Equal(t, Answer{Status: http.StatusBadGateway}, a.Update(start.Add(960*time.Millisecond), Broken{"a"}))
}

// Whatever happens in whatever order, a request that may not be repeated is never sent again after an endpoint may have
// run it, no request goes to more endpoints than allowed, and 503 is said only when none can have run it.
func TestPromisesHoldForAnyCourse(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		repeat := rapid.SampledFrom([]site.RetryMode{site.NonIdempotent, site.Idempotent, site.Resumable}).Draw(r, "repeat")
		endpoints := rapid.IntRange(1, 3).Draw(r, "endpoints")
		a := newAttempt(repeat, endpoints)
		now, mayHaveRun, delivering := start, false, false
		for range 8 {
			sent := rapid.Bool().Draw(r, "sent")
			var event Event
			if sent {
				require.False(r, mayHaveRun && repeat == site.NonIdempotent, "sent again")
				a.Sent("x")
				require.LessOrEqual(r, a.Sends(), endpoints)
				event = rapid.SampledFrom([]Event{TurnedAway{"x"}, Failed{"x"}, Broken{"x"}, Expired{}}).Draw(r, "event")
				if _, stated := event.(TurnedAway); !stated {
					mayHaveRun = true
					if _, broke := event.(Broken); broke && rapid.Bool().Draw(r, "delivering") {
						a.Delivering()
						delivering = true
					}
				}
			} else {
				event = rapid.SampledFrom([]Event{Refused{}, Unreached{"x"}, Expired{}, NotAllowed{}}).Draw(r, "event")
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(r, "ms")) * time.Millisecond)
			switch c := a.Update(now, event).(type) {
			case Ask:
				require.Equal(r, a.Sends() > 0, c.Repeat)
				if a.Sends() >= endpoints {
					require.IsType(r, Unreached{}, event)
					return
				}
				continue
			case Answer:
				require.False(r, delivering)
				if c.Status == http.StatusServiceUnavailable {
					require.False(r, mayHaveRun, "said not to have run")
				}
			case Relay:
				require.False(r, delivering)
			case Abort:
				require.True(r, delivering)
			}
			return
		}
	})
}
