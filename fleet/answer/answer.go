// Package answer puts the frames of an answer together, so that a caller gets its own answer and all of it.
package answer

import "fmt"

// TryID names one try of a request. Frames of any other try are dropped.
type TryID string

// Position counts the parts of an answer from 1; 0 is the head.
type Position uint64

// Kind is what a frame carries.
type Kind int

// Kinds of frames.
const (
	// Head carries status and headers.
	Head Kind = iota
	// Data carries one part of the body.
	Data
	// End is the endpoint's own end marker.
	End
)

// Frame is what the assembly needs to know of a frame.
type Frame struct {
	Try      TryID
	Kind     Kind
	Position Position
	// Parts is how many parts a data frame holds, from Position on.
	Parts int
}

// Action says what to do with a frame.
type Action int

// Actions on a frame.
const (
	// Drop ignores the frame: it belongs to another try or repeats what was delivered.
	Drop Action = iota
	// Deliver hands on the parts from Skip on.
	Deliver
	// Complete ends the answer: it is whole.
	Complete
	// Broken means that a part is missing; the try has to be resumed.
	Broken
)

// Step is the decision on a frame.
type Step struct {
	Action Action
	// Skip is how many leading parts of the frame were delivered before.
	Skip int
}

// Assembly is the state of one answer. It is not safe for concurrent use.
type Assembly struct {
	try      TryID
	headSeen bool
	last     Position
	complete bool
	dropped  int
}

// Begin makes try the current one. Delivered parts stay delivered.
func (a *Assembly) Begin(try TryID) {
	a.try = try
}

// Update decides on one frame.
func (a *Assembly) Update(f Frame) Step {
	if f.Try != a.try || a.complete {
		a.dropped++
		return Step{Action: Drop}
	}
	switch f.Kind {
	case Head:
		return a.head()
	case Data:
		return a.data(f)
	case End:
		return a.end(f)
	}
	return Step{Action: Drop}
}

func (a *Assembly) head() Step {
	if a.headSeen {
		a.dropped++
		return Step{Action: Drop}
	}
	a.headSeen = true
	return Step{Action: Deliver}
}

func (a *Assembly) data(f Frame) Step {
	if !a.headSeen || f.Position > a.last+1 {
		return Step{Action: Broken}
	}
	end := f.Position + Position(f.Parts) - 1
	if f.Parts == 0 || end <= a.last {
		a.dropped++
		return Step{Action: Drop}
	}
	skip := int(a.last + 1 - f.Position)
	a.last = end
	return Step{Action: Deliver, Skip: skip}
}

// end completes the answer only when the end marker follows directly on the last part.
func (a *Assembly) end(f Frame) Step {
	if !a.headSeen || f.Position != a.last+1 {
		return Step{Action: Broken}
	}
	a.complete = true
	return Step{Action: Complete}
}

// Last returns the position of the last part delivered.
func (a *Assembly) Last() Position { return a.last }

// HeadSeen reports whether the head was delivered.
func (a *Assembly) HeadSeen() bool { return a.headSeen }

// Whole reports whether the answer is complete.
func (a *Assembly) Whole() bool { return a.complete }

// Dropped counts the frames that were ignored.
func (a *Assembly) Dropped() int { return a.dropped }

// NextTry returns the name of a request's n-th try.
func NextTry(call string, n int) TryID {
	return TryID(fmt.Sprintf("%s/%d", call, n))
}
