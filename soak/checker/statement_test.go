package checker

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// guaranteesOf returns the guarantees that were violated, each once.
func guaranteesOf(c *Checker) []string {
	var names []string
	for _, v := range c.Violations(true) {
		if len(names) == 0 || names[len(names)-1] != v.Guarantee {
			names = append(names, v.Guarantee)
		}
	}
	return names
}

// arrive records n requests through host 1 that reach the endpoint e at a time.
func arrive(c *Checker, at Time, first, n int) {
	for i := range n {
		id := fmt.Sprint("r", first+i)
		c.Record(at, RequestSent{Request: id, Host: 1, Kind: Idempotent, Path: "/x", Key: "k", Deadline: 1000 * second})
		c.Record(at, RequestArrived{Request: id, Endpoint: "e"})
	}
}

func TestRequestsInTheTimeForWhichAnEndpointAskedForRestAreCounted(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		late int
		at   Time
		want []string
	}{
		"allowed": {allowedInRest, 6 * second, nil}, "too many": {allowedInRest + 1, 6 * second, []string{"BUDGET"}},
		"on their way": {9, 5*second + restGrace, nil}, "after its end": {9, 8 * second, nil},
	} {
		checker := New()
		checker.Record(0, ConfigPublished{Keys: []string{"k"}, MovedService: "a"})
		arrive(checker, 5*second, 0, 1)
		checker.Record(5*second, RestAsked{Request: "r0", Endpoint: "e", For: 3 * second})
		arrive(checker, c.at, 1, c.late)
		require.Equal(t, c.want, guaranteesOf(checker), name)
	}
}

func TestRequestToAnEndpointThatSaidItLeavesIsAViolation(t *testing.T) {
	t.Parallel()
	checker := New()
	checker.Record(0, ConfigPublished{Keys: []string{"k"}, MovedService: "a"})
	arrive(checker, 5*second, 0, 1)
	checker.Record(5*second, LeavingStated{Request: "r0", Endpoint: "e"})
	arrive(checker, 5*second+drainLimit, 1, 1)
	require.Empty(t, guaranteesOf(checker))
	arrive(checker, 6*second+drainLimit, 2, 1)
	require.Equal(t, []string{"DRAIN"}, guaranteesOf(checker))
	checker.Record(10*second, LeavingEnded{Endpoint: "e"})
	arrive(checker, 10*second, 3, 5)
	require.Len(t, checker.Violations(true), 1)
}

func TestFallsOfBrittleEndpointsAreCounted(t *testing.T) {
	t.Parallel()
	checker := New()
	checker.Record(5*second, BrittleStarted{Service: "s", Endpoints: 4})
	for range allowedFalls {
		checker.Record(9*second, EndpointFell{Service: "s", Endpoint: "e"})
	}
	require.Empty(t, guaranteesOf(checker))
	checker.Record(9*second, HostFaultStarted{Host: 1})
	checker.Record(9*second, EndpointFell{Service: "s", Endpoint: "e"})
	checker.Record(9*second, HostFaultEnded{Host: 1})
	require.Empty(t, guaranteesOf(checker), "a host has a fault")
	checker.Record(20*second, EndpointFell{Service: "s", Endpoint: "e"})
	require.Equal(t, []string{"LIMIT"}, guaranteesOf(checker))
}
