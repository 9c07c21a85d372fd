package pool

import (
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/stream"
)

// TakenUp is a stream that a caller takes up, as far as its request tells.
type TakenUp struct {
	// Stream is 0 if the request does not name it.
	Stream stream.ID
	// Age is the longest time for which the stream can have run: the time limit of its route, less the time that its caller has left.
	Age time.Duration
	// Events is the number of the last event that the caller has; 0 if it has no number.
	Events int
}

// Standing is how a stream that is taken up stands to the others of its session, those with the same last part of the prompt at the same length, that
// were taken up since the host started. Hosts send each other its numeric values.
type Standing int

// Standings of a stream.
const (
	// Untold means that the request does not name its stream, or that the asking host is of a release that does not tell.
	Untold Standing = iota
	// Undecided means that other streams of the session may still be taken up.
	Undecided
	// Alone means that no other stream of the session was taken up.
	Alone
	// Oldest and Newest mean that it began before, or after, all others of the session.
	Oldest
	Newest
	// Between means neither, or that it is not known.
	Between
)

const (
	// returnWait is how long the standing of all streams is undecided after the first one was taken up, and sessionWait how long that of a session's streams is
	// after the first of these: callers whose streams were cut at the same moment return at about the same time.
	returnWait  = time.Second
	sessionWait = 300 * time.Millisecond
	// beginMargin is by how much the begins of two streams must differ at least, as their callers' deadlines tell, to be in order.
	beginMargin = 250 * time.Millisecond
	// maxSessions limits the sessions whose streams are remembered.
	maxSessions = 1 << 16
)

// sessionKey names a session by the last part of its prompts, at the length that the part has in one request.
type sessionKey struct {
	part   chat.PartID
	tokens int
}

func (l PartLookup) session() sessionKey { return sessionKey{part: l.Part, tokens: l.MinTokens} }

// sessionStreams holds the streams of a session that were taken up.
type sessionStreams struct {
	firstAt time.Time
	streams []takenUpStream
}

// takenUpStream is a stream that was taken up. It began after beganAfter.
type takenUpStream struct {
	id         stream.ID
	beganAfter time.Time
	events     int
}

// noteTakenUp records the stream of a lookup. Streams that began after this host's start need no record: hosts remember their origins.
func (s *service) noteTakenUp(now time.Time, lookup PartLookup) {
	if !s.mayBeOlder(now) {
		s.sessions = nil
		return
	}
	if lookup.TakenUp.Stream == 0 {
		return
	}
	if s.sessions == nil {
		s.sessions, s.firstTakenUpAt = make(map[sessionKey]*sessionStreams), now
	}
	session := s.sessions[lookup.session()]
	if session == nil {
		if len(s.sessions) >= maxSessions {
			return
		}
		session = &sessionStreams{firstAt: now}
		s.sessions[lookup.session()] = session
	}
	session.note(now, lookup.TakenUp)
}

// note records a stream, or that one that is recorded cannot have begun as early as was known.
func (s *sessionStreams) note(now time.Time, t TakenUp) {
	beganAfter := now.Add(-t.Age)
	for i := range s.streams {
		if known := &s.streams[i]; known.id == t.Stream {
			if beganAfter.After(known.beganAfter) {
				known.beganAfter = beganAfter
			}
			return
		}
	}
	s.streams = append(s.streams, takenUpStream{id: t.Stream, beganAfter: beganAfter, events: t.Events})
}

// standing returns the standing of a lookup's stream.
func (s *service) standing(now time.Time, lookup PartLookup) Standing {
	session := s.sessions[lookup.session()]
	if session == nil || lookup.TakenUp.Stream == 0 {
		return Untold
	}
	if now.Sub(s.firstTakenUpAt) < returnWait || now.Sub(session.firstAt) < sessionWait {
		return Undecided
	}
	return session.standing(lookup.TakenUp.Stream)
}

func (s *sessionStreams) standing(id stream.ID) Standing {
	var own takenUpStream
	for _, t := range s.streams {
		if t.id == id {
			own = t
		}
	}
	oldest, newest := true, true
	for _, t := range s.streams {
		if t.id == id {
			continue
		}
		oldest = oldest && own.before(t)
		newest = newest && t.before(own)
	}
	switch {
	case len(s.streams) == 1:
		return Alone
	case oldest:
		return Oldest
	case newest:
		return Newest
	}
	return Between
}

// before reports whether a stream began before another one by what both callers have left, and by what they have got as far as that is known.
func (t takenUpStream) before(other takenUpStream) bool {
	if other.beganAfter.Sub(t.beganAfter) < beginMargin {
		return false
	}
	return t.events == 0 || other.events == 0 || t.events >= other.events
}
