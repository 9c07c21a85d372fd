package host

import (
	"context"
	"slices"
	"time"

	"github.com/looplab/fsm"
)

// States of a host in a view. A live host gets new work. A suspect host did not answer this host, or another host reported it
// as unreachable. A leaving host shuts down or is about to be removed. A host is gone when the platform no longer lists it.
const (
	StateLive    = "Live"
	StateSuspect = "Suspect"
	StateLeaving = "Leaving"
	StateGone    = "Gone"
)

// Triggers of a member's state machine.
const (
	eventContactSucceeded = "heard"
	eventContactFailed    = "missed"
	eventLeave            = "leave"
	eventRemove           = "remove"
	eventRestore          = "restore"
)

// ViewConfig configures a View.
type ViewConfig struct {
	Self Record
	// ElectorGrace is how long a host must be in the platform's list before it becomes an elector, or missing from the list before
	// it stops being one.
	ElectorGrace time.Duration
	// DirectContactGrace is the time after a message from a host in which reports of other hosts that it is unreachable are
	// ignored.
	DirectContactGrace time.Duration
}

// View is one host's view of the fleet. It tracks two sets of hosts: those that get work, which follow failures at once, and
// the electors, which follow only lasting changes of the platform's list. It is not safe for concurrent use.
type View struct {
	cfg      ViewConfig
	members  map[ID]*member
	electors map[ID]Record
	// differsSince holds, for each host that is only listed or only an elector, the time at which this was first observed.
	differsSince map[ID]time.Time
	lastAddition time.Time
	listReceived bool
	// heartbeats holds whether each of the latest heartbeats was answered, newest last.
	heartbeats []bool
}

type member struct {
	record      Record
	state       *fsm.FSM
	lastContact time.Time
	// leavingIncarnation is the process that announced that it leaves, empty if none did. Its earlier messages may arrive
	// later and must not make the host live again.
	leavingIncarnation Incarnation
}

// NewView returns a view that holds only the host itself, as live.
func NewView(cfg ViewConfig) *View {
	v := &View{
		cfg:          cfg,
		members:      make(map[ID]*member),
		electors:     make(map[ID]Record),
		differsSince: make(map[ID]time.Time),
	}
	v.members[cfg.Self.ID] = newMember(cfg.Self)
	return v
}

func newMember(record Record) *member {
	return &member{record: record, state: fsm.NewFSM(StateLive, fsm.Events{
		{Name: eventContactSucceeded, Src: []string{StateSuspect, StateGone}, Dst: StateLive},
		{Name: eventContactFailed, Src: []string{StateLive}, Dst: StateSuspect},
		{Name: eventLeave, Src: []string{StateLive, StateSuspect}, Dst: StateLeaving},
		{Name: eventRestore, Src: []string{StateLeaving}, Dst: StateLive},
		{Name: eventRemove, Src: []string{StateLive, StateSuspect, StateLeaving}, Dst: StateGone},
	}, nil)}
}

// Event is an input of View.Update.
type Event interface{ viewEvent() }

// ListReceived carries the complete list of hosts that was last read from the platform.
type ListReceived struct{ Hosts []Record }

// MessageReceived reports that a message from another host arrived, or that this host itself is leaving.
type MessageReceived struct {
	ID ID
	// Incarnation is the process that sent it.
	Incarnation Incarnation
	// Leaving is true when the sender announces that it leaves.
	Leaving bool
	// HeartbeatReply is true for the reply to a heartbeat of this host, false for a message that the other host initiated.
	HeartbeatReply bool
}

// ContactFailed reports that another host did not answer this one.
type ContactFailed struct {
	ID ID
	// Heartbeat is true for an unanswered heartbeat, false for a call that failed.
	Heartbeat bool
}

// UnreachableReported carries another host's report that it could not reach the host with this ID.
type UnreachableReported struct{ ID ID }

// Tick changes nothing by itself, but lets Update apply changes whose grace period has ended.
type Tick struct{}

