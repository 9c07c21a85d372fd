package catalogue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
)

// evacuationPrefix is the prefix of the keys of evacuated data centres in a storeModel.
const evacuationPrefix = "evacuated/"

func evacuated(dcs ...host.DataCentre) []Change {
	var changes []Change
	for _, dc := range dcs {
		changes = append(changes, Evacuated{dc})
	}
	return changes
}

func reopened(dcs ...host.DataCentre) []Change {
	var changes []Change
	for _, dc := range dcs {
		changes = append(changes, Reopened{dc})
	}
	return changes
}

func TestEvacuationCountsUntilItsKeyIsRemoved(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	d := c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 5), Full: true, Changes: evacuated("b", "a")})
	require.Equal(t, evacuated("b", "a"), d.DataCentres)
	d = c.Apply(at(1), Update{Confirmation: sent(1), Position: inEra(1, 6), Changes: evacuated("a")})
	require.Empty(t, d.DataCentres, "it is known")
	d = c.Apply(at(2), Update{Confirmation: sent(2), Position: inEra(1, 7), Changes: reopened("a", "unknown")})
	require.Equal(t, reopened("a"), d.DataCentres)
	d = c.Apply(at(3), Update{Confirmation: sent(3), Position: inEra(1, 8), Full: true, Changes: evacuated("c")})
	require.Equal(t, []Change{Evacuated{"c"}, Reopened{"b"}}, d.DataCentres, "the whole store has no other any more")
}

// The operator takes an evacuation back before a host has read that it began.
func TestEvacuationThatBeginsAndEndsInOneReadHasNoEffect(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 5), Full: true})
	d := c.Apply(at(1), Update{Confirmation: sent(1), Position: inEra(1, 7), Changes: []Change{Evacuated{"a"}, Reopened{"a"}}})
	require.Equal(t, []Change{Evacuated{"a"}, Reopened{"a"}}, d.DataCentres)
	d = c.Apply(at(2), Update{Confirmation: sent(2), Position: inEra(1, 8), Full: true})
	require.Empty(t, d.DataCentres)
}

func TestEvacuationThatAnOlderCopyLacksCountsUntilTheOperatorHadTimeToWriteItAgain(t *testing.T) {
	t.Parallel()
	newReturned := func() *Catalogue {
		c := newCatalogue()
		c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 500), Full: true, Changes: evacuated("a", "b")})
		d := c.Apply(at(time.Second), Update{Confirmation: sent(time.Second), Position: inEra(2, 480), Full: true})
		require.Empty(t, d.DataCentres)
		return c
	}
	c := newReturned()
	d := c.Apply(at(2*time.Second), Update{Confirmation: sent(2 * time.Second), Position: inEra(2, 480), Full: true})
	require.Empty(t, d.DataCentres, "a further read of the copy says nothing new")
	d = c.Apply(at(2*time.Second), Update{Confirmation: sent(2 * time.Second), Position: inEra(2, 481), Changes: evacuated("a")})
	require.Empty(t, d.DataCentres)
	require.Empty(t, c.Tick(at(time.Minute)).DataCentres, "the copy does not hold what was written since")
	c.Confirm(sent(3 * time.Second))
	require.Equal(t, reopened("b"), c.Tick(at(3*time.Second)).DataCentres, "the operator has not written it again")
	c.Confirm(sent(time.Minute))
	require.Empty(t, c.Tick(at(time.Minute)).DataCentres)

	c = newReturned()
	d = c.Apply(at(2*time.Second), Update{Confirmation: sent(2 * time.Second), Position: inEra(2, 482), Changes: reopened("a")})
	require.Equal(t, reopened("a"), d.DataCentres, "the operator has ended it")

	c = newReturned()
	c.ReadFailed(at(5 * time.Second))
	c.Confirm(sent(10 * time.Second))
	require.Empty(t, c.Tick(at(10*time.Second)).DataCentres, "the store was down since, so that the operator could not write")
	c.Confirm(sent(12 * time.Second))
	require.Equal(t, reopened("a", "b"), c.Tick(at(12*time.Second)).DataCentres)

	c = newReturned()
	c.Apply(at(2*time.Second), Update{Confirmation: sent(2 * time.Second), Position: inEra(3, 470), Full: true})
	c.Confirm(sent(3500 * time.Millisecond))
	require.Empty(t, c.Tick(at(3500*time.Millisecond)).DataCentres, "the store returned once more")
}

