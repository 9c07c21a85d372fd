package catalogue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newCatalogue() *Catalogue {
	return New(Config{Lease: 4 * time.Second, Return: 2 * time.Second, Outage: 2500 * time.Millisecond})
}

func record(id string, leaving bool) endpoint.Record {
	return endpoint.Record{Instance: endpoint.Instance{ID: endpoint.ID(id)}, Leaving: leaving}
}

func TestALowerVersionIsNeverTaken(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	require.False(t, c.Valid(at(0)))
	c.Apply(at(0), Read{Sent: at(0), At: 5, Set: &site.Set{Version: 7}})
	c.Apply(at(1), Read{Sent: at(1), At: 6, Set: &site.Set{Version: 6}})
	require.Equal(t, site.Version(7), c.Set().Version)
}

func TestTheLeaseCountsFromWhenTheReadWasSent(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(3*time.Second), Read{Sent: at(0), At: 1, Set: &site.Set{Version: 1}})
	require.True(t, c.Valid(at(3999*time.Millisecond)))
	require.False(t, c.Valid(at(4*time.Second)))
	c.Apply(at(5*time.Second), Read{Sent: at(4500 * time.Millisecond), At: 1})
	require.True(t, c.Valid(at(5*time.Second)))
	c.Apply(at(6*time.Second), Read{Sent: at(2 * time.Second)})
	require.Equal(t, 1500*time.Millisecond, c.Age(at(6*time.Second)), "an older confirmation takes nothing back")
}

func TestARegistrationThatRanOutInAnOutageIsKeptForAMoment(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Read{Sent: at(0), At: 1, Whole: true, Endpoints: []endpoint.Record{record("back", false), record("lost", false), record("leaving", true)}})
	returned := 6 * time.Second
	change := c.Apply(at(returned), Read{Sent: at(returned), At: 2, Gone: []endpoint.ID{"back", "lost", "leaving"}})
	require.Equal(t, []endpoint.ID{"leaving"}, change.Gone)
	c.Apply(at(returned+time.Second), Read{Sent: at(returned + time.Second), At: 3, Endpoints: []endpoint.Record{record("back", false)}})
	require.Empty(t, c.Tick(at(returned+1900*time.Millisecond)).Gone)
	require.Equal(t, []endpoint.ID{"lost"}, c.Tick(at(returned+2*time.Second)).Gone)
	require.Len(t, c.endpoints, 1)
}

func TestWithoutAnOutageARemovalCountsAtOnce(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Read{Sent: at(0), At: 1, Whole: true, Endpoints: []endpoint.Record{record("a", false), record("b", false)}})
	change := c.Apply(at(time.Second), Read{Sent: at(time.Second), At: 2, Whole: true, Endpoints: []endpoint.Record{record("b", false)}})
	require.Equal(t, []endpoint.ID{"a"}, change.Gone)
}

func newSource(self host.ID) *Source {
	return NewSource(SourceConfig{
		Self: self, Readers: 2, Direct: 3400 * time.Millisecond, First: time.Second,
		Retry: 2 * time.Second, Pause: 500 * time.Millisecond, Soon: 30 * time.Millisecond, Again: 100 * time.Millisecond,
	})
}

var ranked = []host.ID{"r1", "r2", "b1"}

func TestSourceAsksReadersInTheirOrder(t *testing.T) {
	t.Parallel()
	s := newSource("me")
	require.Equal(t, Step{Reader: "r1"}, s.Next(at(0), ranked, true, time.Second))
	s.Failed(at(0), Step{Reader: "r1"})
	require.Equal(t, Step{Reader: "r2"}, s.Next(at(0), ranked, true, time.Second))
	s.Failed(at(0), Step{Reader: "r2"})
	require.Equal(t, Step{Reader: "b1"}, s.Next(at(0), ranked, true, time.Second))
	require.Equal(t, Step{Reader: "r1"}, s.Next(at(500*time.Millisecond), ranked, true, time.Second))
}

