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

// sent returns the confirmation of a read of another host that was sent then.
func sent(d time.Duration) Confirmation { return Confirmation{SentAt: at(d)} }

// read returns the confirmation of an own read that was sent, and answered at once, then.
func read(d time.Duration) Confirmation { return Confirmation{SentAt: at(d), AnsweredAt: at(d)} }

func newCatalogue() *Catalogue {
	return New(Config{Lease: 4 * time.Second, RecoveryGrace: 2 * time.Second, OutageThreshold: 2500 * time.Millisecond, ReturnHold: 5 * time.Second})
}

// atRevision returns a position in the first era.
func atRevision(r Revision) Position { return Position{Revision: r} }

func record(id string, leaving bool) endpoint.Record {
	return endpoint.Record{Instance: endpoint.Instance{ID: endpoint.ID(id)}, Leaving: leaving}
}

func published(set *site.Set) []Change { return []Change{Published{set}} }

func registered(records ...endpoint.Record) []Change {
	var changes []Change
	for _, r := range records {
		changes = append(changes, Registered{r})
	}
	return changes
}

func removed(ids ...endpoint.ID) []Change {
	var changes []Change
	for _, id := range ids {
		changes = append(changes, Removed{id})
	}
	return changes
}

func TestApplyIgnoresLowerSetVersion(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	require.False(t, c.Valid(at(0)))
	c.Apply(at(0), Update{Confirmation: sent(0), Position: atRevision(5), Changes: published(&site.Set{Version: 7})})
	c.Apply(at(1), Update{Confirmation: sent(1), Position: atRevision(6), Changes: published(&site.Set{Version: 6})})
	require.Equal(t, site.Version(7), c.set.Version)
}

func TestTheLeaseCountsFromWhenTheReadWasSent(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(3*time.Second), Update{Confirmation: sent(0), Position: atRevision(1), Changes: published(&site.Set{Version: 1})})
	require.True(t, c.Valid(at(3999*time.Millisecond)))
	require.False(t, c.Valid(at(4*time.Second)))
	c.Apply(at(5*time.Second), Update{Confirmation: sent(4500 * time.Millisecond), Position: atRevision(1)})
	require.True(t, c.Valid(at(5*time.Second)))
	c.Apply(at(6*time.Second), Update{Confirmation: sent(2 * time.Second)})
	require.Equal(t, 1500*time.Millisecond, c.Age(at(6*time.Second)), "an older confirmation must not move the age back")
}

func TestRegistrationExpiredDuringOutageIsKeptForRecoveryGrace(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: atRevision(1), Full: true, Changes: registered(record("back", false), record("lost", false), record("leaving", true))})
	c.ReadFailed(at(5 * time.Second))
	recoveredAt := 6 * time.Second
	change := c.Apply(at(recoveredAt), Update{Confirmation: sent(recoveredAt), Position: atRevision(2), Changes: removed("back", "lost", "leaving")})
	require.Equal(t, removed("leaving"), change.Endpoints)
	c.Apply(at(recoveredAt+time.Second), Update{Confirmation: sent(recoveredAt + time.Second), Position: atRevision(3), Changes: registered(record("back", false))})
	require.Empty(t, c.Tick(c.confirmedAt).Endpoints)
	c.Apply(at(recoveredAt+2100*time.Millisecond), Update{Confirmation: sent(recoveredAt + 2*time.Second), Position: atRevision(3)})
	require.Equal(t, removed("lost"), c.Tick(c.confirmedAt).Endpoints)
	require.Len(t, c.endpoints, 1)
}

// A host whose copy is some seconds old does not know yet which endpoints have registered again since.
func TestEndpointIsRemovedOnlyByAReadSentAfterTheGracePeriod(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: atRevision(1), Full: true, Changes: registered(record("back", false), record("lost", false))})
	c.ReadFailed(at(5 * time.Second))
	recoveredAt := 6 * time.Second
	c.Apply(at(recoveredAt), Update{Confirmation: sent(recoveredAt), Position: atRevision(2), Changes: removed("back", "lost")})
	require.Empty(t, c.Tick(c.confirmedAt).Endpoints)
	change := c.Apply(at(recoveredAt+4*time.Second), Update{
		Confirmation: sent(recoveredAt + 3900*time.Millisecond), Position: atRevision(4), Changes: registered(record("back", false)),
	})
	require.Empty(t, change.Endpoints, "it was never removed")
	require.Equal(t, removed("lost"), c.Tick(c.confirmedAt).Endpoints)
}

