package peer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/pool"
)

func TestBudgetReportsAreConvertedWithoutLoss(t *testing.T) {
	t.Parallel()
	own, other := pool.Granter{Host: "a", Process: 7}, pool.Granter{Host: "b", Process: 8}
	seconds := []pool.GrantedSecond{{Age: 0, Requests: 3, Retries: 1}, {Age: 4, Requests: 2}}
	report := FromShareBudget(pool.ShareBudget{Service: "s", Granted: []pool.Granted{{Seconds: seconds}, {Granter: other, Seconds: seconds}}}, own)
	datagrams, err := EncodeAll(Datagram{From: "a", Extensions: Extensions{BudgetReports: []BudgetReport{report}}})
	require.NoError(t, err)
	require.Len(t, datagrams, 1)
	d, err := Decode(datagrams[0])
	require.NoError(t, err)
	got := d.Extensions.BudgetReports[0]
	require.Equal(t, pool.BudgetShared{Service: "s", Granted: []pool.Granted{{Granter: own, Seconds: seconds}, {Granter: other, Seconds: seconds}}}, got.ToPool(pool.Granter{}))
	require.Equal(t, []pool.Granted{{Granter: other, Seconds: seconds}}, got.ToPool(own).Granted, "a process knows its own grants better")
}
