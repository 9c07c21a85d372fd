package node

import (
	"errors"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform"
	"balsamknot.org/platform/standin"
)

// oldCopyNode is a host that has just started and got a copy from a host that the store has turned away for longer than outageThreshold. Its copy
// has an endpoint whose registration was removed since.
func oldCopyNode(t *testing.T) (*Node, *standin.Endpoint) {
	s := newSite(t)
	e := s.addEndpoint("i-left", "engines", nil)
	s.addEndpoint("i-stays", "engines", nil)
	n := newIdleNode(t, s.store.Address())
	v := n.storeView
	page, at, full, err := v.readStore(t.Context())
	require.NoError(t, err)
	require.True(t, full)
	require.NoError(t, v.applyResult(readResult{source: "host-2", entries: entriesOf(page), update: catalogue.Update{
		Confirmation: catalogue.Confirmation{SentAt: timer.BootClock().Add(-outageThreshold - time.Second)}, Position: at, Full: true, SetEra: at.Era,
	}}))
	require.NotEmpty(t, n.slots.endpointAddress("i-left"))
	e.Deregister()
	return n, e
}

// Guards against DRAIN: a host that started with an old copy took its own first read for the end of an outage, and sent requests to endpoints that
// had left for three seconds more (review/9).
func TestHostThatStartsWithAnOldCopyDropsWhatItsFirstReadLacks(t *testing.T) {
	t.Parallel()
	n, _ := oldCopyNode(t)
	_, err := n.storeView.executeStep(t.Context(), timer.BootClock(), catalogue.Step{})
	require.NoError(t, err)
	require.Empty(t, n.slots.endpointAddress("i-left"))
	require.NotEmpty(t, n.slots.endpointAddress("i-stays"))
	require.Zero(t, n.storeView.missingCount())
}

// The other side: reads of the host failed meanwhile, so that the registration may have expired in an outage. It is kept until it returns.
func TestHostKeepsWhatExpiredWhileItsReadsFailed(t *testing.T) {
	t.Parallel()
	n, e := oldCopyNode(t)
	v := n.storeView
	v.recordStep(timer.BootClock(), catalogue.Step{}, errors.New("connection reset"))
	_, err := v.executeStep(t.Context(), timer.BootClock(), catalogue.Step{})
	require.NoError(t, err)
	require.Equal(t, 1, v.missingCount())
	require.NotEmpty(t, n.slots.endpointAddress("i-left"))
	require.NotZero(t, v.stateFor(timer.BootClock(), "host-3", 1, true).OutageEnd, "hosts that ask this one learn of the outage")
	e.RegisterReady()
	_, err = v.executeStep(t.Context(), timer.BootClock(), catalogue.Step{})
	require.NoError(t, err)
	require.Zero(t, v.missingCount())
	require.NotEmpty(t, n.slots.endpointAddress("i-left"))
}

// A store that refuses a read since it gets too many is there: registrations do not expire because of that.
func TestReadsBeyondTheRateLimitAreNoSignOfAnOutage(t *testing.T) {
	t.Parallel()
	n, _ := oldCopyNode(t)
	n.storeView.recordStep(timer.BootClock(), catalogue.Step{}, eris.Wrap(platform.ErrRateLimited, "read the store"))
	_, err := n.storeView.executeStep(t.Context(), timer.BootClock(), catalogue.Step{})
	require.NoError(t, err)
	require.Empty(t, n.slots.endpointAddress("i-left"))
}

// Guards against DRAIN: a removal that had been deferred waited up to a second more for the answer to a watch that had nothing to tell.
func TestWatchesEndWhenWhatIsDeferredCanBeSettled(t *testing.T) {
	t.Parallel()
	n, _ := oldCopyNode(t)
	v := n.storeView
	require.Equal(t, watchWait, v.nextWatchWait(timer.BootClock()))
	v.recordStep(timer.BootClock(), catalogue.Step{}, errors.New("connection reset"))
	_, err := v.executeStep(t.Context(), timer.BootClock(), catalogue.Step{})
	require.NoError(t, err)
	graceEnd, awaited := v.catalogue.AwaitedConfirmation()
	require.True(t, awaited)
	require.Equal(t, watchWait, v.nextWatchWait(graceEnd.Add(-recoveryGrace)))
	require.Equal(t, 200*time.Millisecond, v.nextWatchWait(graceEnd.Add(-200*time.Millisecond)))
	require.Equal(t, confirmingWatchWait, v.nextWatchWait(graceEnd))
	require.Equal(t, confirmingWatchWait, v.nextWatchWait(graceEnd.Add(time.Second)))
}
