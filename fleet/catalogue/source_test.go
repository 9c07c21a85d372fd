package catalogue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"balsamknot.org/fleet/host"
)

// region plays hosts that learn of one change of the platform, while the platform turns some of them away.
type region struct {
	hosts  []*learner
	ranked []host.ID
	now    time.Time
	// changed is when the platform changed, and read counts reads of it that succeeded.
	changed time.Time
	read    int
}

type learner struct {
	id     host.ID
	source *Source
	blind  bool
	// known is true once it knows anything.
	known bool
	// knows is when it learnt of the change, confirmed up to when its knowledge is complete, and reads when it last read.
	knows, confirmed, reads time.Time
	// rests is until when it waits after a step, and watches since when it waits for the platform; zero for not.
	rests, watches time.Time
	// followers asked it, with the time.
	followers map[*learner]time.Time
}

// Times of the play, as hosts have them.
const (
	playStep    = 10 * time.Millisecond
	watchFor    = time.Second
	readFor     = 20 * time.Millisecond
	afterAsking = 600 * time.Millisecond
	afterRead   = 300 * time.Millisecond
	readsLately = 2500 * time.Millisecond
	askedLately = 3 * time.Second
	oldReader   = 2400 * time.Millisecond
	playHosts   = 40
	playRanked  = 8
)

func newRegion(blind int, changed time.Duration) *region {
	r := &region{now: at(0), changed: at(changed)}
	for i := range playHosts {
		id := host.ID(fmt.Sprintf("h%02d", i))
		if i < playRanked {
			r.ranked = append(r.ranked, id)
		}
		r.hosts = append(r.hosts, &learner{
			id: id, blind: i < blind, known: true, confirmed: at(0), followers: map[*learner]time.Time{},
			rests: at(time.Duration(i) * playStep),
			source: NewSource(SourceConfig{
				Self: id, Readers: 2, Direct: 2400 * time.Millisecond, First: 150 * time.Millisecond,
				Retry: 2 * time.Second, Pause: 500 * time.Millisecond, Soon: 30 * time.Millisecond, Again: 20 * time.Millisecond,
			}),
		})
	}
	return r
}

func (r *region) play(until time.Duration) {
	for ; r.now.Before(at(until)); r.now = r.now.Add(playStep) {
		for _, l := range r.hosts {
			r.step(l)
		}
	}
}

func (r *region) step(l *learner) {
	if !l.watches.IsZero() {
		r.watch(l)
		return
	}
	if r.now.Before(l.rests) {
		return
	}
	step := l.source.Next(r.now, r.ranked, l.known, r.now.Sub(l.confirmed))
	switch {
	case step.Wait > 0:
		l.rests = r.now.Add(step.Wait)
	case step.Reader != "":
		r.ask(l, step)
	case l.blind:
		l.source.Failed(r.now, step)
	default:
		l.watches = r.now
		r.watch(l)
	}
}

// watch goes on with a read of the platform.
func (r *region) watch(l *learner) {
	news := !r.now.Before(r.changed) && l.knows.IsZero()
	switch {
	case !l.known && r.now.Sub(l.watches) < readFor, l.known && !news && r.now.Sub(l.watches) < watchFor:
		return
	}
	r.read++
	l.known = true
	l.confirmed, l.reads = l.watches, l.watches
	l.watches, l.rests = time.Time{}, r.now.Add(afterRead)
	l.source.Done(Step{})
	if news {
		r.learn(l)
	}
}

func (r *region) learn(l *learner) {
	l.knows = r.now
	for f, asked := range l.followers {
		if r.now.Sub(asked) < askedLately {
			f.source.Done(Step{Reader: l.id})
			f.rests = r.now
		}
	}
}

func (r *region) ask(l *learner, step Step) {
	for _, reader := range r.hosts {
		if reader.id != step.Reader {
			continue
		}
		if !reader.known {
			l.source.New(r.now, step)
			return
		}
		l.known = true
		reader.followers[l] = r.now
		if reader.confirmed.After(l.confirmed) {
			l.confirmed = reader.confirmed
		}
		if !reader.knows.IsZero() && l.knows.IsZero() {
			r.learn(l)
		}
		if r.now.Sub(reader.reads) >= readsLately || r.now.Sub(reader.confirmed) > oldReader {
			l.source.Failed(r.now, step)
			return
		}
		l.source.Done(step)
		l.rests = r.now.Add(afterAsking)
	}
}

// An endpoint leaves while the platform turns the first hosts of the order away, those that read it for the others among
// them. Every host that is not turned away itself knows of it within half the time in which it has to stop sending.
func TestHostsLearnInTimeWhileReadersAreTurnedAway(t *testing.T) {
	t.Parallel()
	const drainLimit = 3 * time.Second
	for _, blind := range []int{0, 1, 2, 3, 4, 6} {
		for changed := 8 * time.Second; changed < 11*time.Second; changed += 70 * time.Millisecond {
			r := newRegion(blind, changed)
			r.play(changed + drainLimit)
			for _, l := range r.hosts[blind:] {
				require.False(t, l.knows.IsZero(), "%d turned away: host %s does not know", blind, l.id)
				require.Less(t, l.knows.Sub(r.changed), drainLimit/2, "%d turned away: host %s", blind, l.id)
			}
		}
	}
}

// Power comes back, and every host starts within a moment. Each knows the set in the time that a request waits for one, and
// most of them have it from others.
func TestHostsThatStartTogetherKnowAtOnce(t *testing.T) {
	t.Parallel()
	const requestWaits = 250 * time.Millisecond
	r := newRegion(0, time.Hour)
	for i, l := range r.hosts {
		l.known, l.rests = false, at(time.Duration(i*7%10)*playStep)
		l.confirmed = l.rests
	}
	r.play(requestWaits)
	for _, l := range r.hosts {
		require.True(t, l.known, "host %s", l.id)
	}
	require.LessOrEqual(t, r.read, 2*playRanked)
}