func TestEvacuationThatAnOlderCopyHasCountsUntilItIsEndedAgain(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 500), Full: true, Changes: evacuated("a")})
	c.Apply(at(1), Update{Confirmation: sent(1), Position: inEra(1, 501), Changes: reopened("a")})
	d := c.Apply(at(2), Update{Confirmation: sent(2), Position: inEra(2, 500), Full: true, Changes: evacuated("a")})
	require.Equal(t, evacuated("a"), d.DataCentres)
	c.Confirm(sent(time.Minute))
	require.Empty(t, c.Tick(at(time.Minute)).DataCentres)
	d = c.Apply(at(time.Minute), Update{Confirmation: sent(time.Minute), Position: inEra(2, 502), Changes: reopened("a")})
	require.Equal(t, reopened("a"), d.DataCentres)
}

func TestEndpointsOfADataCentreAreCounted(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	a, b := record("a", false), record("b", false)
	a.DataCentre, b.DataCentre = "z1", "z2"
	c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 5), Full: true, Changes: registered(a, b)})
	require.Equal(t, 1, c.EndpointsIn("z1"))
	require.Zero(t, c.EndpointsIn("z3"))
}

// evacuationBound is how long after its acknowledgement an evacuation counts at all hosts with a copy of the store that they may use.
const evacuationBound = 5 * time.Second

// evacuationFleet plays an operator who evacuates and reopens data centres, and hosts with copies of the store: the first ones that are not cut off
// read the store, the others read these.
type evacuationFleet struct {
	random *rand.Rand
	store  *storeModel
	now    time.Time
	hosts  []*evacuationHost
	// plans holds what the operator last wrote of each data centre.
	plans map[string]evacuationPlan
	// downUntil is when the store answers again, returnedAt when it last returned from an older copy, and rewriteAt when the operator writes again what
	// it lost; zero if nothing is to be written.
	downUntil, returnedAt, rewriteAt time.Time
}

type evacuationPlan struct {
	evacuated bool
	since     time.Time
}

type evacuationHost struct {
	*hostModel
	// loadedAt is when it got its first copy, and cutUntil when it reaches others again.
	loadedAt, cutUntil time.Time
}

func newEvacuationFleet(hosts int, seed uint64) *evacuationFleet {
	f := &evacuationFleet{
		random: rand.New(rand.NewPCG(seed, 11)), now: start, plans: make(map[string]evacuationPlan),
		store: &storeModel{era: 1, records: make(map[string]endpoint.Record)},
	}
	for range hosts {
		f.hosts = append(f.hosts, f.newHost())
	}
	return f
}

func (f *evacuationFleet) newHost() *evacuationHost {
	return &evacuationHost{hostModel: newHostModel(f.store)}
}

func (f *evacuationFleet) chance(p float64) bool { return f.random.Float64() < p }

func (f *evacuationFleet) within(d time.Duration) time.Time {
	return f.now.Add(time.Duration(f.random.Int64N(int64(d))))
}

func (f *evacuationFleet) down() bool { return f.now.Before(f.downUntil) }

// stepTime is the time between two steps.
const stepTime = 100 * time.Millisecond

func (f *evacuationFleet) step() {
	f.now = f.now.Add(stepTime)
	f.fail()
	f.operate()
	readers := f.refreshReaders()
	for _, h := range f.hosts {
		if len(readers) > 0 && !f.now.Before(h.cutUntil) {
			h.readHost(f.now, readers[f.random.IntN(len(readers))].hostModel)
		}
		h.catalogue.Tick(f.now)
		if h.loadedAt.IsZero() && h.catalogue.Position().Loaded() {
			h.loadedAt = f.now
		}
	}
}