func (ListReceived) viewEvent()        {}
func (MessageReceived) viewEvent()     {}
func (ContactFailed) viewEvent()       {}
func (UnreachableReported) viewEvent() {}
func (Tick) viewEvent()                {}

// Transition is a host's change of state; From and To are State constants.
type Transition struct {
	ID       ID
	From, To string
}

// Update applies one event at time now, updates the electors and returns the changes of state.
func (v *View) Update(now time.Time, event Event) []Transition {
	var transitions []Transition
	switch e := event.(type) {
	case ListReceived:
		transitions = v.applyList(now, e.Hosts)
	case MessageReceived:
		v.recordHeartbeat(e.HeartbeatReply, true)
		transitions = v.applyMessage(now, e)
	case ContactFailed:
		v.recordHeartbeat(e.Heartbeat, false)
		transitions = v.fire(e.ID, eventContactFailed)
	case UnreachableReported:
		if m := v.members[e.ID]; m != nil && now.Sub(m.lastContact) > v.cfg.DirectContactGrace {
			transitions = v.fire(e.ID, eventContactFailed)
		}
	case Tick:
	}
	v.updateElectors(now)
	return transitions
}

func (v *View) applyList(now time.Time, hosts []Record) []Transition {
	var transitions []Transition
	seen := make(map[ID]bool, len(hosts))
	for _, record := range hosts {
		seen[record.ID] = true
		transitions = append(transitions, v.applyRecord(now, record)...)
	}
	for id := range v.members {
		if !seen[id] && id != v.cfg.Self.ID {
			transitions = append(transitions, v.fire(id, eventRemove)...)
		}
	}
	v.seedElectors()
	return transitions
}

func (v *View) applyRecord(now time.Time, record Record) []Transition {
	m := v.members[record.ID]
	if m == nil || m.state.Current() == StateGone {
		m = newMember(record)
		m.lastContact = now
		v.members[record.ID] = m
	}
	m.record = record
	switch {
	case record.Leaving:
		return v.fire(record.ID, eventLeave)
	case m.leavingIncarnation != "":
		return nil
	}
	return v.fire(record.ID, eventRestore)
}

// seedElectors makes all hosts of the first list electors at once, since there is no earlier set from which they could differ.
func (v *View) seedElectors() {
	if v.listReceived {
		return
	}
	v.listReceived = true
	for id, record := range v.listedRecords() {
		v.electors[id] = record
	}
}

func (v *View) applyMessage(now time.Time, e MessageReceived) []Transition {
	m := v.members[e.ID]
	if m == nil {
		return nil
	}
	m.lastContact = now
	switch {
	case e.Leaving:
		m.leavingIncarnation = e.Incarnation
		return v.fire(e.ID, eventLeave)
	case m.state.Current() == StateGone:
		return nil
	case m.state.Current() == StateLeaving && m.leavingIncarnation != "" && m.leavingIncarnation != e.Incarnation && !m.record.Leaving:
		m.leavingIncarnation = ""
		return v.fire(e.ID, eventRestore)
	}
	return v.fire(e.ID, eventContactSucceeded)
}

// fire applies a trigger to a host's state machine and returns the change of state, if any. The state of this host
// itself changes only by eventLeave.
func (v *View) fire(id ID, trigger string) []Transition {
	m := v.members[id]
	if m == nil || (id == v.cfg.Self.ID && trigger != eventLeave) || !m.state.Can(trigger) {
		return nil
	}
	from := m.state.Current()
	if err := m.state.Event(context.Background(), trigger); err != nil {
		return nil
	}
	return []Transition{{ID: id, From: from, To: m.state.Current()}}
}

// maxAdditions is how many hosts may become electors in one grace period. Views that follow the same list some seconds
// apart then differ by at most two hosts, so that quorums of four of five still intersect.
const maxAdditions = 2

