package pool

import (
	"cmp"
	"maps"
	"slices"

	"balsamknot.org/fleet/endpoint"
)

// sortedInstances returns the keys of m in order of ID and start.
func sortedInstances[V any](m map[endpoint.Instance]V) []endpoint.Instance {
	return slices.SortedFunc(maps.Keys(m), func(a, b endpoint.Instance) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAt, b.StartedAt))
	})
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
