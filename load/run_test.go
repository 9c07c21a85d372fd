package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against false high percentiles: times to the first byte above 1.31 s were left out without a word.
func TestQuantilesOfTheFirstByteHoldSlowAnswers(t *testing.T) {
	t.Parallel()
	const tolerance = 0.01
	p := newPhaseRecorder("surge")
	for range 90 {
		p.recordFirstByte(20 * time.Millisecond)
	}
	for range 10 {
		p.recordFirstByte(30 * time.Second)
	}
	p.recordFirstByte(2 * requestTimeout)
	result := p.finish()
	require.InEpsilon(t, 20, result.FirstByteP50Ms, tolerance)
	require.InEpsilon(t, 30_000, result.FirstByteP95Ms, tolerance)
	require.Equal(t, 1, result.FirstByteBeyond)
}
