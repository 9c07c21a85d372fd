// Package announcement decides when a host tells others again that an endpoint leaves. A datagram may be lost, and an endpoint that leaves gets
// no further requests, whose answers would say so again.
package announcement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
)

// Config holds the times of a Schedule.
type Config struct {
	// Repeats are the times after the first announcement at which it is repeated, in order.
	Repeats []time.Duration
	// Memory is how long a host that was told is remembered; longer than the last of Repeats.
	Memory time.Duration
}

// Announcement is that an endpoint leaves, to one host.
type Announcement struct {
	Instance endpoint.Instance
	To       host.ID
}

// Schedule holds the announcements of a host. It is not safe for concurrent use.
type Schedule struct {
	cfg Config
	// told holds the announcements that were made.
	told map[Announcement]progress
}

type progress struct {
	firstAt time.Time
	// repeated is how many of Config.Repeats have passed.
	repeated int
}

// NewSchedule returns an empty schedule.
func NewSchedule(cfg Config) *Schedule {
	return &Schedule{cfg: cfg, told: make(map[Announcement]progress)}
}

// Announce returns those of the hosts that were not told yet that an endpoint leaves, and schedules repetitions for them.
func (s *Schedule) Announce(now time.Time, instance endpoint.Instance, to []host.ID) []host.ID {
	var untold []host.ID
	for _, id := range to {
		a := Announcement{Instance: instance, To: id}
		if _, told := s.told[a]; !told {
			s.told[a] = progress{firstAt: now}
			untold = append(untold, id)
		}
	}
	return untold
}

// Due returns the announcements that are to be repeated now, in order, and forgets old ones.
func (s *Schedule) Due(now time.Time) []Announcement {
	var due []Announcement
	for a, p := range s.told {
		if p.repeated < len(s.cfg.Repeats) && now.Sub(p.firstAt) >= s.cfg.Repeats[p.repeated] {
			p.repeated++
			s.told[a] = p
			due = append(due, a)
		}
	}
	maps.DeleteFunc(s.told, func(_ Announcement, p progress) bool { return now.Sub(p.firstAt) > s.cfg.Memory })
	slices.SortFunc(due, func(a, b Announcement) int {
		return cmp.Or(cmp.Compare(a.Instance.ID, b.Instance.ID), cmp.Compare(a.Instance.StartedAt, b.Instance.StartedAt), cmp.Compare(a.To, b.To))
	})
	return due
}
