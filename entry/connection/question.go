package connection

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"balsamknot.org/fleet/answer"
	"balsamknot.org/fleet/timer"
)

// question is the state of the questions over a sentinel. One is sent at a time.
type question struct {
	// askedAt is when the one was sent whose answer has not ended yet; zero if there is none. again is true if another one is to follow it.
	askedAt time.Time
	again   bool
	// sendErr is the error with which the last one was sent.
	sendErr error
	// answeredAt is when the last answer came, and answered when its question had been sent.
	answeredAt, answered time.Time
	// last is true if the endpoint said that it ends the connection.
	last bool
}

// unanswered reports whether there is a question whose answer has not begun.
func (q question) unanswered() bool { return !q.askedAt.IsZero() && q.answered.Before(q.askedAt) }

// answeredSince reports whether a question was answered that was sent at t or later. It is false for a zero t.
func (q question) answeredSince(t time.Time) bool { return !t.IsZero() && !q.answered.Before(t) }

// questionTimeout limits the time for which the sending of a question may block.
const questionTimeout = 20 * time.Millisecond

// Ask asks the process that took the sentinel whether it goes on; see GuardAlive.
func (g *Guard) Ask() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.askedAt.IsZero() {
		g.askedAt = timer.BootClock()
	}
	g.s.ask()
}

// ask sends a question, or has another one follow the one that is not answered yet.
func (s *sentinel) ask() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.question.again = true
	s.sendQuestion()
}

// sendQuestion sends the question that is due, if there is one and the sentinel is there. Any answer will do, so that the endpoint is asked for its report
// also where it has none. s.mu must be held.
func (s *sentinel) sendQuestion() {
	q := &s.question
	if !q.again || !q.askedAt.IsZero() || s.conn == nil || s.failed || !s.endedAt.IsZero() || !s.conn.notEnded() {
		return
	}
	q.again, q.askedAt = false, timer.BootClock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(questionTimeout))
	q.sendErr = s.conn.callForReport(s.instance)
}

// refusalTime is the time within which an endpoint that takes no further connections resets one that was established.
const refusalTime = 50 * time.Millisecond

// tellsEnd reports whether the process that took the sentinel has ended, given the error with which the connection ended. A broken pipe is the end of one
// to which a question was sent then. A reset does not tell: an endpoint that takes no further connections resets them. But the kernel also resets a
// connection whose process ended before it read the question. s.mu must be held, and endedAt be set.
func (s *sentinel) tellsEnd(err error) bool {
	q := s.question
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(q.sendErr, syscall.ECONNRESET) {
		return q.unanswered() && s.endedAt.Sub(s.conn.connectedAt) > refusalTime
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.EPIPE)
}

// readAnswers reads the answers to questions until the connection ends, and returns why it did. Bytes that were not asked for end it, too.
func (s *sentinel) readAnswers() error {
	for {
		if _, err := s.conn.reader.Peek(1); err != nil {
			return err
		}
		if !s.awaitsAnswer() {
			return errUnasked
		}
		if err := s.readAnswer(); err != nil {
			return err
		}
	}
}

var errUnasked = eris.New("the endpoint sent something that was not asked for")

// awaitsAnswer reports whether a question was sent that is not answered.
func (s *sentinel) awaitsAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.question.unanswered()
}

// readAnswer reads an answer and sends the next question, if one is due.
func (s *sentinel) readAnswer() error {
	s.conn.limited.left = maxReportBytes
	response, err := answer.ReadHead(s.conn.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return eris.Wrapf(err, "read the answer of the process at %s", s.conn.address)
	}
	defer response.Body.Close()
	s.noteAnswer(response.Close)
	if !readToEnd(response.Body) {
		return eris.Errorf("the answer of the process at %s broke off or is too long", s.conn.address)
	}
	s.conn.limited.left = unlimited
	s.mu.Lock()
	defer s.mu.Unlock()
	s.question.askedAt = time.Time{}
	s.sendQuestion()
	return nil
}

// noteAnswer notes the begin of an answer, which shows that the process goes on. last is true if the endpoint ends the connection after it.
func (s *sentinel) noteAnswer(last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.question
	q.answeredAt, q.answered, q.last = timer.BootClock(), q.askedAt, last
}

// heardAt returns when the process was last heard: when the connection was established, or answered a question. s.mu must be held.
func (s *sentinel) heardAt() time.Time {
	if s.question.answeredAt.After(s.conn.connectedAt) {
		return s.question.answeredAt
	}
	return s.conn.connectedAt
}

// stale reports whether the sentinel is there and was not heard for staleAfter.
func (s *sentinel) stale(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && !s.failed && s.endedAt.IsZero() && now.Sub(s.heardAt()) > staleAfter
}

// testSentinel asks a sentinel and replaces it if it does not answer in time.
func (p *Pool) testSentinel(address string, s *sentinel) {
	asked := timer.BootClock()
	s.ask()
	time.Sleep(sentinelAnswerTime)
	guards := s.giveUpSilent(asked)
	if len(guards) > 0 {
		p.succeed(address, s, guards)
	}
}

// GiveUp gives a guard up that has not answered since Ask, so that the next answers have another one.
func (g *Guard) GiveUp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.s.giveUpSilent(g.askedAt)
}

// giveUpSilent closes the sentinel if it has not answered since a time, and returns the guards that need another one.
func (s *sentinel) giveUpSilent(since time.Time) []*Guard {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.question.answeredSince(since) || s.failed || !s.endedAt.IsZero() {
		return nil
	}
	guards := slices.Collect(maps.Keys(s.guards))
	clear(s.guards)
	s.close()
	return guards
}