// fail begins faults: the store is down, or returns from an older copy, hosts are cut off or start anew.
func (f *evacuationFleet) fail() {
	calm := f.now.Sub(f.returnedAt) > 4*time.Second && f.rewriteAt.IsZero()
	switch fault := f.random.Float64(); {
	case f.down() || !calm:
	case fault < 0.01:
		f.downUntil = f.within(8 * time.Second)
	case fault < 0.02:
		f.store.returnFromCopy(f.random.IntN(6))
		f.returnedAt, f.rewriteAt = f.now, f.within(1800*time.Millisecond)
	}
	for i, h := range f.hosts {
		switch {
		case f.chance(0.005):
			h.cutUntil = f.within(10 * time.Second)
		case f.chance(0.002):
			f.hosts[i] = f.newHost()
		}
	}
}

// operate lets the operator write.
func (f *evacuationFleet) operate() {
	switch {
	case f.down():
	case !f.rewriteAt.IsZero():
		if !f.now.Before(f.rewriteAt) {
			f.rewriteAt = time.Time{}
			f.rewrite()
		}
	case f.chance(0.02):
		dc := fmt.Sprint("dc-", f.random.IntN(3))
		f.plans[dc] = evacuationPlan{evacuated: !f.plans[dc].evacuated, since: f.now}
		f.store.write(Entry{Key: evacuationPrefix + dc, Value: []byte("{}"), Removed: !f.plans[dc].evacuated})
	}
}

// rewrite writes again what the store has lost.
func (f *evacuationFleet) rewrite() {
	stored := make(map[string]bool)
	for _, e := range f.store.log {
		stored[e.Key] = !e.Removed
	}
	for _, dc := range []string{"dc-0", "dc-1", "dc-2"} {
		plan := f.plans[dc]
		if stored[evacuationPrefix+dc] == plan.evacuated {
			continue
		}
		if !plan.evacuated {
			f.plans[dc] = evacuationPlan{since: f.now}
		}
		f.store.write(Entry{Key: evacuationPrefix + dc, Value: []byte("{}"), Removed: !plan.evacuated})
	}
}

// refreshReaders lets two hosts read the store and returns them.
func (f *evacuationFleet) refreshReaders() []*evacuationHost {
	var readers []*evacuationHost
	for _, h := range f.hosts {
		if f.now.Before(h.cutUntil) || len(readers) == 2 {
			continue
		}
		readers = append(readers, h)
		if f.down() {
			continue
		}
		position := h.catalogue.Position()
		if position.Era != f.store.era || !position.Loaded() || f.chance(0.02) {
			h.apply(f.now, f.now, f.store.readAll())
		} else {
			h.apply(f.now, f.now, f.store.watch(position.Revision, f.store.revision()))
		}
	}
	return readers
}

// readBefore reports whether the host had a copy, and read others, in the step before a time.
func (h *evacuationHost) readBefore(t time.Time) bool {
	return h.loadedAt.Before(t) && h.cutUntil.Before(t.Add(-stepTime))
}

// check requires that each host with a copy that it may use knows what the operator wrote evacuationBound ago.
func (f *evacuationFleet) check(t *testing.T) (checked int) {
	for i, h := range f.hosts {
		if !h.catalogue.Position().Loaded() || h.catalogue.Age(f.now) >= h.catalogue.cfg.Lease {
			continue
		}
		for dc, plan := range f.plans {
			since := plan.since
			if f.returnedAt.After(since) && !h.readBefore(f.returnedAt) {
				// What the store has lost, such a host learns when it is written again.
				since = f.returnedAt.Add(2 * time.Second)
			}
			undecided := !plan.evacuated && (!f.rewriteAt.IsZero() || h.catalogue.evacuations.unconfirmed[host.DataCentre(dc)])
			if undecided || f.now.Sub(since) <= evacuationBound {
				continue
			}
			checked++
			require.Equal(t, plan.evacuated, h.catalogue.evacuations.active[host.DataCentre(dc)], "host %d, %s, %s after the start", i, dc, f.now.Sub(start))
		}
	}
	return checked
}

// Evacuations begin and end while the store is down or returns from older copies, hosts are cut off, readers change and hosts start. Whatever
// happens, a host whose copy the lease allows it to use knows an evacuation and its end in time.
func TestHostsKnowEvacuationsInTimeWhateverFails(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{1, 3, 8, 60} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			checked := 0
			for seed := range uint64(20) {
				f := newEvacuationFleet(hosts, seed)
				for range 1200 {
					f.step()
					checked += f.check(t)
				}
			}
			require.Greater(t, checked, 1000)
		})
	}
}
