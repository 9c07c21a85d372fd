package catalogue

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
)

func instanceRecord(id string, startedAt int64, leaving bool) endpoint.Record {
	r := record(id, leaving)
	r.Instance.StartedAt = startedAt
	return r
}

// The store returns from a copy in which an endpoint that leaves is still ready.
func TestEndpointThatLeavesIsNotReadyInAnOlderCopy(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 500), Full: true, Changes: registered(instanceRecord("a", 1, true))})
	change := c.Apply(at(1), Update{Confirmation: sent(1), Position: inEra(2, 480), Full: true, Changes: registered(instanceRecord("a", 1, false))})
	require.Empty(t, change.Endpoints)
	require.True(t, c.endpoints["a"].Leaving)
	c.Apply(at(2), Update{Confirmation: sent(2), Position: inEra(2, 481), Full: true, Changes: registered(instanceRecord("a", 1, false))})
	require.True(t, c.endpoints["a"].Leaving)
	change = c.Apply(at(3), Update{Confirmation: sent(3), Position: inEra(2, 482), Changes: registered(instanceRecord("a", 1, false))})
	require.Equal(t, registered(instanceRecord("a", 1, false)), change.Endpoints, "it registered anew")
	c.Apply(at(3), Update{Confirmation: sent(3), Position: inEra(2, 482), Full: true, Changes: registered(instanceRecord("a", 1, false))})
	require.False(t, c.endpoints["a"].Leaving)
	c.Apply(at(3), Update{Confirmation: sent(3), Position: inEra(2, 483), Changes: registered(instanceRecord("a", 1, true))})
	other := instanceRecord("a", 1, false)
	other.Address = "10.0.0.1:80"
	change = c.Apply(at(3), Update{Confirmation: sent(3), Position: inEra(2, 484), Full: true, Changes: registered(other)})
	require.Equal(t, registered(other), change.Endpoints, "what is not in the copy was written after it, also in a whole read")
	c.Apply(at(3), Update{Confirmation: sent(3), Position: inEra(2, 485), Changes: registered(instanceRecord("a", 1, true))})
	change = c.Apply(at(4), Update{Confirmation: sent(4), Position: inEra(3, 470), Full: true, Changes: registered(instanceRecord("a", 2, false))})
	require.Equal(t, registered(instanceRecord("a", 2, false)), change.Endpoints, "a later instance is ready")
}

func TestRemovedEndpointThatAnOlderCopyHasGetsNoRequestsUntilItRegisters(t *testing.T) {
	t.Parallel()
	ended, lapsed, other := instanceRecord("ended", 1, false), instanceRecord("lapsed", 1, false), instanceRecord("other", 1, false)
	all := []endpoint.Record{ended, lapsed, other}
	newReturned := func() (*Catalogue, Difference) {
		c := newCatalogue()
		c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 490), Full: true, Changes: registered(all...)})
		c.Apply(at(1), Update{Confirmation: sent(1), Position: inEra(1, 500), Changes: removed("ended", "lapsed")})
		return c, c.Apply(at(2), Update{Confirmation: sent(2), Position: inEra(2, 480), Full: true, Changes: registered(all...)})
	}
	c, change := newReturned()
	require.Empty(t, change.Endpoints)
	require.Equal(t, 2, change.Held)
	change = c.Apply(at(3), Update{Confirmation: sent(3), Position: inEra(2, 483), Full: true, Changes: registered(all...)})
	require.Empty(t, change.Endpoints, "a whole read is no sign that they registered")
	change = c.Apply(at(4), Update{Confirmation: sent(4), Position: inEra(2, 484), Changes: slices.Concat(registered(lapsed), removed("ended"))})
	require.Equal(t, registered(lapsed), change.Endpoints)
	c.Confirm(sent(time.Minute))
	require.Empty(t, c.Tick(at(time.Minute)).Endpoints)

	c, _ = newReturned()
	c.Apply(at(3), Update{Confirmation: sent(3), Position: inEra(2, 483), Full: true, Changes: registered(lapsed, other)})
	c.Confirm(sent(time.Minute))
	require.Equal(t, registered(lapsed), c.Tick(at(time.Minute)).Endpoints, "a whole read does not list the other")

	c, _ = newReturned()
	c.Confirm(sent(4 * time.Second))
	require.Empty(t, c.Tick(at(4*time.Second)).Endpoints)
	c.Confirm(sent(6 * time.Second))
	require.Equal(t, registered(ended, lapsed), c.Tick(at(6*time.Second)).Endpoints, "it is still registered")
}

// Whatever the copy has, and however long it is registered there, the instance had announced that it leaves.
func TestLeavingEndpointThatWasRemovedDoesNotBecomeReadyAfterTheHold(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 490), Full: true, Changes: registered(instanceRecord("a", 1, true))})
	c.Apply(at(1), Update{Confirmation: sent(1), Position: inEra(1, 500), Changes: removed("a")})
	c.Apply(at(2), Update{Confirmation: sent(2), Position: inEra(2, 480), Full: true, Changes: registered(instanceRecord("a", 1, false))})
	c.Confirm(sent(6 * time.Second))
	require.Equal(t, registered(instanceRecord("a", 1, true)), c.Tick(at(6*time.Second)).Endpoints)
}

// A copy has the earlier instance of an endpoint that has restarted since: no sign that the later one ended.
func TestEarlierInstanceInAnOlderCopyDoesNotReplaceTheLaterOne(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	earlier, restarted := instanceRecord("a", 1, false), instanceRecord("a", 2, false)
	c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 500), Full: true, Changes: registered(restarted)})
	change := c.Apply(at(1), Update{Confirmation: sent(1), Position: inEra(2, 480), Full: true, Changes: registered(earlier)})
	require.Empty(t, change.Endpoints)
	require.Equal(t, 1, change.Missing)
	require.Equal(t, 1, change.Held)
	change = c.Apply(at(2), Update{Confirmation: sent(2), Position: inEra(2, 481), Changes: registered(restarted)})
	require.Empty(t, change.Endpoints)
	c.Confirm(sent(time.Minute))
	require.Empty(t, c.Tick(at(time.Minute)).Endpoints)
}

// Without a return of the store, a whole read is as good as a read of changes: an endpoint that stays after all is ready again.
func TestEndpointThatStaysAfterAllIsReadyByAWholeReadOfTheSameEra(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 5), Full: true, Changes: registered(instanceRecord("a", 1, true))})
	change := c.Apply(at(1), Update{Confirmation: sent(1), Position: inEra(1, 9), Full: true, Changes: registered(instanceRecord("a", 1, false))})
	require.Equal(t, registered(instanceRecord("a", 1, false)), change.Endpoints)
}

func TestDepartedEndpointsAreForgotten(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 1), Full: true, Changes: registered(instanceRecord("a", 1, true), record("b", true))})
	c.Apply(at(1), Update{Confirmation: sent(1), Position: inEra(1, 2), Full: true, Changes: registered(instanceRecord("a", 2, false))})
	require.Contains(t, c.departed, instanceRecord("a", 1, true).Instance)
	c.Apply(at(2), Update{Confirmation: sent(2), Position: inEra(1, 3), Changes: registered(record("b", false))})
	require.False(t, c.endpoints["b"].Leaving)
	c.Tick(at(departureMemory + time.Second))
	require.Empty(t, c.departed)
}
