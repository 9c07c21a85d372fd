package catalogue

import (
	"testing"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
)

func TestPastTellsWhichEndpointsHaveLeft(t *testing.T) {
	t.Parallel()
	record := func(id endpoint.ID, startedAt int64, version endpoint.Version) endpoint.Record {
		return endpoint.Record{Instance: endpoint.Instance{ID: id, StartedAt: startedAt}, Version: version}
	}
	registered := func(r endpoint.Record, revision, created Revision) DatedChange {
		return DatedChange{Change: Registered{Record: r}, Revision: revision, Created: created}
	}
	removed := func(id endpoint.ID, revision Revision) DatedChange {
		return DatedChange{Change: Removed{ID: id}, Revision: revision}
	}
	past := NewPast([]DatedChange{
		registered(record("left", 1, "v1"), 11, 3),
		registered(record("drained", 1, "v1"), 12, 0),
		registered(record("lapsed", 1, "v1"), 13, 0),
		registered(record("restarted", 1, "v1"), 14, 4),
		removed("lapsed", 15),
		removed("left", 16),
		registered(record("lapsed", 1, "v1"), 17, 0),
		registered(record("drained", 1, "v1"), 18, 0),
		registered(record("restarted", 2, "v2"), 19, 19),
		removed("drained", 20),
		removed("unknown", 21),
	})
	require.Equal(t, []endpoint.Record{record("drained", 1, "v1"), record("left", 1, "v1"), record("restarted", 1, "v1")}, past.Departed)
	require.Equal(t, map[endpoint.Instance]Revision{
		{ID: "left", StartedAt: 1}: 3, {ID: "drained", StartedAt: 1}: 12, {ID: "lapsed", StartedAt: 1}: 17,
		{ID: "restarted", StartedAt: 1}: 4, {ID: "restarted", StartedAt: 2}: 19,
	}, past.CreatedAt)
	require.Equal(t, []endpoint.Version{"v1"}, past.Versions())
}
