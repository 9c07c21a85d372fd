package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	route = "draft"
	// usual is how long most answers of the tests take, and rare how long a few do.
	usual = 5 * time.Second
	rare  = 9 * time.Second
)

func TestUsualRunTimeIsThatOfMostOfTheLatestAnswers(t *testing.T) {
	t.Parallel()
	times := NewRunTimes()
	for range minRunTimeSamples - 1 {
		times.Note(start, route, usual)
	}
	require.Zero(t, times.Usual(route), "too few answers are known")
	require.Zero(t, times.Usual("other"))
	times.Note(start, route, usual)
	require.Equal(t, usual, times.Usual(route))
	for range runTimeSamples {
		times.Note(start, route, usual)
	}
	for range runTimeSamples / 20 {
		times.Note(start, route, rare)
	}
	require.Equal(t, usual, times.Usual(route), "few answers take longer")
	for range runTimeSamples {
		times.Note(start, route, rare)
	}
	require.Equal(t, rare, times.Usual(route), "many answers take longer")
	for range 2 * runTimeSamples {
		times.Note(start, route, usual)
	}
	require.Equal(t, usual, times.Usual(route), "earlier answers are forgotten")
}

func TestRunTimesOfARouteWithoutAnswersAreForgotten(t *testing.T) {
	t.Parallel()
	times := NewRunTimes()
	for range minRunTimeSamples {
		times.Note(start, route, usual)
		times.Note(start.Add(time.Second), "other", usual)
	}
	times.Forget(start.Add(runTimeMemory + time.Millisecond))
	require.Zero(t, times.Usual(route))
	require.Equal(t, usual, times.Usual("other"))
}
