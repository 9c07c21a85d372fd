package announcement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestEachHostIsToldAgainAFewTimes(t *testing.T) {
	t.Parallel()
	s := NewSchedule(Config{Repeats: []time.Duration{250 * time.Millisecond, time.Second}, Memory: 10 * time.Second})
	instance := endpoint.Instance{ID: "a", StartedAt: 1}
	require.Equal(t, []host.ID{"keeper"}, s.Announce(start, instance, []host.ID{"keeper"}))
	require.Empty(t, s.Announce(start, instance, []host.ID{"keeper"}))
	require.Equal(t, []host.ID{"relay"}, s.Announce(at(100*time.Millisecond), instance, []host.ID{"keeper", "relay"}), "it was not told with the keeper")
	require.Empty(t, s.Due(at(200*time.Millisecond)))
	require.Equal(t, []Announcement{{instance, "keeper"}}, s.Due(at(250*time.Millisecond)))
	require.Equal(t, []Announcement{{instance, "relay"}}, s.Due(at(350*time.Millisecond)))
	require.Equal(t, []Announcement{{instance, "keeper"}, {instance, "relay"}}, s.Due(at(2*time.Second)))
	require.Empty(t, s.Due(at(3*time.Second)))
	require.Len(t, s.Announce(at(3*time.Second), endpoint.Instance{ID: "a", StartedAt: 2}, []host.ID{"keeper"}), 1, "a later instance")
	s.Due(at(14 * time.Second))
	require.Empty(t, s.told)
}
