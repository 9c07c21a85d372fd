package catalogue

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/host"
	"balsamknot.org/fleet/site"
)

func init() { _ = flag.Set("rapid.seed", "20261205") }

// storeModel is a store with endpoints, which may lose its history of changes and return from an older copy of itself.
type storeModel struct {
	log     []Entry
	era     Era
	records map[string]endpoint.Record
	// lastStart is the start time of the latest instance.
	lastStart int64
}

// register writes the registration of an endpoint: as it is, as leaving, or of a later instance, which may have another version.
func (s *storeModel) register(r *rapid.T, id string) {
	record, registered := s.endpoints()[endpoint.ID(id)]
	switch kind := rapid.SampledFrom([]string{"unchanged", "leaving", "restarted"}).Draw(r, "kind"); {
	case !registered || kind == "restarted":
		s.lastStart++
		record = instanceRecord(id, s.lastStart, false)
		record.Version = rapid.SampledFrom([]endpoint.Version{"v1", "v2"}).Draw(r, "version")
	case kind == "leaving":
		record.Leaving = true
	}
	value := fmt.Sprint(record)
	s.records[value] = record
	s.write(Entry{Key: id, Value: []byte(value)})
}

func (s *storeModel) write(e Entry) {
	e.Revision = s.revision() + 1
	s.log = append(s.log, e)
}

func (s *storeModel) revision() Revision { return Revision(len(s.log) + 1) }

// returnFromCopy loses the last changes.
func (s *storeModel) returnFromCopy(lost int) {
	s.log = s.log[:max(len(s.log)-lost, 0)]
	s.era++
}

// endpoints returns what a plain map holds after all changes in order.
func (s *storeModel) endpoints() map[endpoint.ID]endpoint.Record {
	endpoints := make(map[endpoint.ID]endpoint.Record)
	for _, e := range s.log {
		if e.Removed {
			delete(endpoints, endpoint.ID(e.Key))
		} else {
			endpoints[endpoint.ID(e.Key)] = s.records[string(e.Value)]
		}
	}
	return endpoints
}

// answer is the result of one read.
type answer struct {
	entries []Entry
	at      Position
	full    bool
}

// watch returns the changes after a revision up to another one.
func (s *storeModel) watch(after, upTo Revision) answer {
	return answer{entries: slices.Clone(s.log[after-1 : upTo-1]), at: inEra(s.era, upTo)}
}

func (s *storeModel) readAll() answer {
	a := answer{at: inEra(s.era, s.revision()), full: true}
	for _, e := range latest(s.log, 0) {
		if !e.Removed {
			a.entries = append(a.entries, e)
		}
	}
	return a
}

// hostModel is a host with a copy of the store.
type hostModel struct {
	store     *storeModel
	catalogue *Catalogue
	history   *History
	// answers are those of the current era that it read.
	answers []answer
}

func newHostModel(s *storeModel) *hostModel {
	return &hostModel{store: s, catalogue: newCatalogue(), history: NewHistory()}
}

func (h *hostModel) apply(now, sentAt time.Time, a answer) {
	position := h.catalogue.Position()
	if !position.Admits(a.at, a.full) {
		return
	}
	var changes []Change
	for _, e := range a.entries {
		dataCentre, isEvacuation := strings.CutPrefix(e.Key, evacuationPrefix)
		switch {
		case isEvacuation && e.Removed:
			changes = append(changes, Reopened{host.DataCentre(dataCentre)})
		case isEvacuation:
			changes = append(changes, Evacuated{host.DataCentre(dataCentre)})
		case e.Removed:
			changes = append(changes, Removed{endpoint.ID(e.Key)})
		default:
			changes = append(changes, Registered{h.store.records[string(e.Value)]})
		}
	}
	h.catalogue.Apply(now, Update{Confirmation: Confirmation{SentAt: sentAt}, Position: a.at, Full: a.full, Changes: changes})
	if !position.Includes(a.at, a.full) {
		h.history.Record(now, a.entries, a.at, a.full)
	}
}

// readStore reads some of the changes after the host's position, or the whole store if it must or history is lost.
func (h *hostModel) readStore(r *rapid.T, now time.Time, historyLost bool) {
	position := h.catalogue.Position()
	if position.Era != h.store.era || !position.Loaded() {
		h.answers, historyLost = nil, true
	}
	a := h.store.readAll()
	if !historyLost {
		newest := int(h.store.revision())
		upTo := rapid.OneOf(rapid.Just(newest), rapid.IntRange(int(position.Revision), newest)).Draw(r, "up to")
		a = h.store.watch(position.Revision, Revision(upTo))
	}
	h.answers = append(h.answers, a)
	h.apply(now, now, a)
}

// repeatAnswer applies an answer again that was read before. A whole read is not repeated, since it replaces the copy.
func (h *hostModel) repeatAnswer(r *rapid.T, now time.Time) {
	if len(h.answers) == 0 {
		return
	}
	if a := rapid.SampledFrom(h.answers).Draw(r, "repeated"); !a.full {
		h.apply(now, h.catalogue.confirmedAt, a)
	}
}