// updateElectors applies a change of the list to the electors once it has lasted for the grace period. The number of removals
// is not limited: a host that is no longer listed does not run any more and cannot vote.
func (v *View) updateElectors(now time.Time) {
	listed := v.listedRecords()
	for id := range v.differsSince {
		_, isListed := listed[id]
		_, isElector := v.electors[id]
		if isListed == isElector {
			delete(v.differsSince, id)
		}
	}
	for id := range v.electors {
		if _, ok := listed[id]; !ok && v.differedForGrace(now, id) {
			delete(v.electors, id)
			delete(v.differsSince, id)
		}
	}
	v.addElectors(now, listed)
}

func (v *View) addElectors(now time.Time, listed map[ID]Record) {
	if !v.lastAddition.IsZero() && now.Sub(v.lastAddition) < v.cfg.ElectorGrace {
		return
	}
	var ready []ID
	for id := range listed {
		if _, ok := v.electors[id]; !ok && v.differedForGrace(now, id) {
			ready = append(ready, id)
		}
	}
	slices.Sort(ready)
	for _, id := range ready[:min(maxAdditions, len(ready))] {
		v.electors[id] = listed[id]
		delete(v.differsSince, id)
		v.lastAddition = now
	}
}

// differedForGrace reports whether the host has been listed without being an elector, or an elector without being listed, for
// the grace period. The period starts with the first call.
func (v *View) differedForGrace(now time.Time, id ID) bool {
	since, ok := v.differsSince[id]
	if !ok {
		v.differsSince[id] = now
		return false
	}
	return now.Sub(since) >= v.cfg.ElectorGrace
}

// listedRecords returns the hosts that the platform lists, including those that are leaving.
func (v *View) listedRecords() map[ID]Record {
	records := make(map[ID]Record, len(v.members))
	for id, m := range v.members {
		if m.state.Current() != StateGone {
			records[id] = m.record
		}
	}
	return records
}

// heartbeatSample is how many of the latest heartbeats decide whether the host is connected; in a fleet with fewer peers
// the sample is one heartbeat a peer.
const heartbeatSample = 16

func (v *View) recordHeartbeat(isHeartbeat, answered bool) {
	if !isHeartbeat {
		return
	}
	v.heartbeats = append(v.heartbeats, answered)
	limit := min(heartbeatSample, max(1, len(v.members)-1))
	v.heartbeats = v.heartbeats[max(0, len(v.heartbeats)-limit):]
}

// Connected reports whether at least half of the latest heartbeats were answered. A host that is not connected may have an
// outdated list of hosts, and must not vote on keys.
func (v *View) Connected() bool {
	missed := 0
	for _, answered := range v.heartbeats {
		if !answered {
			missed++
		}
	}
	return 2*missed <= len(v.heartbeats)
}

// State returns a host's state; StateGone if the host is unknown.
func (v *View) State(id ID) string {
	if m := v.members[id]; m != nil {
		return m.state.Current()
	}
	return StateGone
}

// Record returns the latest record of a host, also if it is gone, and false if the host is unknown.
func (v *View) Record(id ID) (Record, bool) {
	if m := v.members[id]; m != nil {
		return m.record, true
	}
	return Record{}, false
}

// Live returns the live hosts of a region, which get new work, in order of ID. An empty region means all regions.
func (v *View) Live(region Region) []ID {
	return v.selectIDs(func(m *member) bool {
		return m.state.Current() == StateLive && (region == "" || m.record.Region == region)
	})
}

// Peers returns the other hosts that the platform lists, in whatever state, in order of ID.
func (v *View) Peers() []ID {
	return v.selectIDs(func(m *member) bool {
		return m.state.Current() != StateGone && m.record.ID != v.cfg.Self.ID
	})
}

// Electors returns the hosts of a region that may vote on keys, in order of ID. An empty region means all regions.
func (v *View) Electors(region Region) []ID {
	var ids []ID
	for id, record := range v.electors {
		if region == "" || record.Region == region {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (v *View) selectIDs(include func(*member) bool) []ID {
	ids := make([]ID, 0, len(v.members))
	for id, m := range v.members {
		if include(m) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
