package site

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMatchReturnsTheRouteWithTheLongestPrefix(t *testing.T) {
	t.Parallel()
	set := &Set{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}}
	set.Index()
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z/1", "long"},
		{"a.example:80", "/x/q", "short"},
		{"A.EXAMPLE", "/x/", "short"},
		{"b.example", "/x/y/z/1", "other"},
	} {
		route, ok := set.Match(c.host, c.path)
		require.True(t, ok, c)
		require.Equal(t, RouteName(c.want), route.Name, c)
	}
	for _, c := range [][2]string{{"a.example", "/x"}, {"c.example", "/x/"}, {"a.example", "*"}} {
		_, ok := set.Match(c[0], c[1])
		require.False(t, ok, c)
	}
}

func TestSplitRouteDistributesRequestsByWeight(t *testing.T) {
	t.Parallel()
	r := Route{Name: "r", Backends: []Backend{{"a", 90}, {"b", 10}, {"c", 0}}}
	requests := map[ServiceName]int{}
	for i := range 2000 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		requests[r.Service(id)]++
	}
	require.Zero(t, requests["c"])
	require.InDelta(t, 200, requests["b"], 80)
	require.Empty(t, (&Route{Backends: []Backend{{"a", 0}, {"b", 0}}}).Service("x"))
}

func TestWorkspacePriorityOverridesTheRoutes(t *testing.T) {
	t.Parallel()
	set := &Set{Workspaces: map[WorkspaceName]Workspace{"ranked": {Priority: 3, HasPriority: true}, "plain": {}}}
	r := &Route{Priority: 1}
	require.Equal(t, 3, set.Priority(r, "ranked"))
	require.Equal(t, 1, set.Priority(r, "plain"))
	require.Equal(t, 1, set.Priority(r, ""))
}
