package stream

import (
	"errors"
	"strconv"
)

// EventID is the ID that an event of a stream carries; empty if it has none. The IDs of a stream increase.
type EventID string

var (
	// ErrRepeated means that an event does not come after the position of its stream: the caller has it, or later ones, already.
	ErrRepeated = errors.New("the event does not come after the stream's position")
	// ErrSkipped means that a run that goes on with a stream begins after the event that is next.
	ErrSkipped = errors.New("the events after the stream's position are missing")
)

// Position is where a caller's stream stands, over all runs that bring it. It never goes back, and accepts only events that go on from it.
// It is not safe for concurrent use.
type Position struct {
	// last is the ID of the newest event that has one, empty before the first.
	last EventID
	// unnamed is true if the caller got data after that event without an ID, so that no run can be asked for what follows.
	unnamed bool
	// runBegun is true once the present run has brought an event with an ID.
	runBegun bool
	// steps is how many events followed another one of the same run, and gaps how many of these did not have the next number.
	steps, gaps int
}

// NewPosition returns the position of a stream whose caller has the events up to the one with an ID; empty for a new stream.
func NewPosition(after EventID) Position { return Position{last: after} }

// Last returns the ID of the newest event that has one, empty if there is none.
func (p *Position) Last() EventID { return p.last }

// Known reports whether a run can go on with the stream after Last without leaving data out or repeating it.
func (p *Position) Known() bool { return !p.unnamed }

// BeginRun notes that the next events come from another run.
func (p *Position) BeginRun() { p.runBegun = false }

// Check returns nil if an event with an ID may come next, and otherwise ErrRepeated or ErrSkipped. Whether the first event of a run leaves
// others out can be told only if the IDs are consecutive numbers: consecutive says so where the stream has not shown it yet.
func (p *Position) Check(id EventID, consecutive bool) error {
	if id == "" || p.last == "" {
		return nil
	}
	next, numbered := p.distance(id)
	switch {
	case id == p.last, numbered && next <= 0:
		return ErrRepeated
	case numbered && next > 1 && !p.runBegun && p.consecutive(consecutive):
		return ErrSkipped
	}
	return nil
}

// consecutive returns whether the IDs are consecutive numbers, by the stream's own if it has shown that.
func (p *Position) consecutive(byOthers bool) bool {
	if p.steps > 0 {
		return p.gaps == 0
	}
	return byOthers
}

// Advance records an event that passed Check and that the caller gets. hasData is false if it only holds comments.
func (p *Position) Advance(id EventID, hasData bool) {
	if id == "" {
		p.unnamed = p.unnamed || hasData
		return
	}
	if distance, numbered := p.distance(id); numbered && p.runBegun {
		p.steps++
		if distance != 1 {
			p.gaps++
		}
	}
	p.last, p.unnamed, p.runBegun = id, false, true
}

// distance returns by how much the number of an ID exceeds that of the last one; false if one of them is no number.
func (p *Position) distance(id EventID) (int64, bool) {
	last, err := strconv.ParseInt(string(p.last), 10, 64)
	if err != nil {
		return 0, false
	}
	number, err := strconv.ParseInt(string(id), 10, 64)
	return number - last, err == nil
}

// consecutiveStreams is how many streams in a row must have had consecutive numbers before those of others are taken for such.
const consecutiveStreams = 16

// Numbering learns from the streams of a service whether the IDs of its events are consecutive numbers. The zero value knows nothing. It is
// not safe for concurrent use.
type Numbering struct{ inARow int }

// Note takes a stream into account that has ended.
func (n *Numbering) Note(p Position) {
	switch {
	case p.gaps > 0:
		n.inARow = 0
	case p.steps > 0:
		n.inARow = min(n.inARow+1, consecutiveStreams)
	}
}

// Consecutive reports whether the IDs are consecutive numbers. One stream with gaps ends that until as many others have shown it again.
func (n *Numbering) Consecutive() bool { return n.inARow >= consecutiveStreams }
