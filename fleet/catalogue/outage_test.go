package catalogue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/endpoint"
)

// seconds converts fractions of seconds, for times since start.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// newLoaded returns a catalogue with two endpoints, which was confirmed at start.
func newLoaded() *Catalogue {
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: atRevision(1), Full: true, Changes: registered(record("a", false), record("b", false))})
	return c
}

// Guards against DRAIN: removals were deferred after any time without a confirmation, also where no read had failed: the readers had ended, or
// the first copy of a host that started was old.
func TestTimeWithoutConfirmationAloneDefersNoRemoval(t *testing.T) {
	t.Parallel()
	for name, update := range map[string]Update{
		"own read":        {Confirmation: read(seconds(2.9)), Position: atRevision(2), Changes: removed("a")},
		"whole own read":  {Confirmation: read(seconds(2.9)), Position: atRevision(2), Full: true, Changes: registered(record("b", false))},
		"another host":    {Confirmation: sent(seconds(2.9)), Position: atRevision(2), Changes: removed("a")},
		"an older outage": {Confirmation: Confirmation{SentAt: at(seconds(2.9)), OutageEnd: at(seconds(-3))}, Position: atRevision(2), Changes: removed("a")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newLoaded().Apply(at(seconds(3)), update)
			require.Nil(t, d.Outage)
			require.Equal(t, removed("a"), d.Endpoints)
		})
	}
}

// The host that asks a reader learns from it that the store was away, though no read of its own failed. Both keep what is missing until the
// same moment.
func TestOutageThatAReaderStatesDefersRemovals(t *testing.T) {
	t.Parallel()
	reader, follower := newLoaded(), newLoaded()
	reader.ReadFailed(at(seconds(2)))
	d := reader.Apply(at(seconds(6.1)), Update{Confirmation: Confirmation{SentAt: at(seconds(6)), AnsweredAt: at(seconds(6.1))}, Position: atRevision(2), Changes: removed("a")})
	require.Equal(t, &Outage{Evidence: OwnReads, Gap: seconds(6), GraceEnd: at(seconds(8.1))}, d.Outage)
	d = follower.Apply(at(seconds(7)), Update{Confirmation: Confirmation{SentAt: at(seconds(6.7)), OutageEnd: reader.OutageEnd()}, Position: atRevision(2), Changes: removed("a")})
	require.Equal(t, &Outage{Evidence: Stated, Gap: seconds(6.7), GraceEnd: at(seconds(8.1))}, d.Outage)
	require.Equal(t, removed("a"), changesOfDeferred(d))
	for _, c := range []*Catalogue{reader, follower} {
		require.Empty(t, c.Tick(at(seconds(8))).Endpoints)
		require.Nil(t, c.Confirm(Confirmation{SentAt: at(seconds(8.1)), OutageEnd: reader.OutageEnd()}))
		require.Equal(t, removed("a"), c.Tick(at(seconds(8.2))).Endpoints)
	}
}

// changesOfDeferred returns the deferred removals as if they had taken effect.
func changesOfDeferred(d Difference) []Change { return removed(d.Deferred...) }

// A read that fails between two confirmations which are close to each other is no outage, nor does it make a later time without a confirmation one.
func TestReadThatFailsBetweenConfirmationsIsNoOutage(t *testing.T) {
	t.Parallel()
	c := newLoaded()
	c.ReadFailed(at(seconds(1)))
	require.Nil(t, c.Confirm(sent(seconds(2))))
	require.Nil(t, c.Confirm(sent(seconds(4.9))))
}

// Guards against LOST: in an outage hosts confirm each other's copies, by reads that were sent before it. That is no sign that the platform is back.
func TestConfirmationByAnEarlierReadIsNoSignThatThePlatformIsBack(t *testing.T) {
	t.Parallel()
	c := newLoaded()
	c.ReadFailed(at(seconds(1)))
	require.Nil(t, c.Confirm(sent(seconds(0.02))))
	d := c.Apply(at(seconds(6)), Update{Confirmation: read(seconds(6)), Position: atRevision(2), Changes: removed("a")})
	require.NotNil(t, d.Outage)
	require.Equal(t, removed("a"), changesOfDeferred(d))
}

// Guards against DRAIN: each host in a chain counted the grace period from when it learned of the return.
func TestGracePeriodCountsFromTheReturnAndNotFromWhenTheHostLearnsOfIt(t *testing.T) {
	t.Parallel()
	for name, confirmation := range map[string]Confirmation{
		"own read":             {SentAt: at(seconds(5)), AnsweredAt: at(seconds(6))},
		"read of another host": sent(seconds(6)),
		"stated by the reader": {SentAt: at(seconds(7)), OutageEnd: at(seconds(6))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newLoaded()
			c.ReadFailed(at(seconds(1)))
			require.Equal(t, at(seconds(8)), c.Confirm(confirmation).GraceEnd)
		})
	}
}

// Hosts that read the platform all the while say so: a host whose own reads failed was turned away, or had lost its way there.
func TestOwnFailedReadsAreNoOutageIfOthersReadAllTheWhile(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		steadySince time.Duration
		outage      bool
	}{
		"read all the while":             {seconds(-9), false},
		"read soon after":                {seconds(2.5), false},
		"did not read for as long as it": {seconds(2.6), true},
		"has just begun to read":         {seconds(6), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newLoaded()
			c.ReadFailed(at(seconds(1)))
			outage := c.Confirm(Confirmation{SentAt: at(seconds(6)), SteadySince: at(tc.steadySince)})
			require.Equal(t, tc.outage, outage != nil)
			if tc.outage {
				require.Equal(t, at(tc.steadySince+seconds(2)), outage.GraceEnd)
			}
		})
	}
}

