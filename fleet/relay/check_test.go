package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPathWithUnheardConnectionsIsCheckedNowAndThen(t *testing.T) {
	t.Parallel()
	table := newTable()
	require.Equal(t, []Command{Check{"a1"}}, table.Update(at(0), Unheard{"a1"}))
	require.Empty(t, table.Update(at(checkInterval-1), Unheard{"a1"}), "it was checked a short time ago")
	require.Equal(t, []Command{Check{"a2"}}, table.Update(at(checkInterval-1), Unheard{"a2"}))
	require.False(t, table.Gone("a1"), "a check alone says nothing")
	require.Equal(t, []Command{Check{"a1"}}, table.Update(at(checkInterval), Unheard{"a1"}))
	require.Empty(t, table.Update(at(0), Unheard{"unknown"}))
}

func TestPathThatACheckFindsSilentIsProbedAndNotChecked(t *testing.T) {
	t.Parallel()
	table := newTable()
	table.Update(at(0), Unheard{"a1"})
	table.Update(at(0), Bypassed{Address: "a1", Silent: true})
	require.Empty(t, table.Update(at(time.Second), Unheard{"a1"}))
	require.Equal(t, []string{"a1"}, probes(table.Update(at(time.Second), Tick{})))
	require.Equal(t, []string{"a1"}, table.SilentAddresses(at(time.Second), stall))
	table.Update(at(time.Second), Connected{"a1"})
	require.Equal(t, []Command{Check{"a1"}}, table.Update(at(time.Second), Unheard{"a1"}))
}
