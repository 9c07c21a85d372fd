package host

import (
	"context"
	"slices"
	"time"

	"github.com/looplab/fsm"
)

// States of a host in a view.
const (
	StateLive    = "Live"
	StateSuspect = "Suspect"
	StateLeaving = "Leaving"
	StateGone    = "Gone"
)

const (
	eventHeard   = "heard"
	eventMissed  = "missed"
	eventLeave   = "leave"
	eventRemove  = "remove"
	eventRestore = "restore"
)

// ViewConfig says how a view treats its sources.
type ViewConfig struct {
	Self Record
	// ElectorGrace is how long a change of the list must stand before the elector view follows it.
	ElectorGrace time.Duration
	// HearsayImmunity is how long a host that was heard directly is kept live against reports by others.
	HearsayImmunity time.Duration
}

// View joins the platform's list with direct observation. It is not safe for concurrent use.
type View struct {
	cfg      ViewConfig
	members  map[ID]*member
	electors map[ID]Record
	// changing holds when a difference between list and elector view was first seen.
	changing     map[ID]time.Time
	lastAddition time.Time
	listed       bool
	// reach holds whether the last peers asked have answered, the latest last.
	reach []bool
}

type member struct {
	record    Record
	machine   *fsm.FSM
	lastHeard time.Time
	// left is the incarnation that said it is leaving: what it sent before may arrive after.
	left Incarnation
}

// NewView returns a view that holds only the node itself.
func NewView(cfg ViewConfig) *View {
	v := &View{
		cfg:      cfg,
		members:  make(map[ID]*member),
		electors: make(map[ID]Record),
		changing: make(map[ID]time.Time),
	}
	v.members[cfg.Self.ID] = newMember(cfg.Self)
	return v
}

func newMember(record Record) *member {
	return &member{record: record, machine: fsm.NewFSM(StateLive, fsm.Events{
		{Name: eventHeard, Src: []string{StateSuspect, StateGone}, Dst: StateLive},
		{Name: eventMissed, Src: []string{StateLive}, Dst: StateSuspect},
		{Name: eventLeave, Src: []string{StateLive, StateSuspect}, Dst: StateLeaving},
		{Name: eventRestore, Src: []string{StateLeaving}, Dst: StateLive},
		{Name: eventRemove, Src: []string{StateLive, StateSuspect, StateLeaving}, Dst: StateGone},
	}, nil)}
}

// Event is something that a view learns.
type Event interface{ viewEvent() }

// ListPublished is the platform's list as read.
type ListPublished struct{ Hosts []Record }

// Heard says that a host answered this node.
type Heard struct {
	ID ID
	// Incarnation is the process that was heard.
	Incarnation Incarnation
	// Leaving is what the host says of itself.
	Leaving bool
	// Asked is set when this node asked it, as against being asked.
	Asked bool
}

// Missed says that a host did not answer this node.
type Missed struct {
	ID ID
	// Asked is set for a heartbeat, as against a request that broke.
	Asked bool
}

// Reported says that another node could not reach a host.
type Reported struct{ ID ID }

// Ticked lets time pass.
type Ticked struct{}

func (ListPublished) viewEvent() {}
func (Heard) viewEvent()         {}
func (Missed) viewEvent()        {}
func (Reported) viewEvent()      {}
func (Ticked) viewEvent()        {}

// Changed is a host's move from one state to another.
type Changed struct {
	ID       ID
	From, To string
}

// Update applies one event and returns the moves that follow from it.
func (v *View) Update(now time.Time, event Event) []Changed {
	var changes []Changed
	switch e := event.(type) {
	case ListPublished:
		changes = v.applyList(now, e.Hosts)
	case Heard:
		v.noteReach(e.Asked, true)
		changes = v.heard(now, e)
	case Missed:
		v.noteReach(e.Asked, false)
		changes = v.fire(e.ID, eventMissed)
	case Reported:
		if m := v.members[e.ID]; m != nil && now.Sub(m.lastHeard) > v.cfg.HearsayImmunity {
			changes = v.fire(e.ID, eventMissed)
		}
	case Ticked:
	}
	v.ageElectors(now)
	return changes
}

func (v *View) applyList(now time.Time, hosts []Record) []Changed {
	var changes []Changed
	seen := make(map[ID]bool, len(hosts))
	for _, record := range hosts {
		seen[record.ID] = true
		changes = append(changes, v.applyRecord(now, record)...)
	}
	for id := range v.members {
		if !seen[id] && id != v.cfg.Self.ID {
			changes = append(changes, v.fire(id, eventRemove)...)
		}
	}
	v.seedElectors()
	return changes
}

func (v *View) applyRecord(now time.Time, record Record) []Changed {
	m := v.members[record.ID]
	if m == nil || m.machine.Current() == StateGone {
		m = newMember(record)
		m.lastHeard = now
		v.members[record.ID] = m
	}
	m.record = record
	switch {
	case record.Leaving:
		return v.fire(record.ID, eventLeave)
	case m.left != "":
		return nil
	}
	return v.fire(record.ID, eventRestore)
}