// A host passes on how long its copy has been confirmed without a gap, by reads of several hosts, also across its own restart.
func TestSteadyTimeIsThatOfAllReads(t *testing.T) {
	t.Parallel()
	c := newLoaded()
	require.Equal(t, at(0), c.SteadySince())
	c.Confirm(Confirmation{SentAt: at(seconds(2)), AnsweredAt: at(seconds(3))})
	c.Confirm(Confirmation{SentAt: at(seconds(4)), SteadySince: at(seconds(1))})
	require.Equal(t, at(0), c.SteadySince())
	c.Confirm(Confirmation{SentAt: at(seconds(5)), SteadySince: at(seconds(-9))})
	require.Equal(t, at(seconds(-9)), c.SteadySince())
	c.Confirm(Confirmation{SentAt: at(seconds(9)), SteadySince: at(seconds(7))})
	require.Equal(t, at(seconds(-9)), c.SteadySince(), "no gap between 5 and 7")
	c.Confirm(read(seconds(12)))
	require.Equal(t, at(seconds(12)), c.SteadySince())

	first := newCatalogue()
	first.Confirm(Confirmation{SentAt: at(seconds(5)), SteadySince: at(seconds(-9))})
	require.Equal(t, at(seconds(-9)), first.SteadySince())
}

// A host that the store alone turns away must not make others defer removals.
func TestHostStatesOnlyOutagesThatWereWitnessed(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		confirmation Confirmation
		stated       bool
	}{
		"own reads failed, and one succeeds":               {read(seconds(6)), true},
		"own reads failed, and another host's read is new": {sent(seconds(6)), false},
		"another host has witnessed it":                    {Confirmation{SentAt: at(seconds(7)), OutageEnd: at(seconds(6))}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newLoaded()
			c.ReadFailed(at(seconds(1)))
			require.NotNil(t, c.Confirm(tc.confirmation))
			require.Equal(t, tc.stated, c.OutageEnd().Equal(at(seconds(6))))
			require.Equal(t, !tc.stated, c.OutageEnd().IsZero())
		})
	}
}

// The same holds where the store returned from an older copy, and for the registrations that are held back then.
func TestReturnFromAnOlderCopyCountsFromTheReturn(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: inEra(1, 500), Full: true, Changes: registered(record("a", false), record("b", false))})
	c.Apply(at(seconds(0.1)), Update{Confirmation: sent(seconds(0.1)), Position: inEra(1, 501), Changes: removed("b")})
	d := c.Apply(at(seconds(2)), Update{
		Confirmation: Confirmation{SentAt: at(seconds(1.5)), OutageEnd: at(seconds(1))}, Position: inEra(2, 480), Full: true, Changes: registered(record("b", false)),
	})
	require.Equal(t, removed("a"), changesOfDeferred(d))
	require.Equal(t, at(seconds(3)), d.GraceEnd)
	require.Equal(t, at(seconds(6)), c.held["b"].until)
}

// Guards against LOST: a reader's copy that is older than the end of the grace period does not tell yet which endpoints have registered again.
func TestRemovalThatAnOlderCopyTellsIsDeferredAfterTheGracePeriod(t *testing.T) {
	t.Parallel()
	c := newLoaded()
	d := c.Apply(at(seconds(8.3)), Update{
		Confirmation: Confirmation{SentAt: at(seconds(7.5)), OutageEnd: at(seconds(6))}, Position: atRevision(2), Changes: removed("a"),
	})
	require.Empty(t, d.Endpoints)
	require.Equal(t, removed("a"), changesOfDeferred(d))
	c.Confirm(sent(seconds(7.9)))
	require.Empty(t, c.Tick(at(seconds(8.4))).Endpoints)
	d = c.Apply(at(seconds(8.5)), Update{Confirmation: sent(seconds(8.2)), Position: atRevision(3), Changes: removed("b")})
	require.Equal(t, removed("b"), d.Endpoints, "the copy is from after the grace period")
	require.Equal(t, removed("a"), c.Tick(at(seconds(8.5))).Endpoints)
}

func TestAwaitedConfirmationIsThatOfWhatIsDeferredFirst(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	_, ok := c.AwaitedConfirmation()
	require.False(t, ok)
	records := []endpoint.Record{record("a", false), record("b", false)}
	c.Apply(at(0), Update{Confirmation: read(0), Position: inEra(1, 500), Full: true, Changes: append(registered(records...), evacuated("dc")...)})
	c.Apply(at(0), Update{Confirmation: read(0), Position: inEra(1, 501), Changes: removed("b")})
	requireFrom := func(want time.Duration) {
		from, ok := c.AwaitedConfirmation()
		require.True(t, ok)
		require.Equal(t, at(want), from)
	}
	c.Apply(at(seconds(1)), Update{Confirmation: read(seconds(1)), Position: inEra(2, 480), Full: true, Changes: registered(records[1])})
	requireFrom(seconds(3)) // the endpoint and the evacuation that the copy lacks
	c.Apply(at(seconds(2)), Update{Confirmation: read(seconds(2)), Position: inEra(2, 481), Changes: registered(records[0])})
	requireFrom(seconds(3)) // the evacuation
	c.Apply(at(seconds(2)), Update{Confirmation: read(seconds(2)), Position: inEra(2, 482), Changes: reopened("dc")})
	requireFrom(seconds(6)) // the registration that is held back
	c.Confirm(read(seconds(6)))
	c.Tick(at(seconds(6)))
	_, ok = c.AwaitedConfirmation()
	require.False(t, ok)
}
