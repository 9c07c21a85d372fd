package answer

import (
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The fixed seed makes property tests draw the same cases on every run.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func TestFramesOfOtherTriesAreDropped(t *testing.T) {
	t.Parallel()
	var a Assembly
	a.StartTry("call/1")
	require.Equal(t, Decision{Action: Deliver}, a.Update(Frame{Try: "call/1", Kind: Head}))
	require.Equal(t, Decision{Action: Deliver}, a.Update(Frame{Try: "call/1", Kind: Data, Position: 1, Parts: 1}))
	a.StartTry("call/2")
	require.Equal(t, Decision{Action: Drop}, a.Update(Frame{Try: "call/1", Kind: Data, Position: 2, Parts: 1}))
	require.Equal(t, Decision{Action: Drop}, a.Update(Frame{Try: "other/2", Kind: Data, Position: 2, Parts: 1}))
	require.Equal(t, Decision{Action: Drop}, a.Update(Frame{Try: "call/2", Kind: Head}))
	require.Equal(t, Decision{Action: Deliver, Skip: 1}, a.Update(Frame{Try: "call/2", Kind: Data, Position: 1, Parts: 2}))
	require.Equal(t, 3, a.Dropped())
}

func TestTruncatedAnswerIsNotComplete(t *testing.T) {
	t.Parallel()
	var a Assembly
	a.StartTry("t")
	require.Equal(t, Gap, a.Update(Frame{Try: "t", Kind: End, Position: 1}).Action, "end marker before the head")
	a.Update(Frame{Try: "t", Kind: Head})
	a.Update(Frame{Try: "t", Kind: Data, Position: 1, Parts: 3})
	require.Equal(t, Gap, a.Update(Frame{Try: "t", Kind: Data, Position: 5, Parts: 1}).Action, "part 4 is missing")
	require.Equal(t, Gap, a.Update(Frame{Try: "t", Kind: End, Position: 5}).Action, "end marker at 5 although part 4 is missing")
	require.False(t, a.Complete())
	require.Equal(t, Complete, a.Update(Frame{Try: "t", Kind: End, Position: 4}).Action)
}

// With frames of several tries repeated, truncated and mixed with those of other requests, the delivered parts are a prefix
// of the answer, and the whole answer if the assembly reports it as complete.
func TestDeliveredIsTheAnswer(t *testing.T) {
	t.Parallel()
	parts := strings.Split("a b c d e f g h", " ")
	rapid.Check(t, func(t *rapid.T) {
		var a Assembly
		var delivered []string
		for try := range rapid.IntRange(1, 4).Draw(t, "tries") {
			id := NewTryID("call", try)
			a.StartTry(id)
			for range rapid.IntRange(0, 12).Draw(t, "frames") {
				f := Frame{Try: id, Kind: Kind(rapid.IntRange(0, 2).Draw(t, "kind"))}
				if rapid.IntRange(0, 5).Draw(t, "crossed") == 0 {
					f.Try = NewTryID("other", try)
				}
				from := rapid.IntRange(0, len(parts)-1).Draw(t, "from")
				f.Position = Position(from + 1)
				f.Parts = rapid.IntRange(0, len(parts)-from).Draw(t, "parts")
				if f.Kind == End {
					f.Position = Position(len(parts) + 1)
				}
				decision := a.Update(f)
				if f.Kind == Data && decision.Action == Deliver {
					delivered = append(delivered, parts[from+decision.Skip:from+f.Parts]...)
				}
			}
		}
		require.Equal(t, parts[:len(delivered)], append([]string{}, delivered...))
		require.Equal(t, Position(len(delivered)), a.LastPosition())
		if a.Complete() {
			require.Equal(t, parts, delivered)
		}
	})
}
