package pool

import (
	"time"

	"balsamknot.org/fleet/host"
)

// DataCentreEvacuated reports that the operator evacuates a data centre, or has ended that. Its endpoints get no new requests meanwhile. The requests
// at them run on, and other engines may fetch from the caches of its engines.
type DataCentreEvacuated struct {
	DataCentre host.DataCentre
	Evacuated  bool
}

func (DataCentreEvacuated) event() {}

// evacuate applies the begin or the end of an evacuation.
func (k *Keeper) evacuate(now time.Time, e DataCentreEvacuated) []Command {
	if k.evacuated[e.DataCentre] == e.Evacuated {
		return nil
	}
	if e.Evacuated {
		k.evacuated[e.DataCentre] = true
	} else {
		delete(k.evacuated, e.DataCentre)
	}
	return k.forEachService(func(s *service) []Command { return s.evacuationChanged(now, e.DataCentre) })
}

// evacuationChanged applies the begin or the end of the evacuation of a data centre to its endpoints, which may have become cold a moment ago.
func (s *service) evacuationChanged(now time.Time, dc host.DataCentre) []Command {
	for _, st := range s.sorted {
		if st.record.DataCentre != dc {
			continue
		}
		s.addToTotals(st, -1)
		st.evacuated = s.evacuated[dc]
		s.addToTotals(st, 1)
		s.assumeCold(now, st)
	}
	return append(s.refuseUnservable(), s.drainQueue(now)...)
}

// refuseUnservable refuses the queued requests that no endpoint takes any more.
func (s *service) refuseUnservable() []Command {
	var commands []Command
	for _, e := range s.queue.all() {
		if !s.anyAvailable(e) {
			s.queue.withdraw(e.Ticket)
			commands = append(commands, s.refuseWithoutEndpoint(e))
		}
	}
	return commands
}

// refuseWithoutEndpoint returns the refusal of a request that no endpoint takes.
func (s *service) refuseWithoutEndpoint(e SlotRequested) Refuse {
	for _, st := range s.sorted {
		if st.evacuated && !st.record.Leaving && e.accepts(st.record) {
			return Refuse{e.Ticket, Evacuated, maxRetryAfter}
		}
	}
	return Refuse{e.Ticket, NoEndpoint, assumedRetryAfter(e)}
}

// EvacuatedDataCentres returns the data centres that the operator evacuates, in order.
func (k *Keeper) EvacuatedDataCentres() []host.DataCentre { return sortedKeys(k.evacuated) }

// IsEvacuated reports whether the operator evacuates a data centre.
func (k *Keeper) IsEvacuated(dc host.DataCentre) bool { return k.evacuated[dc] }
