package modelengine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startJob(e *Engine, tokens int) *job {
	return e.findOrStartJob("", "chat", completionRequest{Stream: true, MaxTokens: tokens})
}

func TestCrashEndsTheRequestsOfTheProcess(t *testing.T) {
	e := New(Config{Address: "127.0.0.1:0", Slots: 2, TokenTime: time.Millisecond, RestartDelay: time.Hour})
	_, err := e.Start()
	require.NoError(t, err)
	defer e.Close()
	ended := startJob(e, 1<<20)
	require.Eventually(t, func() bool { return e.Running() == 1 }, time.Minute, time.Millisecond)
	e.Crash()
	require.Eventually(t, func() bool { _, done, _ := ended.eventsAfter(0); return done }, time.Minute, time.Millisecond)
	require.Zero(t, e.Running())
	startJob(e, 1<<20)
	require.Eventually(t, func() bool { return e.Running() == 1 }, time.Minute, time.Millisecond)
}

func TestLaggedLoadIsThatOfBeforeAQuietTime(t *testing.T) {
	e := New(Config{ReportLag: time.Hour})
	now := time.Now()
	e.loadHistory = []loadSample{{now.Add(-3 * time.Hour), 4}, {now.Add(-2 * time.Hour), 5}}
	e.recordLoad(e.process, 6)
	require.EqualValues(t, 5, e.laggedRunning())
}
