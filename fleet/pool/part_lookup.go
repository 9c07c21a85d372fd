package pool

import (
	"slices"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
	"balsamknot.org/fleet/site"
	"balsamknot.org/fleet/stream"
)

// PartLookup names a part of a prompt at the length that it has in one request. The last part of a session's prompts has another length in each
// turn.
type PartLookup struct {
	Service site.ServiceName
	Part    chat.PartID
	// MinTokens and MaxTokens bound the tokens that an engine keeps if it ran that request; a MaxTokens of 0 is no bound.
	MinTokens, MaxTokens int
	// Group has the engines that are meant.
	Group ListGroup
	// TakenUp is the stream whose version is looked up.
	TakenUp TakenUp
}

// PartQueried asks which versions cache a part of a prompt. While that is not known, the keeper lists the caches of the engines that it has not
// listed; see Keeper.VersionsCaching. Whoever needs the answer repeats the event until there is one.
type PartQueried struct {
	Lookup PartLookup
	// KeeperUnconfirmed is SlotRequested.KeeperUnconfirmed.
	KeeperUnconfirmed bool
}

func (PartQueried) event() {}

// queryPart requests the lists that a lookup needs. No slot request waits for them.
func (s *service) queryPart(now time.Time, e PartQueried) []Command {
	s.noteTakenUp(now, e.Lookup)
	if s.engine == nil || e.KeeperUnconfirmed {
		return nil
	}
	if _, known := s.versionsCaching(now, e.Lookup); known {
		return nil
	}
	return s.demandLists(now, s.members(e.Lookup.Group))
}

// VersionsCaching returns the software versions at which the stream of a lookup can have begun, in order: those whose engines are known to cache the part
// of the prompt at the given length, as far as nothing else excludes them. known is false while the list of an engine is awaited that could add a version.
func (k *Keeper) VersionsCaching(now time.Time, lookup PartLookup) (versions []endpoint.Version, known bool) {
	return k.service(lookup.Service).versionsCaching(now, lookup)
}

// versionsCaching returns Keeper.VersionsCaching.
func (s *service) versionsCaching(now time.Time, lookup PartLookup) (versions []endpoint.Version, known bool) {
	if s.engine == nil {
		return nil, false
	}
	return decideVersions(s.answerGroup(now, lookup))
}

// decideVersions returns the versions that answers found, and beside these the ones that are possible, unless the other streams of the session exclude
// some; see amongSession. An engine that has not listed its cache may
// cache the part too, as one does that lost the request before its first event, so that a version counts as the only one when all engines of the
// others are listed or overdue. That one engine lists it is no proof then, but an engine that is silent for long costs no more than the streams that it
// began. Without a version that is found, all engines must be listed. Several remain several.
func decideVersions(answers ...GroupAnswer) (versions []endpoint.Version, known bool) {
	var awaited, possible []endpoint.Version
	allListed := true
	for _, a := range answers {
		versions = append(versions, a.Found...)
		possible = append(possible, a.Possible...)
		awaited = append(awaited, a.Awaited...)
		allListed = allListed && !a.Unlisted
	}
	versions = distinct(versions)
	switch len(versions) {
	case 0:
		return nil, allListed
	case 1:
		isOther := func(v endpoint.Version) bool { return v != versions[0] }
		if slices.ContainsFunc(awaited, isOther) {
			return nil, false
		}
	}
	if open := distinct(append(slices.Clone(versions), possible...)); len(open) > len(versions) {
		return open, true
	}
	return amongSession(versions, answers)
}

// amongSession returns which of the versions that were found the stream of a lookup can have begun at, if several cache the part, or engines left that
// may have cached it before anybody knew. Each engine that caches the part, or did, has run a stream of the session. One that is the only one of its session
// began where the part is found. Of several the oldest began at the earliest version and the newest at the latest one, since sessions move in this direction
// only. Nothing tells the version of the others.
func amongSession(found []endpoint.Version, answers []GroupAnswer) (versions []endpoint.Version, known bool) {
	open := slices.Clone(found)
	standing := answers[0].Standing
	for _, a := range answers {
		open = append(open, a.Left...)
		if a.Standing != standing {
			standing = Between
		}
	}
	open = distinct(open)
	if len(open) < 2 {
		return open, true
	}
	isOpen := func(v endpoint.Version) bool { return slices.Contains(open, v) }
	order := slices.DeleteFunc(slices.Clone(answers[0].Order), func(v endpoint.Version) bool { return !isOpen(v) })
	switch {
	case standing == Undecided:
		return nil, false
	case standing == Untold, standing == Alone:
		return found, true
	case len(order) < len(open):
		return open, true
	case standing == Oldest:
		return order[:1], true
	case standing == Newest:
		return order[len(order)-1:], true
	}
	return open, true
}

