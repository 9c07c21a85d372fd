package interruption

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamknot.org/fleet/endpoint"
)

var start = time.Unix(1_000_000, 0)

func instance(id endpoint.ID, startedAt int64) endpoint.Instance {
	return endpoint.Instance{ID: id, StartedAt: startedAt}
}

func record(id endpoint.ID, startedAt int64, address string) endpoint.Record {
	return endpoint.Record{Instance: instance(id, startedAt), Address: address}
}

func run(at time.Time) Run {
	return Run{Fingerprint: 7, Endpoint: instance("a", 1), StartedAt: at.Add(-10 * time.Millisecond), EndedAt: at}
}

// newTracker returns a tracker that knows one endpoint.
func newTracker() *Tracker {
	t := NewTracker()
	t.Update(start, Registered{record("a", 1, "10.0.0.1:80")})
	return t
}

func TestEvidenceDecidesWhetherTheEndpointCrashed(t *testing.T) {
	t.Parallel()
	interrupted := Interrupted{Run: run(start), Broken: true}
	leaving := record("a", 1, "10.0.0.1:80")
	leaving.Leaving = true
	crashed := []Command{Crashed{run(start)}}
	for name, c := range map[string]struct {
		events []Event
		want   []Command
	}{
		"two refused probes":                         {[]Event{interrupted, Probed{instance("a", 1), true}, Probed{instance("a", 1), true}}, crashed},
		"one refused probe":                          {[]Event{interrupted, Probed{instance("a", 1), true}}, nil},
		"refused probes with one accepted":           {[]Event{interrupted, Probed{instance("a", 1), true}, Probed{instance("a", 1), false}, Probed{instance("a", 1), true}}, nil},
		"another incarnation":                        {[]Event{interrupted, Registered{record("a", 2, "10.0.0.1:80")}}, crashed},
		"another endpoint at the address":            {[]Event{interrupted, Registered{record("b", 1, "10.0.0.1:80")}}, crashed},
		"another endpoint elsewhere":                 {[]Event{interrupted, Registered{record("b", 1, "10.0.0.2:80")}}, nil},
		"removal":                                    {[]Event{interrupted, Removed{"a"}}, crashed},
		"removal of a leaving endpoint":              {[]Event{interrupted, Registered{leaving}, Removed{"a"}}, []Command{Dropped{run(start), reasonLeaving}}},
		"a report of another host":                   {[]Event{interrupted, ReportedLost{instance("a", 1)}}, crashed},
		"interruption after removal":                 {[]Event{Removed{"a"}, interrupted}, crashed},
		"interruption after another incarnation":     {[]Event{Registered{record("a", 2, "10.0.0.1:80")}, interrupted}, crashed},
		"interruption of a leaving endpoint":         {[]Event{Registered{leaving}, interrupted}, []Command{Dropped{run(start), reasonLeaving}}},
		"an answer on an older connection":           {[]Event{interrupted, Answered{instance("a", 1), start.Add(-time.Second)}, Removed{"a"}}, []Command{Dropped{run(start), reasonAnswered}}},
		"an answer on a newer connection":            {[]Event{interrupted, Answered{instance("a", 1), start.Add(time.Millisecond)}, Removed{"a"}}, crashed},
		"removal of an endpoint that still listened": {[]Event{interrupted, Probed{instance("a", 1), false}, Removed{"a"}}, []Command{Dropped{run(start), reasonListens}}},
		"another incarnation after it listened":      {[]Event{interrupted, Probed{instance("a", 1), false}, Registered{record("a", 2, "10.0.0.1:80")}}, crashed},
		"any answer after a time-out":                {[]Event{Interrupted{Run: run(start)}, Answered{instance("a", 1), start.Add(time.Millisecond)}, Removed{"a"}}, []Command{Dropped{run(start), reasonAnswered}}},
		"the same registration again":                {[]Event{interrupted, Registered{record("a", 1, "10.0.0.1:80")}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tracker := newTracker()
			var got []Command
			for i, e := range c.events {
				got = append(got, tracker.Update(start.Add(time.Duration(i)*2*buffered), e)...)
			}
			require.Equal(t, c.want, got)
		})
	}
}

