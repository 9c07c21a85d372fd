package catalogue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamknot.org/fleet/site"
)

func inEra(e Era, r Revision) Position { return Position{Era: e, Revision: r} }

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	t.Parallel()
	require.True(t, inEra(2, 480).After(inEra(1, 500)))
	require.True(t, inEra(2, 480).After(inEra(2, 479)))
	require.False(t, inEra(1, 500).After(inEra(2, 480)))
	require.False(t, inEra(1, 500).After(inEra(1, 500)))
	require.False(t, Position{Era: 3}.Loaded())
}

func TestLaterEraIsEnteredByAFullReadAndEarlierOnesAreDropped(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		own, read   Position
		full, admit bool
	}{
		{inEra(0, 0), inEra(4, 7), true, true},
		{inEra(4, 7), inEra(4, 9), false, true},
		{inEra(4, 7), inEra(4, 5), true, true},
		{inEra(4, 7), inEra(5, 3), true, true},
		{inEra(4, 7), inEra(5, 9), false, false},
		{inEra(4, 7), inEra(3, 9), true, false},
	} {
		require.Equal(t, tc.admit, tc.own.Admits(tc.read, tc.full), "%+v", tc)
	}
}

// A host whose position is from before the return, at a higher revision than the copy's, gets all entries, also those of lower revisions.
func TestHostFromAnEarlierEraGetsTheWholeStore(t *testing.T) {
	t.Parallel()
	h := NewHistory()
	kept, lost := Entry{Key: "kept", Value: []byte("v"), Revision: 3}, Entry{Key: "lost", Value: []byte("v"), Revision: 500}
	h.Record(start, []Entry{kept, lost}, inEra(1, 500), true)
	h.Record(start, []Entry{kept}, inEra(2, 480), true)
	require.Equal(t, inEra(2, 480), h.NewestChange())
	entries, full := h.Since(inEra(1, 500))
	require.True(t, full)
	require.Equal(t, []Entry{kept}, entries)
	h.Record(start, []Entry{{Key: "new", Value: []byte("n"), Revision: 481}}, inEra(2, 481), false)
	entries, full = h.Since(inEra(2, 480))
	require.False(t, full)
	require.Equal(t, []Entry{{Key: "new", Value: []byte("n"), Revision: 481}}, entries)
}

// The store returns from older copies again and again, while a reader reads it and a follower the reader, at arbitrary times. After each fetch
// the follower has what the store holds.
func TestFollowerConvergesAfterReturnsOfTheStore(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		var log []Entry
		era := Era(1)
		reader, follower := NewHistory(), NewHistory()
		for range 40 {
			switch rapid.IntRange(0, 4).Draw(r, "step") {
			case 0:
				log = log[:len(log)-rapid.IntRange(0, min(len(log), 8)).Draw(r, "lost")]
				era++
			case 1, 2:
				key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(r, "key"))
				log = append(log, Entry{Key: key, Value: []byte(fmt.Sprint(era, len(log))), Revision: Revision(len(log) + 2)})
			default:
				at, last := inEra(era, Revision(len(log)+1)), reader.Position()
				if !last.Loaded() || at.Era > last.Era {
					reader.Record(start, latest(log, 0), at, true)
				} else {
					reader.Record(start, latest(log, last.Revision), at, false)
				}
				entries, full := reader.Since(follower.Position())
				require.True(r, follower.Position().Admits(reader.Position(), full))
				for i := range entries {
					entries[i].Revision = 0
				}
				follower.Record(start, entries, reader.Position(), full)
				want := valuesOfEntries(latest(log, 0))
				require.Equal(r, want, valuesOf(reader))
				require.Equal(r, want, valuesOf(follower))
			}
		}
	})
}

// latest returns the last entry of each key after a revision.
func latest(log []Entry, after Revision) []Entry {
	last := map[string]Entry{}
	for _, e := range log {
		if e.Revision > after {
			last[e.Key] = e
		}
	}
	var entries []Entry
	for _, e := range last {
		entries = append(entries, e)
	}
	return entries
}

func valuesOfEntries(entries []Entry) map[string]string {
	values := map[string]string{}
	for _, e := range entries {
		values[e.Key] = string(e.Value)
	}
	return values
}

func TestSetOfALaterEraReplacesOneOfTheSameVersion(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	first, again := &site.Set{Version: 7}, &site.Set{Version: 7}
	c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 500), Full: true, Changes: published(first)})
	require.Nil(t, c.Apply(at(1), Update{Confirmation: sent(1), Position: inEra(1, 501), Changes: published(again)}).Set)
	require.Nil(t, c.Apply(at(2), Update{Confirmation: sent(2), Position: inEra(2, 480), Full: true, Changes: published(&site.Set{Version: 5})}).Set, "never back")
	require.Same(t, again, c.Apply(at(3), Update{Confirmation: sent(3), Position: inEra(2, 481), Changes: published(again)}).Set)
	require.Nil(t, c.Apply(at(4), Update{Confirmation: sent(4), Position: inEra(2, 482), Changes: published(first)}).Set)
}

// An endpoint whose registration the copy lacks is kept for the grace period, though the store was hardly away.
func TestRegistrationThatACopyLacksIsKeptForRecoveryGrace(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 500), Full: true, Changes: registered(record("back", false), record("lost", false))})
	change := c.Apply(at(time.Second), Update{Confirmation: sent(time.Second), Position: inEra(2, 480), Full: true})
	require.Empty(t, change.Endpoints)
	require.Equal(t, 2, change.Missing)
	c.Apply(at(2*time.Second), Update{Confirmation: sent(2 * time.Second), Position: inEra(2, 481), Changes: registered(record("back", false))})
	c.Confirm(sent(3100 * time.Millisecond))
	require.Equal(t, removed("lost"), c.Tick(c.confirmedAt).Endpoints)
}
