package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serialSite is a keeper with two engines of one slot each, to which requests with a SerialKey come.
type serialSite struct {
	t          *testing.T
	now        time.Time
	keeper     *Keeper
	nextTicket uint64
}

func newSerialSite(t *testing.T) *serialSite {
	sim := newSimulation(t, 2, 1)
	return &serialSite{t: t, now: sim.now, keeper: sim.keeper}
}

// request returns the keeper's first reply to a request, and its ticket.
func (s *serialSite) request(key SerialKey) (Ticket, Command) {
	s.nextTicket++
	ticket := Ticket{"host", s.nextTicket}
	commands := s.keeper.Update(s.now, SlotRequested{Ticket: ticket, Service: assistant, TimeLeft: time.Minute, Serial: key})
	require.NotEmpty(s.t, commands)
	return ticket, commands[0]
}

func (s *serialSite) release(ticket Ticket, result Result) {
	s.keeper.Update(s.now, SlotReleased{Ticket: ticket, Service: assistant, Result: result})
}

func TestRequestsWithOneSerialKeyRunOneAfterAnother(t *testing.T) {
	t.Parallel()
	s := newSerialSite(t)
	first, reply := s.request(7)
	require.IsType(t, Grant{}, reply)
	_, reply = s.request(7)
	require.Equal(t, AwaitsCopy, reply.(Refuse).Reason)
	require.Positive(t, reply.(Refuse).RetryAfter)
	other, reply := s.request(8)
	require.IsType(t, Grant{}, reply, "another key")
	s.release(other, Completed)
	s.release(first, Completed)
	_, reply = s.request(7)
	require.IsType(t, Grant{}, reply, "after an answer")
}

func TestRequestWaitsForTheEvidenceOfARunWithoutAnAnswer(t *testing.T) {
	t.Parallel()
	for _, result := range []Result{Unknown, ConnectionFailed, TimedOut} {
		s := newSerialSite(t)
		first, _ := s.request(7)
		s.release(first, result)
		_, reply := s.request(7)
		require.Equal(t, Refuse{Ticket: Ticket{"host", 2}, Reason: AwaitsCopy, RetryAfter: serialPause}, reply)
		s.now = s.now.Add(serialPause)
		s.keeper.Update(s.now, Tick{})
		_, reply = s.request(7)
		require.IsType(t, Grant{}, reply)
	}
}

func TestQueuedRequestHoldsItsSerialKey(t *testing.T) {
	t.Parallel()
	s := newSerialSite(t)
	for full := false; !full; {
		_, reply := s.request(0)
		_, full = reply.(Queue)
	}
	queued, reply := s.request(7)
	require.IsType(t, Queue{}, reply)
	_, reply = s.request(7)
	require.Equal(t, AwaitsCopy, reply.(Refuse).Reason)
	s.release(queued, Unknown)
	_, reply = s.request(7)
	require.NotEqual(t, AwaitsCopy, reasonOf(reply), "after the queued request left")
}

// reasonOf returns the reason of a refusal; -1 for other replies.
func reasonOf(c Command) Reason {
	if refusal, ok := c.(Refuse); ok {
		return refusal.Reason
	}
	return -1
}

// A keeper that takes over learns from the slots that hosts report which keys are in use.
func TestNewKeeperLearnsSerialKeysFromHeldSlots(t *testing.T) {
	t.Parallel()
	s := newSerialSite(t)
	s.keeper.Update(s.now, SlotHeld{Ticket: Ticket{"other", 1}, Service: assistant, ID: engineID(0), Serial: 7})
	_, reply := s.request(7)
	require.Equal(t, AwaitsCopy, reasonOf(reply))
}
