package interruption

import (
	"slices"
	"time"

	"balsamknot.org/fleet/endpoint"
)

// revive takes the end of an incarnation back that another endpoint replaced, and that answers so long after it that it wrote the answer later.
func (t *Tracker) revive(now time.Time, instance endpoint.Instance, in *incarnation) {
	if t.replaced[instance.ID] != instance || now.Sub(in.endedAt) <= revivalDelay {
		return
	}
	in.endedAt = time.Time{}
	delete(t.replaced, instance.ID)
	t.place(instance, in.record.Address)
}

// place records an incarnation as the last one that was registered, for its endpoint and at its address.
func (t *Tracker) place(instance endpoint.Instance, address string) {
	t.registered[instance.ID] = instance
	if !slices.Contains(t.byAddress[address], instance) {
		t.byAddress[address] = append(t.byAddress[address], instance)
	}
}

// unplace is the opposite of place.
func (t *Tracker) unplace(instance endpoint.Instance, address string) {
	delete(t.registered, instance.ID)
	others := slices.DeleteFunc(t.byAddress[address], func(other endpoint.Instance) bool { return other == instance })
	if len(others) == 0 {
		delete(t.byAddress, address)
		return
	}
	t.byAddress[address] = others
}

// endPredecessors ends the incarnations that were registered at an address before one that answers there.
func (t *Tracker) endPredecessors(now time.Time, instance endpoint.Instance, address string) []Command {
	at := slices.Index(t.byAddress[address], instance)
	if at <= 0 {
		return nil
	}
	var commands []Command
	for _, other := range slices.Clone(t.byAddress[address][:at]) {
		commands = append(commands, t.replace(now, other)...)
	}
	return commands
}

// replace ends an incarnation, for another endpoint at its address.
func (t *Tracker) replace(now time.Time, instance endpoint.Instance) []Command {
	t.replaced[instance.ID] = instance
	return t.end(now, instance)
}

// register notes a registration. It ends the earlier incarnation of the endpoint and any other endpoint of its service at the same address. That of another
// service is no evidence until it answers: an address is assigned anew after the end of its endpoint, but an entry may also come from another
// writer.
func (t *Tracker) register(now time.Time, r endpoint.Record) []Command {
	var commands []Command
	if earlier, known := t.registered[r.Instance.ID]; known && earlier != r.Instance {
		commands = append(commands, t.end(now, earlier)...)
	}
	for _, other := range slices.Clone(t.byAddress[r.Address]) {
		if other != r.Instance && t.incarnations[other].record.Service == r.Service {
			commands = append(commands, t.replace(now, other)...)
		}
	}
	delete(t.replaced, r.Instance.ID)
	in := t.incarnations[r.Instance]
	if in == nil {
		in = &incarnation{}
		t.incarnations[r.Instance] = in
	}
	if in.record.Address != r.Address {
		t.unplace(r.Instance, in.record.Address)
	}
	in.record, in.endedAt = r, time.Time{}
	t.place(r.Instance, r.Address)
	return commands
}

// end notes that an incarnation is no longer registered. It does nothing for one that is not registered.
func (t *Tracker) end(now time.Time, instance endpoint.Instance) []Command {
	in := t.incarnations[instance]
	if in == nil || t.registered[instance.ID] != instance {
		return nil
	}
	t.unplace(instance, in.record.Address)
	in.endedAt = now
	t.ended = append(t.ended, instance)
	return t.lost(instance)
}

// remove notes the removal of a registration. It is no evidence against an endpoint that still listened after the interruption.
func (t *Tracker) remove(now time.Time, instance endpoint.Instance) []Command {
	in := t.incarnations[instance]
	if in == nil {
		return nil
	}
	commands := t.drop(in, reasonListens, func(run pendingRun) bool { return run.listening })
	return append(commands, t.end(now, instance)...)
}

// forgetEnded deletes the incarnations that ended more than endedMemory ago.
func (t *Tracker) forgetEnded(now time.Time) {
	for len(t.ended) > 0 {
		in := t.incarnations[t.ended[0]]
		if in != nil && !in.endedAt.IsZero() {
			if now.Sub(in.endedAt) <= endedMemory {
				return
			}
			delete(t.incarnations, t.ended[0])
		}
		t.ended = t.ended[1:]
	}
}