// seedElectors takes the first list as it stands: there is no older view to differ from.
func (v *View) seedElectors() {
	if v.listed {
		return
	}
	v.listed = true
	for id, record := range v.listedRecords() {
		v.electors[id] = record
	}
}

func (v *View) heard(now time.Time, e Heard) []Changed {
	m := v.members[e.ID]
	if m == nil {
		return nil
	}
	m.lastHeard = now
	switch {
	case e.Leaving:
		m.left = e.Incarnation
		return v.fire(e.ID, eventLeave)
	case m.machine.Current() == StateGone:
		return nil
	case m.machine.Current() == StateLeaving && m.left != "" && m.left != e.Incarnation && !m.record.Leaving:
		m.left = ""
		return v.fire(e.ID, eventRestore)
	}
	return v.fire(e.ID, eventHeard)
}

func (v *View) fire(id ID, event string) []Changed {
	m := v.members[id]
	if m == nil || (id == v.cfg.Self.ID && event != eventLeave) || !m.machine.Can(event) {
		return nil
	}
	from := m.machine.Current()
	if err := m.machine.Event(context.Background(), event); err != nil {
		return nil
	}
	return []Changed{{ID: id, From: from, To: m.machine.Current()}}
}

// maxAdditions is how many hosts may join the elector view in one grace period: two views that follow the same list
// some seconds apart then differ by no more, and quorums of four of five still meet.
const maxAdditions = 2

// ageElectors lets a listed change into the elector view once it has stood for the grace period.
// A host that is no longer listed is gone and can't vouch, so that any number may leave at once.
func (v *View) ageElectors(now time.Time) {
	listed := v.listedRecords()
	for id := range v.changing {
		_, isListed := listed[id]
		_, isElector := v.electors[id]
		if isListed == isElector {
			delete(v.changing, id)
		}
	}
	for id := range v.electors {
		if _, ok := listed[id]; !ok && v.stood(now, id) {
			delete(v.electors, id)
			delete(v.changing, id)
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
		if _, ok := v.electors[id]; !ok && v.stood(now, id) {
			ready = append(ready, id)
		}
	}
	slices.Sort(ready)
	for _, id := range ready[:min(maxAdditions, len(ready))] {
		v.electors[id] = listed[id]
		delete(v.changing, id)
		v.lastAddition = now
	}
}

func (v *View) stood(now time.Time, id ID) bool {
	since, ok := v.changing[id]
	if !ok {
		v.changing[id] = now
		return false
	}
	return now.Sub(since) >= v.cfg.ElectorGrace
}

// listedRecords returns the hosts that the platform lists, leaving ones included.
func (v *View) listedRecords() map[ID]Record {
	records := make(map[ID]Record, len(v.members))
	for id, m := range v.members {
		if m.machine.Current() != StateGone {
			records[id] = m.record
		}
	}
	return records
}

// reachSample is how many of the last heartbeats tell whether the node is cut off.
const reachSample = 16

func (v *View) noteReach(asked, answered bool) {
	if !asked {
		return
	}
	v.reach = append(v.reach, answered)
	most := min(reachSample, max(1, len(v.members)-1))
	v.reach = v.reach[max(0, len(v.reach)-most):]
}

// Connected reports whether at least half of the last peers asked have answered. A node that is not may hold a list that
// the others have left behind, and must not vouch for keys.
func (v *View) Connected() bool {
	missed := 0
	for _, answered := range v.reach {
		if !answered {
			missed++
		}
	}
	return 2*missed <= len(v.reach)
}

// State returns a host's state, StateGone for one that the view doesn't know.
func (v *View) State(id ID) string {
	if m := v.members[id]; m != nil {
		return m.machine.Current()
	}
	return StateGone
}

// Record returns what the view holds of a host.
func (v *View) Record(id ID) (Record, bool) {
	if m := v.members[id]; m != nil {
		return m.record, true
	}
	return Record{}, false
}

// Live returns the hosts that get new work, in order of ID. An empty region means all regions.
func (v *View) Live(region Region) []ID {
	return v.collect(func(m *member) bool {
		return m.machine.Current() == StateLive && (region == "" || m.record.Region == region)
	})
}

// Peers returns every other host that the platform lists, in order of ID.
func (v *View) Peers() []ID {
	return v.collect(func(m *member) bool {
		return m.machine.Current() != StateGone && m.record.ID != v.cfg.Self.ID
	})
}

// Electors returns the slow view of a region's hosts, in order of ID.
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

func (v *View) collect(keep func(*member) bool) []ID {
	ids := make([]ID, 0, len(v.members))
	for id, m := range v.members {
		if keep(m) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
