package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/catalogue"
)

var copyMessages = Extensions{
	CopyProbes:  []CopyProbe{{Nonce: 7}},
	CopyStates:  []CopyState{{Nonce: 7, NewestChange: catalogue.Position{Era: 4, Revision: 480}, AgeMs: 20, ReadsPlatform: true}},
	CopyNotices: []CopyNotice{{NewestChange: catalogue.Position{Era: 4, Revision: 481}}, {ReadFailed: true}},
}

// Recorded from the release that introduced eras. Later ones must be able to read it.
func TestRecordedCopyMessagesAreReadable(t *testing.T) {
	t.Parallel()
	_, d := decodeRecorded(t, "a40161610481a101070581a4010702a20104021901e0031404f50682a101a20104021901e1a201a002f5")
	require.Equal(t, Datagram{From: "a", Extensions: copyMessages}, d)
	require.Equal(t, KindStore, d.Kind())
}

func TestCopyStateOfAnEarlierReleaseIsInTheReceiversEra(t *testing.T) {
	t.Parallel()
	state := copyMessages.CopyStates[0]
	require.Equal(t, ProbeReply{Nonce: 7, NewestChange: 480, AgeMs: 20, ReadsPlatform: true}, state.WithoutEra())
	require.Equal(t, state, state.WithoutEra().InEra(4))
	notice := copyMessages.CopyNotices[0]
	require.Equal(t, notice, notice.WithoutEra().InEra(4))
	require.Equal(t, catalogue.Position{Era: 4, Revision: 7}, StoreUpdate{Revision: 7}.Position(4))
	require.Equal(t, catalogue.Position{Era: 5, Revision: 7}, StoreUpdate{Revision: 7, Era: 5, EraStated: true}.Position(4))
}

func TestQueryOfAnEarlierReleaseStatesNoEra(t *testing.T) {
	t.Parallel()
	q, err := parseUpdateQuery(map[string][]string{afterParam: {"3"}})
	require.NoError(t, err)
	require.Equal(t, UpdateQuery{After: catalogue.Position{Revision: 3}}, q)
	_, err = parseUpdateQuery(map[string][]string{afterParam: {"3"}, eraParam: {"x"}})
	require.ErrorContains(t, err, "era")
}

// Recorded from the release that introduced OutageEnd and SteadySince. Later ones must be able to read it.
func TestRecordedCopyStateAfterAnOutageIsReadable(t *testing.T) {
	t.Parallel()
	_, d := decodeRecorded(t, "a20161610581a6010702a20104021901e0031404f5051903210619032b")
	state := copyMessages.CopyStates[0]
	state.OutageEnd, state.SteadySince = 801, 811
	require.Equal(t, Datagram{From: "a", Extensions: Extensions{CopyStates: []CopyState{state}}}, d)
}

func TestAgoTellsTheTime(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	for _, then := range []time.Time{{}, now, now.Add(-800 * time.Millisecond)} {
		require.Equal(t, then, AgoAt(now, then).Before(now))
	}
	require.True(t, Ago(-5).Before(now).IsZero(), "no host states that")
}