// readHost reads what another host has of the store.
func (h *hostModel) readHost(now time.Time, reader *hostModel) {
	if !reader.catalogue.Position().Loaded() {
		return
	}
	entries, full := reader.history.Since(h.catalogue.Position())
	for i := range entries {
		entries[i].Revision = 0
	}
	h.apply(now, reader.catalogue.confirmedAt, answer{entries: entries, at: reader.history.Position(), full: full})
}

// requireEqual requires that a copy has the endpoints of the store, none of them as ready that leaves. After a return of the store an endpoint may
// stay out of use until it registers anew.
func (h *hostModel) requireEqual(r *rapid.T, want map[endpoint.ID]endpoint.Record) {
	got := h.catalogue.endpoints
	require.Len(r, got, len(want))
	for id, record := range want {
		if h.store.era > 1 && !record.Leaving {
			record.Leaving = got[id].Leaving
		}
		require.Equal(r, record, got[id])
	}
}

// Guards against ORDER and LOST: changes of the store took effect in another order than that of their revisions.
func TestCopyEqualsAPlainMapHoweverChangesAreCutIntoAnswers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		store := &storeModel{era: 1, records: make(map[string]endpoint.Record)}
		reader, follower := newHostModel(store), newHostModel(store)
		now := start
		steps := []string{"register", "register", "remove", "replace", "replace", "read", "read", "repeat", "repeat", "read host", "pause", "rare"}
		for range 60 {
			id := fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(r, "endpoint"))
			step := rapid.SampledFrom(steps).Draw(r, "step")
			if step == "rare" {
				step = rapid.SampledFrom([]string{"lose history", "return", "register"}).Draw(r, "rare step")
			}
			switch step {
			case "register":
				store.register(r, id)
			case "remove":
				store.write(Entry{Key: id, Removed: true})
			case "replace":
				store.write(Entry{Key: id, Removed: true})
				store.register(r, id)
			case "read":
				reader.readStore(r, now, false)
			case "repeat":
				reader.repeatAnswer(r, now)
			case "read host":
				follower.readHost(now, reader)
			case "pause":
				now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(r, "s")) * time.Second)
				reader.catalogue.Tick(now)
				follower.catalogue.Tick(now)
			case "lose history":
				reader.readStore(r, now, true)
			case "return":
				store.returnFromCopy(rapid.IntRange(0, 8).Draw(r, "lost"))
			}
		}
		for _, pause := range []time.Duration{0, time.Minute} {
			now = now.Add(pause)
			for reader.catalogue.Position() != inEra(store.era, store.revision()) {
				reader.readStore(r, now, false)
			}
			follower.readHost(now, reader)
		}
		for _, h := range []*hostModel{reader, follower} {
			h.catalogue.Confirm(Confirmation{SentAt: now.Add(time.Minute)})
			h.catalogue.Tick(now.Add(time.Minute))
			h.requireEqual(r, store.endpoints())
		}
	})
}

// Guards against ORDER and LOST: the removals of an answer were applied last, so that an endpoint that was back was dropped.
func TestRegistrationsAndRemovalsOfOneAnswerTakeEffectInOrder(t *testing.T) {
	t.Parallel()
	earlier, later := instanceRecord("a", 1, false), instanceRecord("a", 2, false)
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: atRevision(1), Full: true, Changes: registered(earlier)})
	d := c.Apply(at(1), Update{Confirmation: sent(1), Position: atRevision(5), Changes: []Change{
		Removed{"a"}, Registered{later}, Registered{record("b", false)}, Removed{"b"},
	}})
	require.Equal(t, []Change{Removed{"a"}, Registered{later}, Registered{record("b", false)}, Removed{"b"}}, d.Endpoints)
	require.Contains(t, c.departed, earlier.Instance)
}

func TestSetsOfOneAnswerTakeEffectInOrder(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	newer := &site.Set{Version: 3}
	d := c.Apply(at(0), Update{Confirmation: sent(0), Position: atRevision(1), Changes: []Change{Published{&site.Set{Version: 2}}, Published{newer}}})
	require.Same(t, newer, d.Set)
}

func TestAnswerThatTheCopyAlreadyHasIsNotAppliedAgain(t *testing.T) {
	t.Parallel()
	c := newCatalogue()
	c.Apply(at(0), Update{Confirmation: sent(0), Position: atRevision(1), Full: true, Changes: registered(record("a", false))})
	c.Apply(at(1), Update{Confirmation: sent(1), Position: atRevision(3), Changes: removed("a")})
	require.Empty(t, c.Apply(at(2), Update{Confirmation: sent(2), Position: atRevision(2), Changes: registered(record("a", false))}).Endpoints)
}

func TestHistoryKeepsTheOrderOfChangesOfAnotherReader(t *testing.T) {
	t.Parallel()
	entries := []Entry{{Key: "c", Value: []byte("v")}, {Key: "a", Removed: true}, {Key: "b", Value: []byte("v")}}
	h := NewHistory()
	h.Record(start, []Entry{{Key: "a", Value: []byte("v")}}, atRevision(1), true)
	h.Record(start, entries, atRevision(5), false)
	since, full := h.Since(atRevision(1))
	require.False(t, full)
	require.Equal(t, entries, since)
}