// AnswerGroup returns what the keeper knows of the engines of the lookup's group.
func (k *Keeper) AnswerGroup(now time.Time, lookup PartLookup) GroupAnswer {
	return k.service(lookup.Service).answerGroup(now, lookup)
}

func (s *service) answerGroup(now time.Time, lookup PartLookup) GroupAnswer {
	a := GroupAnswer{Group: lookup.Group, Order: s.versionOrder(now), Standing: s.standing(now, lookup)}
	s.noteCaching(now, lookup, &a)
	for _, st := range s.members(lookup.Group) {
		if st.list.state == listed || st.caches(lookup) {
			continue
		}
		a.Unlisted = true
		if !st.evacuated && !st.list.overdue(now) {
			a.Awaited = append(a.Awaited, st.record.Version)
		}
	}
	a.Found, a.Possible, a.Left, a.Awaited = distinct(a.Found), distinct(a.Possible), distinct(a.Left), distinct(a.Awaited)
	return a
}

// noteCaching adds the versions to an answer whose engines are known to cache the part, or did until they left.
func (s *service) noteCaching(now time.Time, lookup PartLookup, a *GroupAnswer) {
	unsure := s.mayBeOlder(now) && s.hadSeveralVersions(now)
	note := func(version endpoint.Version, hash uint64, parts map[chat.PartID]cachedPart) {
		part, cached := parts[lookup.Part]
		switch {
		case !cached || !part.matches(lookup) || !lookup.Group.contains(hash):
		case part.granted && unsure:
			a.Possible = append(a.Possible, version)
		default:
			a.Found = append(a.Found, version)
		}
	}
	for _, st := range s.enginesCaching(lookup.Part, s.members(lookup.Group)) {
		note(st.record.Version, st.hash, st.cachedParts)
	}
	for _, d := range s.departed.lately(now) {
		note(d.version, d.hash, d.parts)
		if _, cached := d.parts[lookup.Part]; d.unlisted && !cached && s.mayBeOlder(now) && lookup.Group.contains(d.hash) {
			a.Left = append(a.Left, d.version)
		}
	}
}

// mayBeOlder reports whether a stream that is taken up may have begun before this host began to follow the services. What the host granted since is
// no sign then of where the stream began: another stream of the same session may have got that slot.
func (s *service) mayBeOlder(now time.Time) bool { return now.Sub(s.startedAt) < stream.Lifetime }

// hadSeveralVersions reports whether engines of several versions are registered, or were within stream.Lifetime.
func (s *service) hadSeveralVersions(now time.Time) bool {
	versions := s.versions()
	for _, d := range s.departed.lately(now) {
		versions = append(versions, d.version)
	}
	return len(distinct(versions)) > 1
}

// noteOwnPart records the last part of a prompt for which a slot is granted at an engine that has not listed its cache, so that the list is not taken for
// a sign of where an older stream of the same session began.
func (s *service) noteOwnPart(now time.Time, st *endpointState, p chat.Prompt) {
	if s.engine == nil || len(p.Parts) == 0 || st.list.state == listed || !s.mayBeOlder(now) {
		return
	}
	s.grantPart(now, st, p.Parts[len(p.Parts)-1].ID)
}

// enginesCaching returns the engines that may be known to cache a part: those of the index, unless it is full, and members then.
func (s *service) enginesCaching(part chat.PartID, members []*endpointState) []*endpointState {
	if indexed := s.caching[part]; len(indexed) < maxIndexedEngines {
		return indexed
	}
	return members
}

// distinct returns versions in order, each once.
func distinct(versions []endpoint.Version) []endpoint.Version {
	slices.Sort(versions)
	return slices.Compact(versions)
}

// cacheBlock is the number of tokens that engines keep or evict together, so that they may keep fewer of a part than it has.
const cacheBlock = 16

// cachedPart is what a keeper knows of a part that an engine caches.
type cachedPart struct {
	// usedAt is when the part was used last, as far as the keeper knows.
	usedAt time.Time
	// listed is true if the engine listed the part, and tokens how many tokens of it the engine kept then.
	listed bool
	tokens int
	// granted is true if a slot was granted for the part before the engine listed it.
	granted bool
}

// matches reports whether the part may have the length of the lookup. That of a part that the engine has not listed is not known.
func (p cachedPart) matches(lookup PartLookup) bool {
	return !p.listed || p.tokens > lookup.MinTokens-cacheBlock && (lookup.MaxTokens == 0 || p.tokens <= lookup.MaxTokens)
}

// caches reports whether the engine caches a part at the length of the lookup.
func (st *endpointState) caches(lookup PartLookup) bool {
	part, cached := st.cachedParts[lookup.Part]
	return cached && part.matches(lookup)
}
