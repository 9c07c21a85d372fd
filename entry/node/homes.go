package node

import (
	"context"
	"slices"

	"github.com/rs/zerolog"

	"balsamknot.org/balsamknot/event"
	"balsamknot.org/entry/connection"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/pool"
	"balsamknot.org/fleet/site"
)

// openDataCentres returns the data centres among those of a service in which a request may run: those in its homes, and of these, if
// onlyOpen, those that are not evacuated. If that is none, the reason is the one to refuse the request.
func openDataCentres(all []host.DataCentre, inHomes, evacuated func(host.DataCentre) bool, onlyOpen bool) ([]host.DataCentre, pool.Reason) {
	homes := slices.DeleteFunc(slices.Clone(all), func(dc host.DataCentre) bool { return !inHomes(dc) })
	if len(homes) == 0 {
		return nil, pool.OutsideHomes
	}
	if !onlyOpen {
		return homes, 0
	}
	return slices.DeleteFunc(homes, evacuated), pool.Evacuated
}

// bindDataCentres restricts a slot request to the data centres in which its request may run, if the service also has endpoints elsewhere. It
// returns false, and the reason, if there is no such data centre.
func (n *Node) bindDataCentres(q *request, e *pool.SlotRequested) (pool.Reason, bool) {
	if !q.homes.Bound && !q.metEvacuation {
		return 0, true
	}
	all := n.slots.dataCentres(q.service)
	if len(all) == 0 {
		return 0, true
	}
	open, reason := openDataCentres(all, func(dc host.DataCentre) bool { return n.inHomes(q, dc) }, n.slots.isEvacuated, q.metEvacuation)
	if len(open) == 0 {
		return reason, false
	}
	if len(open) < len(all) {
		e.DataCentres = open
	}
	return 0, true
}

// inHomes reports whether a request may run in a data centre.
func (n *Node) inHomes(q *request, dc host.DataCentre) bool { return q.homes.Allow(n.cfg.RegionOf(dc)) }

// connectionContext returns the context in which a request is sent: its body passes through no host outside of its homes but this one.
func (n *Node) connectionContext(q *request) context.Context {
	if !q.homes.Bound {
		return q.r.Context()
	}
	return connection.WithRelays(q.r.Context(), func(id host.ID) bool { return n.inHomes(q, n.membership.dataCentreOf(id)) })
}

// dataCentres returns the data centres with registered endpoints of a service.
func (s *slotManager) dataCentres(service site.ServiceName) []host.DataCentre {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.DataCentres(service)
}

// dataCentreOf returns the data centre of a host; empty if the host is not known.
func (m *membership) dataCentreOf(id host.ID) host.DataCentre {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.DataCentre(id)
}

// maxHomeless is how many routes, and how many workspaces, a log line names.
const maxHomeless = 10

// logHomeless logs the routes and workspaces of a set whose homes contain no region that this host knows, so that their requests are refused.
func (n *Node) logHomeless(set *site.Set) {
	known := n.cfg.KnownRegions()
	routes, workspaces := set.Homeless(known)
	if len(routes)+len(workspaces) == 0 {
		return
	}
	event.LogText(n.log, zerolog.WarnLevel, event.HomesUnknown).Int64("Version", int64(set.Version)).
		Int("Routes", len(routes)).Int("Workspaces", len(workspaces)).
		Strs("FirstRoutes", firstNames(routes)).Strs("FirstWorkspaces", firstNames(workspaces)).Send()
}

func firstNames[T ~string](names []T) []string {
	first := make([]string, 0, maxHomeless)
	for _, name := range names[:min(len(names), maxHomeless)] {
		first = append(first, string(name))
	}
	return first
}
