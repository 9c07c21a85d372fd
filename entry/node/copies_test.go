package node

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/entry/peer"
	"balsamknot.org/fleet/catalogue"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/timer"
)

// largeCopy records more in the history than a reader sends to each host of a data centre itself.
func largeCopy(n *Node) {
	random := rand.New(rand.NewPCG(1, 1))
	var entries []catalogue.Entry
	for i := range 2000 {
		value := make([]byte, 2*minReferredBytes/2000)
		for j := range value {
			value[j] = byte(random.Uint32())
		}
		entries = append(entries, catalogue.Entry{Key: fmt.Sprintf("k/%d", i), Value: value})
	}
	n.storeView.history.Record(timer.BootClock(), entries, catalogue.Position{Revision: 7}, true)
}

func asker(i int) peer.UpdateQuery {
	return peer.UpdateQuery{Asker: catalogue.Asker{Host: host.ID(fmt.Sprintf("host-%d", i)), DataCentre: "a"}}
}

func TestHostsAreReferredToTheFirstOneOfTheirDataCentre(t *testing.T) {
	t.Parallel()
	n := newIdleNode(t, closedAddress(t))
	server := newCopyServer(n.storeView)
	_, _, err := server.PrepareUpdate(t.Context(), asker(2))
	require.ErrorIs(t, err, peer.ErrNoCopy)
	largeCopy(n)
	update, holder, err := server.PrepareUpdate(t.Context(), asker(2))
	require.NoError(t, err)
	require.Empty(t, holder)
	require.True(t, update.Full)
	referred := make(chan host.ID)
	go func() {
		_, holder, _ := server.PrepareUpdate(t.Context(), asker(3))
		referred <- holder
	}()
	server.UpdateSent(asker(2), nil)
	require.Equal(t, host.ID("host-2"), <-referred)
	direct := asker(4)
	direct.Direct = true
	_, holder, err = server.PrepareUpdate(t.Context(), direct)
	require.NoError(t, err)
	require.Empty(t, holder)
}

// The same compressed entries go to all hosts that ask after the same revision, until the copy changes.
func TestEntriesAreCompressedOnceForAChange(t *testing.T) {
	t.Parallel()
	n := newIdleNode(t, closedAddress(t))
	server := newCopyServer(n.storeView)
	largeCopy(n)
	first, err := server.load(catalogue.Position{})
	require.NoError(t, err)
	second, err := server.load(catalogue.Position{})
	require.NoError(t, err)
	require.Same(t, &first.Entries[0], &second.Entries[0])
	n.storeView.history.Record(timer.BootClock(), []catalogue.Entry{{Key: "k/1", Removed: true}}, catalogue.Position{Revision: 8}, false)
	third, err := server.load(catalogue.Position{})
	require.NoError(t, err)
	require.NotSame(t, &first.Entries[0], &third.Entries[0])
	require.Equal(t, catalogue.Position{Revision: 8}, third.Position)
	changes, err := server.load(catalogue.Position{Revision: 7})
	require.NoError(t, err)
	require.False(t, changes.Full)
	require.Less(t, len(changes.Entries), len(third.Entries)/10)
}
