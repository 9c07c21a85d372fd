package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/interruption"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/relay"
	"balsamknot.org/fleet/stream"
	"balsamknot.org/fleet/timer"
)

// propagate logs a difference of the catalogue and passes it on to the other parts of this host. Evacuations come before the endpoints, which
// else would get requests, and a set is in force after the endpoints that came with it: a request that is admitted earlier would find none.
func (v *storeView) propagate(now time.Time, difference catalogue.Difference) {
	if difference.Set != nil {
		for _, service := range difference.Set.Services {
			v.n.slots.update(now, pool.ServiceChanged{Service: service})
		}
	}
	for _, change := range difference.DataCentres {
		v.propagateEvacuation(now, change)
	}
	for _, change := range difference.Endpoints {
		switch change := change.(type) {
		case catalogue.Registered:
			v.propagateRegistration(now, change.Record)
		case catalogue.Removed:
			v.propagateRemoval(now, change.ID, difference.AfterGrace)
		}
	}
	if difference.Set != nil {
		v.putInForce(now, difference.Set)
	}
}

// propagateEvacuation logs a change of a data centre and passes it on to the keeper of this host.
func (v *storeView) propagateEvacuation(now time.Time, change catalogue.Change) {
	switch change := change.(type) {
	case catalogue.Evacuated:
		endpoints := v.endpointsIn(change.DataCentre)
		event.LogText(v.n.log, zerolog.WarnLevel, event.EvacuationBegan).Str("DataCentre", string(change.DataCentre)).Int("Endpoints", endpoints).Send()
		if endpoints == 0 {
			event.LogText(v.n.log, zerolog.WarnLevel, event.EvacuationEmpty).Str("DataCentre", string(change.DataCentre)).Send()
		}
		v.n.slots.update(now, pool.DataCentreEvacuated{DataCentre: change.DataCentre, Evacuated: true})
	case catalogue.Reopened:
		event.LogText(v.n.log, zerolog.InfoLevel, event.EvacuationEnded).Str("DataCentre", string(change.DataCentre)).
			Int("Endpoints", v.endpointsIn(change.DataCentre)).Send()
		v.n.slots.update(now, pool.DataCentreEvacuated{DataCentre: change.DataCentre})
	}
}

// endpointsIn returns how many endpoints are registered in a data centre.
func (v *storeView) endpointsIn(dc host.DataCentre) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.catalogue.EndpointsIn(dc)
}

func (v *storeView) propagateRegistration(now time.Time, record endpoint.Record) {
	record.Leaving = record.Leaving || v.n.slots.saidLeaving(record)
	event.LogText(v.n.log, zerolog.InfoLevel, event.EndpointRegistered).Str("Endpoint", string(record.Instance.ID)).
		Str("Service", string(record.Service)).Bool("Leaving", record.Leaving).Send()
	v.n.paths.update(now, relay.Registered{Record: record})
	v.n.crashes.update(now, interruption.Registered{Record: record})
	v.n.streams.update(now, stream.Registered{Record: record})
	v.n.slots.update(now, pool.EndpointRegistered{Record: record})
}

func (v *storeView) propagateRemoval(now time.Time, id endpoint.ID, deferred bool) {
	event.LogText(v.n.log, zerolog.InfoLevel, event.EndpointRemoved).Str("Endpoint", string(id)).Bool("Deferred", deferred).Send()
	v.n.paths.update(now, relay.Removed{ID: id})
	v.n.crashes.update(now, interruption.Removed{ID: id})
	v.n.streams.update(now, stream.Removed{ID: id})
	v.n.slots.update(now, pool.EndpointRemoved{ID: id})
}

// notePassedOn records that the other parts of this host know every change made before sentAt. mu must be held.
func (v *storeView) notePassedOn(sentAt time.Time) {
	if sentAt.After(v.passedOnAt) {
		v.passedOnAt = sentAt
	}
}

// awaitChangesBefore waits until all parts of this host know every change of the store from before t, and reports whether they do. It gives up
// after confirmationTimeout, when the copy is stale, or when ctx ends.
func (v *storeView) awaitChangesBefore(ctx context.Context, t time.Time) bool {
	v.confirmationWaiters.Add(1)
	defer v.confirmationWaiters.Add(-1)
	for waited := time.Duration(0); waited < confirmationTimeout; waited += confirmationPollInterval {
		if v.knowsChangesBefore(t) {
			return true
		}
		if v.age(timer.BootClock()) > staleAge || !timer.Sleep(ctx, confirmationPollInterval) {
			return false
		}
	}
	return false
}

func (v *storeView) knowsChangesBefore(t time.Time) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return !v.passedOnAt.Before(t)
}
