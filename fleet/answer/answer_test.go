package answer

import (
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Property tests draw the same cases on every run.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func TestFramesOfAnotherTryAreDropped(t *testing.T) {
	t.Parallel()
	var a Assembly
	a.Begin("call/1")
	require.Equal(t, Step{Action: Deliver}, a.Update(Frame{Try: "call/1", Kind: Head}))
	require.Equal(t, Step{Action: Deliver}, a.Update(Frame{Try: "call/1", Kind: Data, Position: 1, Parts: 1}))
	a.Begin("call/2")
	require.Equal(t, Step{Action: Drop}, a.Update(Frame{Try: "call/1", Kind: Data, Position: 2, Parts: 1}))
	require.Equal(t, Step{Action: Drop}, a.Update(Frame{Try: "other/2", Kind: Data, Position: 2, Parts: 1}))
	require.Equal(t, Step{Action: Drop}, a.Update(Frame{Try: "call/2", Kind: Head}))
	require.Equal(t, Step{Action: Deliver, Skip: 1}, a.Update(Frame{Try: "call/2", Kind: Data, Position: 1, Parts: 2}))
	require.Equal(t, 3, a.Dropped())
}

func TestTruncatedIsNotComplete(t *testing.T) {
	t.Parallel()
	var a Assembly
	a.Begin("t")
	require.Equal(t, Broken, a.Update(Frame{Try: "t", Kind: End, Position: 1}).Action, "no head")
	a.Update(Frame{Try: "t", Kind: Head})
	a.Update(Frame{Try: "t", Kind: Data, Position: 1, Parts: 3})
	require.Equal(t, Broken, a.Update(Frame{Try: "t", Kind: Data, Position: 5, Parts: 1}).Action, "a gap")
	require.Equal(t, Broken, a.Update(Frame{Try: "t", Kind: End, Position: 5}).Action, "the end marker comes too early")
	require.False(t, a.Whole())
	require.Equal(t, Complete, a.Update(Frame{Try: "t", Kind: End, Position: 4}).Action)
}

// However the frames of several tries are repeated, cut short and mixed: what is delivered is a prefix of the answer, and
// the whole of it when the assembly says so.
func TestDeliveredIsTheAnswer(t *testing.T) {
	t.Parallel()
	parts := strings.Split("a b c d e f g h", " ")
	rapid.Check(t, func(t *rapid.T) {
		var a Assembly
		var delivered []string
		for try := range rapid.IntRange(1, 4).Draw(t, "tries") {
			name := NextTry("call", try)
			a.Begin(name)
			for range rapid.IntRange(0, 12).Draw(t, "frames") {
				f := Frame{Try: name, Kind: Kind(rapid.IntRange(0, 2).Draw(t, "kind"))}
				if rapid.IntRange(0, 5).Draw(t, "crossed") == 0 {
					f.Try = NextTry("other", try)
				}
				from := rapid.IntRange(0, len(parts)-1).Draw(t, "from")
				f.Position = Position(from + 1)
				f.Parts = rapid.IntRange(0, len(parts)-from).Draw(t, "parts")
				if f.Kind == End {
					f.Position = Position(len(parts) + 1)
				}
				step := a.Update(f)
				if f.Kind == Data && step.Action == Deliver {
					delivered = append(delivered, parts[from+step.Skip:from+f.Parts]...)
				}
			}
		}
		require.Equal(t, parts[:len(delivered)], append([]string{}, delivered...))
		require.Equal(t, Position(len(delivered)), a.Last())
		if a.Whole() {
			require.Equal(t, parts, delivered)
		}
	})
}
