package relay

import (
	"slices"

	"balsamknot.org/fleet/endpoint"
)

func (t *Table) register(r endpoint.Record) {
	if old, known := t.addresses[r.Instance.ID]; known && old != r.Address {
		t.remove(r.Instance.ID)
	}
	t.addresses[r.Instance.ID] = r.Address
	p := t.paths[r.Address]
	switch {
	case p == nil:
		t.begin(r.Address, r, nil)
	case p.record.Instance == r.Instance:
		p.record = r
	case p.record.Instance.ID == r.Instance.ID:
		t.begin(r.Address, r, p.others)
	case p.record.Service == r.Service:
		delete(t.addresses, p.record.Instance.ID)
		t.begin(r.Address, r, p.without(r.Instance.ID))
	default:
		p.others = append(p.without(r.Instance.ID), r)
	}
}

// begin replaces the path to an address by a new one.
func (t *Table) begin(address string, r endpoint.Record, others []endpoint.Record) {
	t.paths[address] = &path{record: r, others: others}
	t.gone = slices.DeleteFunc(t.gone, func(a string) bool { return a == address })
}

// without returns the later registrations at the address but that of an endpoint.
func (p *path) without(id endpoint.ID) []endpoint.Record {
	return slices.DeleteFunc(slices.Clone(p.others), func(r endpoint.Record) bool { return r.Instance.ID == id })
}

// remove removes the registration of an endpoint, and the path to its address if there is no other one.
func (t *Table) remove(id endpoint.ID) {
	address := t.addresses[id]
	delete(t.addresses, id)
	p := t.paths[address]
	switch {
	case p == nil:
	case p.record.Instance.ID != id:
		p.others = p.without(id)
	case len(p.others) > 0:
		t.begin(address, p.others[0], p.others[1:])
	default:
		delete(t.paths, address)
		t.gone = slices.DeleteFunc(t.gone, func(a string) bool { return a == address })
	}
}

// Endpoint returns the endpoint whose path an address is; empty if there is none.
func (t *Table) Endpoint(address string) endpoint.ID {
	if p := t.paths[address]; p != nil {
		return p.record.Instance.ID
	}
	return ""
}

// IsRegistered reports whether an endpoint is registered at an address.
func (t *Table) IsRegistered(id endpoint.ID, address string) bool {
	return address != "" && t.addresses[id] == address
}
