package pool

import (
	"slices"

	"balsamknot.org/fleet/chat"
)

// maxIndexedEngines is how many engines the index holds for one part of a prompt, those that used it last. A part that more engines cache
// is found at the engines of each group anyway.
const maxIndexedEngines = 8

// cacheIndex finds the engines that cache a part of a prompt without a pass over all of them. It holds those of each part in the order of
// their last use, the newest first.
type cacheIndex map[chat.PartID][]*endpointState

// used records that an engine uses a part, which it caches from then on.
func (x cacheIndex) used(part chat.PartID, st *endpointState) {
	engines := x[part]
	at := slices.Index(engines, st)
	switch {
	case at >= 0:
	case len(engines) < maxIndexedEngines:
		at = len(engines)
		engines = append(engines, st)
		x[part] = engines
	default:
		at = len(engines) - 1
	}
	copy(engines[1:at+1], engines[:at])
	engines[0] = st
}

// evicted records that an engine no longer caches a part.
func (x cacheIndex) evicted(part chat.PartID, st *endpointState) {
	engines := slices.DeleteFunc(x[part], func(other *endpointState) bool { return other == st })
	if len(engines) == 0 {
		delete(x, part)
		return
	}
	x[part] = engines
}
