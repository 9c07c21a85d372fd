package pool

import (
	"slices"
	"time"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/endpoint"
)

// runningSessions counts the requests that run of each session, by the software version of their engines. A session is known by the last part of its
// prompts; requests without a prompt have none.
type runningSessions map[chat.PartID][]versionCount

type versionCount struct {
	version  endpoint.Version
	requests int
}

func (r runningSessions) begin(session chat.PartID, version endpoint.Version) {
	if session == 0 {
		return
	}
	counts := r[session]
	if at := slices.IndexFunc(counts, func(c versionCount) bool { return c.version == version }); at >= 0 {
		counts[at].requests++
		return
	}
	r[session] = append(counts, versionCount{version: version, requests: 1})
}

func (r runningSessions) end(session chat.PartID, version endpoint.Version) {
	counts := r[session]
	at := slices.IndexFunc(counts, func(c versionCount) bool { return c.version == version })
	if at < 0 {
		return
	}
	if counts[at].requests--; counts[at].requests == 0 {
		counts = slices.Delete(counts, at, at+1)
	}
	if len(counts) == 0 {
		delete(r, session)
		return
	}
	r[session] = counts
}

// session returns the last part of the request's prompt, 0 if it has none.
func (e SlotRequested) session() chat.PartID { return sessionOf(e.Prompt) }

func sessionOf(p chat.Prompt) chat.PartID {
	if len(p.Parts) == 0 {
		return 0
	}
	return p.Parts[len(p.Parts)-1].ID
}

// sessionVersion returns the version at which a request should run, since others of its session run there, so that after a start of all hosts the caches
// of the engines tell where its stream began. It is empty if there is none that takes requests. A request may leave it for lack of room, but only for a
// version that came later: only is true if there is none. So the streams of a session that ran at several versions are in the order of these.
func (s *service) sessionVersion(e SlotRequested) (version endpoint.Version, only bool) {
	if s.engine == nil || len(s.versionSince) < 2 || e.Version != "" {
		return "", false
	}
	for _, c := range s.runningSessions[e.session()] {
		if version == "" || s.versionSince[c.version].After(s.versionSince[version]) {
			version = c.version
		}
	}
	if version == "" || !s.takesRequests(version) {
		return "", false
	}
	for other, since := range s.versionSince {
		if since.After(s.versionSince[version]) && s.takesRequests(other) {
			return version, false
		}
	}
	return version, true
}

// bindToSession returns the request bound to the only version at which its session may go on, if there is one.
func (s *service) bindToSession(e SlotRequested) SlotRequested {
	version, only := s.sessionVersion(e)
	if !only {
		return e
	}
	bound := e
	if bound.Version = version; s.anyAvailable(bound) {
		return bound
	}
	return e
}

// choose returns the endpoint for a request, see chooseAmong: one of the version at which others of its session run, unless that lacks room.
func (s *service) choose(now time.Time, e SlotRequested, waited time.Duration) (c choice, ok bool) {
	version, _ := s.sessionVersion(e)
	if version == "" {
		return s.chooseAmong(now, e, waited)
	}
	bound := e
	bound.Version = version
	if c, ok = s.chooseAmong(now, bound, waited); ok && !c.beyond && !c.target.suspect(now) {
		return c, true
	}
	return s.chooseAmong(now, e, waited)
}

// noteVersion records since when engines of a version are registered.
func (s *service) noteVersion(now time.Time, version endpoint.Version) {
	if _, known := s.versionSince[version]; !known {
		s.versionSince[version] = now
	}
}

// forgetVersion forgets a version once no engine of it is registered.
func (s *service) forgetVersion(version endpoint.Version) {
	if !slices.ContainsFunc(s.sorted, func(st *endpointState) bool { return st.record.Version == version }) {
		delete(s.versionSince, version)
	}
}
