package inifile

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNumberRefusesWhatIsNoFiniteNumber(t *testing.T) {
	for _, value := range []string{"NaN", "nan", "Inf", "+Inf", "-Inf", "infinity", "1e999", "", "x", "-1"} {
		n := 7.0
		require.Error(t, Number(&n, 0)(value), value)
		require.InDelta(t, 7, n, 0, value)
	}
	n := 7.0
	require.NoError(t, Number(&n, 0)("2.5"))
	require.InDelta(t, 2.5, n, 0)
}
