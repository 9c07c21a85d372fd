package stream

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
)

var start = time.Unix(1000, 0)

func record(id, version string) endpoint.Record {
	return endpoint.Record{Instance: endpoint.Instance{ID: endpoint.ID(id)}, Service: "s", Version: endpoint.Version(version)}
}

func origin(request, version string) Origin {
	return Origin{Stream: IDOf(request), Service: "s", Version: endpoint.Version(version)}
}

func TestNothingIsSentWhileThereIsOneVersion(t *testing.T) {
	t.Parallel()
	r := NewRegistry(start)
	for i := range 20 {
		require.Empty(t, r.Update(start, Registered{record(fmt.Sprintf("i-%d", i), "v1")}).Origins)
	}
	require.Empty(t, r.Update(start, Begun{origin("a", "v1")}).Origins)
	count, only := r.Versions(start, "s")
	require.Equal(t, 1, count)
	require.Equal(t, endpoint.Version("v1"), only)
}

func TestOriginsAreSentOnceASecondVersionComesUp(t *testing.T) {
	t.Parallel()
	r := NewRegistry(start)
	r.Update(start, Registered{record("i-1", "v1")})
	r.Update(start, Begun{origin("a", "v1")})
	r.Update(start, Received{origin("b", "v1")})
	require.Equal(t, []Origin{origin("a", "v1")}, r.Update(start, Registered{record("i-2", "v2")}).Origins)
	require.Empty(t, r.Update(start, Registered{record("i-3", "v2")}).Origins, "each once")
	require.Equal(t, []Origin{origin("c", "v2")}, r.Update(start, Begun{origin("c", "v2")}).Origins)
}

func TestVersionCountsForLifetimeAfterItsLastEndpoint(t *testing.T) {
	t.Parallel()
	r := NewRegistry(start)
	r.Update(start, Registered{record("i-1", "v1")})
	r.Update(start, Registered{record("i-2", "v2")})
	later := start.Add(time.Hour)
	r.Update(later, Tick{})
	r.Update(later, Removed{"i-1"})
	count, _ := r.Versions(later.Add(Lifetime), "s")
	require.Equal(t, 2, count, "streams that began there may still be taken up")
	r.Update(later.Add(Lifetime+time.Second), Tick{})
	count, only := r.Versions(later.Add(Lifetime+time.Second), "s")
	require.Equal(t, 1, count)
	require.Equal(t, endpoint.Version("v2"), only)
}

func TestOriginsAreForgottenAfterLifetime(t *testing.T) {
	t.Parallel()
	r := NewRegistry(start)
	now := start
	for i := range 1000 {
		now = start.Add(time.Duration(i) * 100 * time.Millisecond)
		r.Update(now, Begun{origin(fmt.Sprint(i), "v1")})
		r.Update(now, Tick{})
		require.LessOrEqual(t, r.Len(), int(Lifetime/(100*time.Millisecond))+2)
	}
	_, known := r.Origin(IDOf("998"))
	require.True(t, known)
	_, known = r.Origin(IDOf("1"))
	require.False(t, known)
	require.True(t, r.SeenAll(now))
	require.False(t, r.SeenAll(start))
}

func TestEmptyRequestIDNamesNoStream(t *testing.T) {
	t.Parallel()
	require.Zero(t, IDOf(""))
	require.NotEqual(t, IDOf("a"), IDOf("b"))
}

// Guards against ORDER: a wrong origin that came late replaced the right one, on all replicas.
func TestKnownOriginIsNotReplacedByAnotherVersion(t *testing.T) {
	t.Parallel()
	for name, late := range map[string]Event{"received": Received{origin("a", "v2")}, "begun": Begun{origin("a", "v2")}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := NewRegistry(start)
			r.Update(start, Registered{record("i-1", "v1")})
			r.Update(start, Registered{record("i-2", "v2")})
			r.Update(start, Begun{origin("a", "v1")})
			require.Equal(t, Commands{Conflicts: []Conflict{{Known: origin("a", "v1"), Rejected: origin("a", "v2")}}}, r.Update(start, late))
			version, known := r.Origin(IDOf("a"))
			require.True(t, known)
			require.Equal(t, endpoint.Version("v1"), version)
		})
	}
}

func BenchmarkBegun(b *testing.B) {
	r := NewRegistry(start)
	r.Update(start, Registered{record("i-1", "v1")})
	for i := 0; b.Loop(); i++ {
		r.Update(start.Add(time.Duration(i)*20*time.Millisecond), Begun{Origin{Stream: ID(i), Service: "s", Version: "v1"}})
		if i%50 == 0 {
			r.Update(start.Add(time.Duration(i)*20*time.Millisecond), Tick{})
		}
	}
}