// The platform drops its history and says nothing for a second: 85 hosts must not all read it anew.
func TestABackupReadsAtOnceAndOthersOnlyWhenTheyGrowOld(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		self  host.ID
		known bool
		age   time.Duration
		want  Step
	}{
		{"me", true, 3300 * time.Millisecond, Step{Wait: 100 * time.Millisecond}},
		{"me", true, 3400 * time.Millisecond, Step{}},
		{"b1", true, 0, Step{}},
		{"me", false, 900 * time.Millisecond, Step{Wait: 100 * time.Millisecond}},
		{"me", false, time.Second, Step{}},
		{"r1", true, 0, Step{}},
		{"r1", false, 0, Step{}},
	} {
		s := newSource(c.self)
		for _, id := range ranked {
			s.Failed(at(0), Step{Reader: id})
		}
		require.Equal(t, c.want, s.Next(at(0), ranked, c.known, c.age), "%+v", c)
	}
	require.Equal(t, Step{}, newSource("me").Next(at(0), nil, false, 0), "alone")
}

func TestAReaderAsksOthersWhenItCannotRead(t *testing.T) {
	t.Parallel()
	s := newSource("r2")
	require.Equal(t, Step{}, s.Next(at(0), ranked, true, 0), "a reader reads")
	require.Equal(t, Step{Reader: "r1"}, s.Next(at(0), ranked, false, 0), "a new one asks the other first")
	s.Failed(at(0), Step{})
	require.Equal(t, Step{Reader: "r1"}, s.Next(at(0), ranked, true, 0), "so does one that is turned away")
	s.Failed(at(0), Step{Reader: "r1"})
	s.Failed(at(0), Step{Reader: "b1"})
	require.Equal(t, Step{Wait: 100 * time.Millisecond}, s.Next(at(0), ranked, true, 0))
	require.Equal(t, Step{Reader: "r1"}, s.Next(at(time.Second), ranked, true, 0), "others go before a platform that was away")
	s.Failed(at(time.Second), Step{Reader: "r1"})
	s.Failed(at(time.Second), Step{Reader: "b1"})
	require.Equal(t, Step{Wait: 100 * time.Millisecond}, s.Next(at(time.Second), ranked, true, time.Second), "and are waited for")
	require.Equal(t, Step{}, s.Next(at(time.Second), ranked, true, 3400*time.Millisecond), "unless its knowledge grows old")
	s.Failed(at(2*time.Second), Step{Reader: "r1"})
	s.Failed(at(2*time.Second), Step{Reader: "b1"})
	require.Equal(t, Step{}, s.Next(at(2*time.Second), ranked, true, 0), "for a while")
	s.Done(Step{})
	require.Equal(t, Step{}, s.Next(at(0), ranked, true, 0))
}

// A follower that takes a history's answers, at any moments, has what the history has, also across removals and whole reads.
func TestAFollowerEndsWithWhatItsReaderHas(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		reader, follower := NewHistory(), NewHistory()
		truth := map[string]string{}
		now := start
		for position := Position(1); position < 30; position++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(r, "s")) * time.Second)
			key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(r, "key"))
			entry := Entry{Key: key, Removed: rapid.Bool().Draw(r, "removed"), Value: []byte(fmt.Sprint(position))}
			if entry.Removed {
				entry.Value = nil
				delete(truth, key)
			} else {
				truth[key] = string(entry.Value)
			}
			if position == 1 || rapid.IntRange(0, 4).Draw(r, "whole") == 0 {
				reader.Note(now, all(truth), position, true)
			} else {
				reader.Note(now, []Entry{entry}, position, false)
			}
			if rapid.Bool().Draw(r, "ask") {
				entries, whole := reader.Since(follower.At())
				follower.Note(now, entries, reader.At(), whole)
				require.Equal(r, truth, held(follower))
			}
		}
		require.Equal(r, truth, held(reader))
	})
}

func all(truth map[string]string) []Entry {
	var entries []Entry
	for key, value := range truth {
		entries = append(entries, Entry{Key: key, Value: []byte(value)})
	}
	return entries
}

func held(h *History) map[string]string {
	m := map[string]string{}
	for key, p := range h.entries {
		if !p.entry.Removed {
			m[key] = string(p.entry.Value)
		}
	}
	return m
}