func TestRemovalWithoutOutageTakesEffectAtOnce(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: atRevision(1), Full: true, Changes: registered(record("a", false), record("b", false))})
	change := c.Apply(at(time.Second), Update{Confirmation: sent(time.Second), Position: atRevision(2), Full: true, Changes: registered(record("b", false))})
	require.Equal(t, removed("a"), change.Endpoints)
}

func newSelector(self host.ID) *SourceSelector {
	return NewSourceSelector(SourceSelectorConfig{
		Self: self, ActiveReaders: 2, DirectReadAge: 3400 * time.Millisecond, FirstReadDelay: time.Second,
		PlatformBackoff: 2 * time.Second, FailureBackoff: 500 * time.Millisecond, StartupBackoff: 30 * time.Millisecond,
		RecheckInterval: 100 * time.Millisecond,
	})
}

var ranked = []host.ID{"r1", "r2", "b1"}

func TestSelectorQueriesReadersInRankedOrder(t *testing.T) {
	t.Parallel()
	s := newSelector("me")
	require.Equal(t, Step{Reader: "r1"}, s.Next(at(0), ranked, true, time.Second))
	s.RecordFailure(at(0), Step{Reader: "r1"})
	require.Equal(t, Step{Reader: "r2"}, s.Next(at(0), ranked, true, time.Second))
	s.RecordFailure(at(0), Step{Reader: "r2"})
	require.Equal(t, Step{Reader: "b1"}, s.Next(at(0), ranked, true, time.Second))
	require.Equal(t, Step{Reader: "r1"}, s.Next(at(500*time.Millisecond), ranked, true, time.Second))
}

// The platform loses its history of changes and does not answer for a second. In a fleet of 85 hosts not all may read the whole
// state again: backups read it at once, the other hosts only when their copies are old.
func TestBackupReadsPlatformAtOnceAndOthersOnlyWhenCopyIsOld(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		self   host.ID
		loaded bool
		age    time.Duration
		want   Step
	}{
		{"me", true, 3300 * time.Millisecond, Step{Wait: 100 * time.Millisecond}},
		{"me", true, 3400 * time.Millisecond, Step{}},
		{"b1", true, 0, Step{}},
		{"me", false, 900 * time.Millisecond, Step{Wait: 100 * time.Millisecond}},
		{"me", false, time.Second, Step{}},
		{"r1", true, 0, Step{}},
		{"r1", false, 0, Step{}},
	} {
		s := newSelector(tc.self)
		for _, id := range ranked {
			s.RecordFailure(at(0), Step{Reader: id})
		}
		require.Equal(t, tc.want, s.Next(at(0), ranked, tc.loaded, tc.age), "%+v", tc)
	}
	require.Equal(t, Step{}, newSelector("me").Next(at(0), nil, false, 0), "a host without ranked readers reads the platform")
}

func TestReaderQueriesOtherReadersWhenPlatformFails(t *testing.T) {
	t.Parallel()
	s := newSelector("r2")
	require.Equal(t, Step{}, s.Next(at(0), ranked, true, 0), "an active reader reads the platform")
	require.Equal(t, Step{Reader: "r1"}, s.Next(at(0), ranked, false, 0), "an active reader without a copy queries the other one first")
	s.RecordFailure(at(0), Step{})
	require.Equal(t, Step{Reader: "r1"}, s.Next(at(0), ranked, true, 0), "an active reader that the platform refused queries the other one")
	s.RecordFailure(at(0), Step{Reader: "r1"})
	s.RecordFailure(at(0), Step{Reader: "b1"})
	require.Equal(t, Step{Wait: 100 * time.Millisecond}, s.Next(at(0), ranked, true, 0))
	require.Equal(t, Step{Reader: "r1"}, s.Next(at(time.Second), ranked, true, 0), "other readers come before a platform that failed recently")
	s.RecordFailure(at(time.Second), Step{Reader: "r1"})
	s.RecordFailure(at(time.Second), Step{Reader: "b1"})
	require.Equal(t, Step{Wait: 100 * time.Millisecond}, s.Next(at(time.Second), ranked, true, time.Second), "a host with a fresh copy waits for other readers")
	require.Equal(t, Step{}, s.Next(at(time.Second), ranked, true, 3400*time.Millisecond), "a host with an old copy reads the platform")
	s.RecordFailure(at(2*time.Second), Step{Reader: "r1"})
	s.RecordFailure(at(2*time.Second), Step{Reader: "b1"})
	require.Equal(t, Step{}, s.Next(at(2*time.Second), ranked, true, 0), "after PlatformBackoff an active reader reads the platform again")
	s.RecordSuccess(Step{})
	require.Equal(t, Step{}, s.Next(at(0), ranked, true, 0))
}