func TestBrokenConnectionIsProbedUntilItsCauseIsKnown(t *testing.T) {
	t.Parallel()
	tracker := newTracker()
	tracker.Update(start, Interrupted{Run: run(start), Broken: true})
	for _, delay := range probeDelays {
		require.Empty(t, tracker.Update(start.Add(delay-time.Millisecond), Tick{}))
		require.Equal(t, []Command{Probe{instance("a", 1), "10.0.0.1:80"}}, tracker.Update(start.Add(delay), Tick{}))
	}
	require.Equal(t, []Command{Dropped{run(start), reasonExpired}}, tracker.Update(start.Add(window+time.Millisecond), Tick{}))
	require.Zero(t, tracker.Pending())
}

// An endpoint that listened right after an interruption and starts again much later did not crash then.
func TestLaterRestartIsNotAttributedToAnInterruptionThatTheEndpointSurvived(t *testing.T) {
	t.Parallel()
	tracker := newTracker()
	tracker.Update(start, Interrupted{Run: run(start), Broken: true})
	tracker.Update(start.Add(time.Second), Probed{instance("a", 1), false})
	late := start.Add(time.Second + listeningWindow + time.Millisecond)
	require.Equal(t, []Command{Dropped{run(start), reasonExpired}}, tracker.Update(late, Tick{}))
	require.Empty(t, tracker.Update(late, Registered{record("a", 2, "10.0.0.1:80")}))
}

func TestTimeOutIsNotProbed(t *testing.T) {
	t.Parallel()
	tracker := newTracker()
	tracker.Update(start, Interrupted{Run: run(start)})
	require.Empty(t, tracker.Update(start.Add(time.Second), Tick{}))
	require.Equal(t, []Command{Crashed{run(start)}}, tracker.Update(start.Add(4*time.Second), Removed{"a"}))
}

// Each run gets at most one conclusion, whatever the order of events, and what is remembered stays bounded.
func TestEachRunIsConcludedOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		now := start
		recorded, concluded := 0, 0
		instances := rapid.Custom(func(t *rapid.T) endpoint.Instance {
			return instance(endpoint.ID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")), rapid.Int64Range(1, 2).Draw(t, "startedAt"))
		})
		events := rapid.OneOf(
			rapid.Custom(func(t *rapid.T) Event {
				return Interrupted{Run: Run{Fingerprint: 7, Endpoint: instances.Draw(t, "endpoint"), EndedAt: now}, Broken: rapid.Bool().Draw(t, "broken")}
			}),
			rapid.Custom(func(t *rapid.T) Event { return Answered{instances.Draw(t, "endpoint"), now.Add(-time.Second)} }),
			rapid.Custom(func(t *rapid.T) Event {
				return Probed{instances.Draw(t, "endpoint"), rapid.Bool().Draw(t, "refused")}
			}),
			rapid.Custom(func(t *rapid.T) Event {
				i := instances.Draw(t, "endpoint")
				address := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address")
				return Registered{endpoint.Record{Instance: i, Address: address, Leaving: rapid.Bool().Draw(t, "leaving")}}
			}),
			rapid.Custom(func(t *rapid.T) Event { return Removed{instances.Draw(t, "endpoint").ID} }),
			rapid.Custom(func(t *rapid.T) Event { return ReportedLost{instances.Draw(t, "endpoint")} }),
			rapid.Just[Event](Tick{}),
		)
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "gap")))
			e := events.Draw(t, "event")
			if _, interrupted := e.(Interrupted); interrupted {
				recorded++
			}
			for _, c := range tracker.Update(now, e) {
				if _, probe := c.(Probe); !probe {
					concluded++
				}
			}
			require.Equal(t, recorded, concluded+tracker.Pending())
		}
		for _, c := range tracker.Update(now.Add(window+time.Second), Tick{}) {
			if _, probe := c.(Probe); !probe {
				concluded++
			}
		}
		require.Equal(t, recorded, concluded)
		require.Zero(t, tracker.Pending())
	})
}
