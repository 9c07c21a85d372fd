// Package answer reassembles an answer from the frames of several tries. It guarantees that a caller gets only parts of its
// own answer, each once and in order, and that a truncated answer is not taken for a complete one.
package answer

import "fmt"

// TryID identifies one try of a request. Frames of any other try are dropped.
type TryID string

// Position numbers the parts of an answer from 1; 0 is the head. The end marker has the position after the last part.
type Position uint64

// Kind is the type of a frame's content.
type Kind int

// Kinds of frames.
const (
	// Head carries the HTTP status and headers.
	Head Kind = iota
	// Data carries consecutive parts of the body.
	Data
	// End is the end marker sent by the endpoint.
	End
)

// Frame describes a frame to Assembly.Update; it does not hold the content.
type Frame struct {
	Try      TryID
	Kind     Kind
	Position Position
	// Parts is the number of parts in a data frame; the first of them has Position.
	Parts int
}

// Action is what the receiver of a frame does with it.
type Action int

// Actions on a frame.
const (
	// Drop ignores the frame: it belongs to another try, repeats delivered parts, or comes after the end.
	Drop Action = iota
	// Deliver passes the frame to the caller, without its first Skip parts.
	Deliver
	// Complete ends the answer; all its parts were delivered.
	Complete
	// Gap means that the head or a part before the frame is missing, or that the end marker is not directly after the last
	// part. The answer has to be resumed by another try.
	Gap
)

// Decision is the result of Assembly.Update for one frame.
type Decision struct {
	Action Action
	// Skip is the number of leading parts of the frame that were delivered before.
	Skip int
}

// Assembly tracks which parts of one answer were delivered. The zero value is ready for StartTry. It is not safe for
// concurrent use.
type Assembly struct {
	try           TryID
	headDelivered bool
	lastPosition  Position
	complete      bool
	dropped       int
}

// StartTry makes try the current one. Parts that earlier tries delivered are not delivered again.
func (a *Assembly) StartTry(try TryID) {
	a.try = try
}

// Update returns what to do with the next frame and, for Deliver and Complete, records it as delivered.
func (a *Assembly) Update(f Frame) Decision {
	if f.Try != a.try || a.complete {
		a.dropped++
		return Decision{Action: Drop}
	}
	switch f.Kind {
	case Head:
		return a.head()
	case Data:
		return a.data(f)
	case End:
		return a.end(f)
	}
	return Decision{Action: Drop}
}

func (a *Assembly) head() Decision {
	if a.headDelivered {
		a.dropped++
		return Decision{Action: Drop}
	}
	a.headDelivered = true
	return Decision{Action: Deliver}
}

func (a *Assembly) data(f Frame) Decision {
	if !a.headDelivered || f.Position > a.lastPosition+1 {
		return Decision{Action: Gap}
	}
	end := f.Position + Position(f.Parts) - 1
	if f.Parts == 0 || end <= a.lastPosition {
		a.dropped++
		return Decision{Action: Drop}
	}
	skip := int(a.lastPosition + 1 - f.Position)
	a.lastPosition = end
	return Decision{Action: Deliver, Skip: skip}
}

// end completes the answer only if the end marker directly follows the last part delivered.
func (a *Assembly) end(f Frame) Decision {
	if !a.headDelivered || f.Position != a.lastPosition+1 {
		return Decision{Action: Gap}
	}
	a.complete = true
	return Decision{Action: Complete}
}

// LastPosition returns the position of the last part delivered, 0 if there is none. A try that resumes starts after it.
func (a *Assembly) LastPosition() Position { return a.lastPosition }

// HeadDelivered reports whether a head was passed to the caller by any try.
func (a *Assembly) HeadDelivered() bool { return a.headDelivered }

// Complete reports whether the end marker was accepted, so that all parts were delivered.
func (a *Assembly) Complete() bool { return a.complete }

// Dropped returns the number of frames that were ignored.
func (a *Assembly) Dropped() int { return a.dropped }

// NewTryID returns the ID of the n-th try of a request; call is the request's ID.
func NewTryID(call string, n int) TryID {
	return TryID(fmt.Sprintf("%s/%d", call, n))
}