// During an outage registrations end and return as they were. A host that read the store in between lacks them; a reader that did not has
// the same values as before.
func TestReaderSendsEntriesThatWereRemovedAndWrittenAgain(t *testing.T) {
	t.Parallel()
	before, again := Entry{Key: "e", Value: []byte("v"), Revision: 3}, Entry{Key: "e", Value: []byte("v"), Revision: 9}
	const removedAt, readAt = 7, 12
	for name, read := range map[string]func(reader *History){
		"whole store": func(reader *History) { reader.Record(start, []Entry{again}, atRevision(readAt), true) },
		"changes":     func(reader *History) { reader.Record(start, []Entry{again}, atRevision(readAt), false) },
		"all entries of another reader": func(reader *History) {
			reader.Record(start, []Entry{{Key: "e", Value: []byte("v")}}, atRevision(readAt), true)
		},
		"changes of another reader": func(reader *History) {
			reader.Record(start, []Entry{{Key: "e", Value: []byte("v")}}, atRevision(readAt), false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reader := NewHistory()
			reader.Record(start, []Entry{before}, atRevision(5), true)
			read(reader)
			require.True(t, reader.NewestChange().After(atRevision(removedAt)))
			entries, _ := reader.Since(atRevision(removedAt))
			require.Len(t, entries, 1)
			entries, _ = reader.Since(atRevision(readAt))
			require.Empty(t, entries)
		})
	}
}

// A whole read of a store that has not changed must not make the hosts that follow a reader fetch everything again.
func TestWholeReadWithoutChangesIsNoChange(t *testing.T) {
	t.Parallel()
	h := NewHistory()
	entry := Entry{Key: "e", Value: []byte("v"), Revision: 3}
	h.Record(start, []Entry{entry}, atRevision(5), true)
	require.Equal(t, atRevision(3), h.NewestChange())
	h.Record(start, []Entry{entry}, atRevision(8), true)
	require.Equal(t, atRevision(3), h.NewestChange())
	require.Equal(t, atRevision(8), h.Position())
}

// A follower is a host that fetches a reader's changes. After each fetch, at arbitrary times, it must have the same keys and
// values as the reader, also after removals, expired tombstones and full reads.
func TestFollowerConvergesToReaderHistory(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		reader, follower := NewHistory(), NewHistory()
		want := map[string]string{}
		now := start
		for revision := Revision(1); revision < 30; revision++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(r, "s")) * time.Second)
			key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(r, "key"))
			entry := Entry{Key: key, Removed: rapid.Bool().Draw(r, "removed"), Value: []byte(fmt.Sprint(revision))}
			if entry.Removed {
				entry.Value = nil
				delete(want, key)
			} else {
				want[key] = string(entry.Value)
			}
			if revision == 1 || rapid.IntRange(0, 4).Draw(r, "full") == 0 {
				reader.Record(now, entriesOf(want), atRevision(revision), true)
			} else {
				reader.Record(now, []Entry{entry}, atRevision(revision), false)
			}
			if rapid.Bool().Draw(r, "fetch") {
				entries, full := reader.Since(follower.Position())
				follower.Record(now, entries, reader.Position(), full)
				require.Equal(r, want, valuesOf(follower))
			}
		}
		require.Equal(r, want, valuesOf(reader))
	})
}

func entriesOf(values map[string]string) []Entry {
	var entries []Entry
	for key, value := range values {
		entries = append(entries, Entry{Key: key, Value: []byte(value)})
	}
	return entries
}

func valuesOf(h *History) map[string]string {
	values := map[string]string{}
	for key, v := range h.entries {
		if !v.entry.Removed {
			values[key] = string(v.entry.Value)
		}
	}
	return values
}
