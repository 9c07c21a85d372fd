package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func config(seed uint64) Config {
	return Config{Seed: seed, Hosts: 5, Endpoints: 9, Length: 20 * time.Second}
}

func TestSameSeedGivesSameFaults(t *testing.T) {
	t.Parallel()
	first, second := Generate(config(3)), Generate(config(3))
	require.Equal(t, first, second)
	require.NotEqual(t, first, Generate(config(4)))
}

// Every fault ends within the run. Over many seeds, every action occurs and some faults overlap.
func TestFaultsEndWithinRunAndOverlap(t *testing.T) {
	t.Parallel()
	actions, overlaps := map[Action]bool{}, 0
	for seed := range uint64(50) {
		faults := Generate(config(seed))
		require.NotEmpty(t, faults, "seed %d", seed)
		for i, f := range faults {
			actions[f.Action] = true
			require.LessOrEqual(t, f.At+f.For, config(seed).Length)
			require.NotEmpty(t, f.Action.String())
			if i > 0 && f.At < faults[i-1].At+faults[i-1].For {
				overlaps++
			}
		}
	}
	require.Len(t, actions, len(actionNames))
	require.Positive(t, overlaps)
}

// Beside the faults of endpoints, cache lists of some endpoints come late while all hosts start, or those of one not at all, and hosts end at about the moment at which the
// store returns from an older copy. Schedules of other seeds have no late cache lists.
func TestHostsEndWhileCacheListsComeLateAndBesideReturnsOfTheStore(t *testing.T) {
	t.Parallel()
	lateStarts, silentStarts, returns := 0, 0, 0
	for seed := range uint64(50) {
		faults := Generate(config(seed))
		silent := 0
		for _, f := range faults {
			switch {
			case f.Action == DelayCacheLists:
				require.Equal(t, uint64(endpointRemainder), seed%endpointSeeds)
				require.GreaterOrEqual(t, f.Delay, minListDelay)
				if f.Delay == f.For {
					silent++
				} else {
					require.Less(t, f.Delay, maxListDelay)
				}
				require.Positive(t, countEnds(faults, KillAllHosts, f.At, f.At+lateListsLead))
				lateStarts++
			case f.Action == ReturnStore && seed%endpointSeeds == endpointRemainder && seed%returnSeeds != returnRemainder:
				end := f.At + f.For
				require.Positive(t, countEnds(faults, KillHost, end-maxKillLag, end+maxKillLag))
				returns++
			}
		}
		require.LessOrEqual(t, silent, maxLateStarts)
		silentStarts += silent
	}
	require.Positive(t, lateStarts)
	require.Positive(t, silentStarts)
	require.Positive(t, returns)
}

// The seeds with faults of streams have each kind of them: processes of the same and of another version that register at once or later, and each
// misplacement. Other seeds have none.
func TestStreamsAreCutAndMisplacedOnTheirSeeds(t *testing.T) {
	t.Parallel()
	switches, sicknesses := map[[2]bool]bool{}, map[Misbehaviour]bool{}
	for seed := range uint64(120) {
		for _, f := range Generate(config(seed)) {
			switch f.Action {
			case SwitchEngine:
				switches[[2]bool{f.Upgrade, f.Delay > 0}] = true
				require.Less(t, f.Delay, maxRegistrationDelay)
			case SickenEngines:
				sicknesses[f.Sickness] = true
				require.True(t, f.Sickness.Misplaces())
			default:
				require.False(t, f.Sickness.Misplaces())
				continue
			}
			require.Equal(t, uint64(streamRemainder), seed%streamSeeds)
		}
	}
	require.Len(t, switches, 4)
	require.Len(t, sicknesses, len(misplacements))
}

// Surges come on their seeds alone, each beside another fault, and do not overlap.
func TestSurgesComeBesideOtherFaultsOnTheirSeeds(t *testing.T) {
	t.Parallel()
	beside := map[Action]int{}
	for seed := range uint64(50) {
		faults := Generate(config(seed))
		var end time.Duration
		for _, f := range faults {
			if f.Action != SurgeLoad {
				continue
			}
			require.Equal(t, uint64(surgeRemainder), seed%surgeSeeds)
			require.GreaterOrEqual(t, f.At, end)
			end = f.At + f.For
			for _, action := range []Action{ReplaceEndpoint, EndEndpoint, KillAllHosts} {
				beside[action] += countEnds(faults, action, f.At+surgeLead, f.At+surgeLead)
			}
		}
	}
	require.Len(t, beside, 3)
	require.Positive(t, beside[ReplaceEndpoint])
	require.Positive(t, beside[EndEndpoint])
	require.Positive(t, beside[KillAllHosts])
}

// Entries of another writer come on their seeds alone, beside a request that crashes endpoints; some of them stay.
func TestForeignEntriesComeOnTheirSeeds(t *testing.T) {
	t.Parallel()
	entries, lasting := 0, 0
	for seed := range uint64(50) {
		cfg := config(seed)
		for _, f := range Generate(cfg) {
			if f.Action != WriteForeignEntry {
				continue
			}
			entries++
			require.Equal(t, uint64(entryRemainder), seed%entrySeeds)
			require.LessOrEqual(t, f.At+f.For, cfg.Length)
			if f.At+f.For == cfg.Length {
				lasting++
			}
		}
	}
	require.Greater(t, entries, lasting)
	require.Positive(t, lasting)
}

// Endpoints become cold on their seeds alone, and the registrations of those that run say so late.
func TestEndpointsBecomeColdOnTheirSeeds(t *testing.T) {
	t.Parallel()
	returns, turns := 0, 0
	for seed := range uint64(50) {
		faults := Generate(config(seed))
		require.Equal(t, seed%coldSeeds == coldRemainder, HasCold(faults), "seed %d", seed)
		for _, f := range faults {
			switch f.Action {
			case ReturnCold:
				returns++
			case TurnCold:
				require.Less(t, f.Delay, maxColdNotice)
				turns++
			default:
			}
		}
	}
	require.Positive(t, returns)
	require.Positive(t, turns)
}

// countEnds returns how many faults with an action start from one time to another.
func countEnds(faults []Fault, action Action, from, to time.Duration) int {
	count := 0
	for _, f := range faults {
		if f.Action == action && f.At >= from && f.At <= to {
			count++
		}
	}
	return count
}
