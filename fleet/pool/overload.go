package pool

import (
	"time"

	"balsamknot.org/fleet/site"
)

// overloadEnd is for how long a service must have had enough room until its overload counts as ended: the end of one surge is not told again
// and again.
const overloadEnd = time.Second

// OverloadChanged reports that more is asked of a service than there is room for, or no longer is.
type OverloadChanged struct {
	Service    site.ServiceName
	Overloaded bool
	// Waiting and Slots are the numbers of requests that wait and of all slots.
	Waiting, Slots int
}

func (OverloadChanged) command() {}

// overloadState is what was told of an overload.
type overloadState struct {
	told bool
	// seenAt is when the service was overloaded last.
	seenAt time.Time
}

// overloadChanges returns whether an overload has begun or ended since the last call.
func (s *service) overloadChanges(now time.Time) []Command {
	room := s.recentRoom(now)
	overloaded := room.Slots > 0 && s.queue.order.Overloaded(now, room)
	if overloaded {
		s.overload.seenAt = now
	}
	if overloaded == s.overload.told || !overloaded && now.Sub(s.overload.seenAt) < overloadEnd {
		return nil
	}
	s.overload.told = overloaded
	return []Command{OverloadChanged{Service: s.name, Overloaded: overloaded, Waiting: s.queue.len(), Slots: room.Slots}}
}
