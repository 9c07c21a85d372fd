package site

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/soak/checker"
)

// streamOf returns events of the stream of request c1 by version v2, from their numbers.
func streamOf(numbers ...int) string {
	var text strings.Builder
	for _, n := range numbers {
		text.WriteString(eventText("c1", "v2", n))
	}
	return text.String()
}

func TestEventsThatComeTwiceAreMissingOrJumpBackAreDefects(t *testing.T) {
	t.Parallel()
	begun := requestSpec{id: "c1", kind: checker.Resumable}
	takenUp := requestSpec{id: "c1-again", resumes: "c1", version: "v2", after: 3, kind: checker.Resumable}
	for name, c := range map[string]struct {
		spec   requestSpec
		body   string
		defect bool
	}{
		"begins":                  {begun, streamOf(1, 2, 3), false},
		"holds events unnumbered": {begun, streamOf(1, 2) + commentEvent + emptyIDEvent + streamOf(3), false},
		"breaks off in an event":  {begun, streamOf(1, 2) + "id: 3\nda", false},
		"holds none":              {begun, "", false},
		"goes on":                 {takenUp, streamOf(4, 5), false},
		"an event twice":          {begun, streamOf(1, 2, 2, 3), true},
		"an event is missing":     {begun, streamOf(1, 2, 4), true},
		"jumps back":              {begun, streamOf(1, 2, 3, 1, 2), true},
		"jumps back unnumbered":   {begun, streamOf(1, 2) + commentEvent + streamOf(1, 2), true},
		"the first is missing":    {begun, streamOf(2, 3), true},
		"taken up too early":      {takenUp, streamOf(3, 4), true},
		"taken up at the start":   {takenUp, streamOf(1, 2), true},
		"taken up too late":       {takenUp, streamOf(5), true},
		"an event of another":     {begun, streamOf(1) + eventText("c2", "v2", 2), true},
	} {
		require.Equal(t, c.defect, c.spec.cutDefect(http.StatusOK, false, c.body) != "", name)
	}
}

func TestStreamThatEndsBeforeItsLastEventIsADefect(t *testing.T) {
	t.Parallel()
	spec := requestSpec{id: "c1", kind: checker.Resumable}
	whole := streamBody("c1", "v2", 0)
	last := len(whole) - len(eventText("c1", "v2", eventCount("c1")))
	c := &caller{}
	require.Empty(t, c.defect(spec, "seal", whole))
	require.Empty(t, c.defect(spec, "seal", commentEvent+whole))
	require.NotEmpty(t, c.defect(spec, "seal", whole[:last]))
	require.NotEmpty(t, c.defect(spec, "seal", whole+streamOf(1)))
	require.NotEmpty(t, c.defect(spec, "", whole))
}

func TestCallerGoesOnAfterTheLastNumberedEvent(t *testing.T) {
	t.Parallel()
	spec := requestSpec{id: "c1", kind: checker.Resumable}
	next := spec.broken(http.StatusOK, streamOf(1, 2)+emptyIDEvent)
	require.Equal(t, 2, next.after)
	require.Equal(t, "v2", next.version)
}
