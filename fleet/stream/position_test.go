package stream

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func id(n int) EventID { return EventID(strconv.Itoa(n)) }

func TestPositionAcceptsOnlyWhatGoesOnFromIt(t *testing.T) {
	for name, c := range map[string]struct {
		after, next EventID
		consecutive bool
		want        error
	}{
		"new stream":                     {"", "7", true, nil},
		"next":                           {"3", "4", true, nil},
		"the same":                       {"3", "3", false, ErrRepeated},
		"before":                         {"3", "1", false, ErrRepeated},
		"later, consecutive":             {"3", "5", true, ErrSkipped},
		"later, not known":               {"3", "5", false, nil},
		"without an ID":                  {"3", "", true, nil},
		"no numbers":                     {"a", "b", true, nil},
		"no numbers, the same":           {"a", "a", true, ErrRepeated},
		"a number after something else":  {"a", "1", true, nil},
		"ten after nine, not as strings": {"9", "10", true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPosition(c.after)
			require.ErrorIs(t, p.Check(c.next, c.consecutive), c.want)
		})
	}
}

func TestPositionIsUnknownAfterDataWithoutAnID(t *testing.T) {
	p := NewPosition("")
	p.Advance("1", true)
	p.Advance("", false)
	require.True(t, p.Known(), "a comment is no data")
	p.Advance("", true)
	require.False(t, p.Known())
	require.Equal(t, EventID("1"), p.Last())
	p.Advance("2", true)
	require.True(t, p.Known())
}

// Runs of any kind bring a stream; what is accepted is always the stream from its beginning, without an event twice.
func TestAcceptedEventsOfAnyRunsAreThoseOfOneStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Position
		var got []int
		for range rapid.IntRange(1, 6).Draw(t, "runs") {
			p.BeginRun()
			first := rapid.IntRange(1, len(got)+3).Draw(t, "first")
			if len(got) == 0 {
				first = 1
			}
			for n := first; n < first+rapid.IntRange(0, 4).Draw(t, "events"); n++ {
				if rapid.Bool().Draw(t, "comment") {
					require.NoError(t, p.Check("", true))
					p.Advance("", false)
				}
				if p.Check(id(n), true) != nil {
					break
				}
				p.Advance(id(n), true)
				got = append(got, n)
			}
		}
		for i, n := range got {
			require.Equal(t, i+1, n)
		}
	})
}

func TestNumberingIsLearntFromStreamsAndForgottenWithOneGap(t *testing.T) {
	stream := func(ids ...int) Position {
		var p Position
		for _, n := range ids {
			p.Advance(id(n), true)
		}
		return p
	}
	var n Numbering
	for range consecutiveStreams {
		require.False(t, n.Consecutive())
		n.Note(stream(1, 2, 3))
		n.Note(stream(1))
	}
	require.True(t, n.Consecutive())
	n.Note(stream(1, 2, 4))
	require.False(t, n.Consecutive())
}

func TestOwnNumbersOfAStreamCountBeforeThoseOfOthers(t *testing.T) {
	var p Position
	p.Advance("10", true)
	p.Advance("20", true)
	p.BeginRun()
	require.NoError(t, p.Check("30", true))
	p = Position{}
	p.Advance("1", true)
	p.Advance("2", true)
	p.BeginRun()
	require.ErrorIs(t, p.Check("4", false), ErrSkipped)
}
