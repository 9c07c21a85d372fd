package site

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"balsamknot.org/fleet/timer"
	"balsamknot.org/platform/standin"
	"balsamknot.org/soak/checker"
)

// beganBy returns the ID of the request that began the stream.
func (spec requestSpec) beganBy() string { return cmp.Or(spec.resumes, spec.id) }

// numberedEvents returns the complete events of a response, without those that have no ID. rest is what follows the last complete event.
func numberedEvents(body string) (events []string, rest string) {
	events = strings.SplitAfter(body, "\n\n")
	rest = events[len(events)-1]
	events = slices.DeleteFunc(events[:len(events)-1], func(event string) bool { return event == commentEvent || event == emptyIDEvent })
	return events, rest
}

// misplaced describes where the complete events of a response for a stream, whole or not, leave the order of the stream: one comes twice, is
// missing, or is no event of the stream. It is empty if they don't.
func (spec requestSpec) misplaced(body string) string {
	events, _ := numberedEvents(body)
	whole := strings.Join(events, "")
	want := spec.streamBody(whole)
	if strings.HasPrefix(want, whole) {
		return ""
	}
	n := 0
	for strings.HasPrefix(want, strings.Join(events[:n+1], "")) {
		n++
	}
	return fmt.Sprintf("event %d is expected, the response goes on with %.100q", spec.after+n+1, events[n])
}

// streamBody returns the correct response body of a request for a stream: all its events are of one version, that of the events before if
// there were any, and otherwise that of the first event in body.
func (spec requestSpec) streamBody(body string) string {
	version := spec.version
	for _, candidate := range engineVersions {
		if version == "" && strings.HasPrefix(body, eventText(spec.beganBy(), candidate, 1)) {
			version = candidate
		}
	}
	return streamBody(spec.beganBy(), version, spec.after)
}

// broken returns the request that takes up a stream of which body was received; without an event number if it can't be taken up.
func (spec requestSpec) broken(status int, body string) requestSpec {
	if spec.kind != checker.Resumable || status != http.StatusOK {
		return requestSpec{}
	}
	events, _ := numberedEvents(body)
	for _, version := range engineVersions {
		if spec.version != "" && spec.version != version {
			continue
		}
		if !slices.Contains(events, eventText(spec.beganBy(), version, spec.after+1)) {
			continue
		}
		next := spec
		next.id, next.resumes, next.version, next.after = spec.id+"-again", spec.beganBy(), version, spec.after+len(events)
		return next
	}
	return requestSpec{}
}

// takeUp takes up a stream that broke off, at another host. It returns false if that fails.
func (c *caller) takeUp(ctx context.Context, spec requestSpec) bool {
	c.switchHost()
	r := c.site.newCall(ctx, c.host, spec, nil, checker.RequestSent{TakesUp: spec.resumes})
	r.Header.Set(standin.LastEventIDHeader, strconv.Itoa(spec.after))
	r.Header.Set(standin.ResumesHeader, spec.resumes)
	result, _, _ := c.exchange(r, spec)
	c.site.record(result)
	return result.Status == http.StatusOK
}

// streamPath returns the path to which callers send requests for streams: one with many attempts while engines go on with streams at other
// positions than they were asked to.
func (s *Site) streamPath() string {
	if s.misplacing.Load() > 0 {
		return "/persistent/x"
	}
	return "/stream/x"
}

// takeUpDelay is how long callers wait before they take up a stream that broke off while cache lists come late. All hosts may have been killed.
const takeUpDelay = 6 * time.Second

// takeUpLater takes up a stream that broke off once hosts that were killed have run for a while, with the prompt of the request that began it: they
// can learn from the caches of engines which version that was.
func (c *caller) takeUpLater(ctx context.Context, spec requestSpec) bool {
	if !timer.Sleep(ctx, takeUpDelay) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callerDeadline+deadlineSlack)
	defer cancel()
	spec.ownPart = spec.resumes
	return c.takeUp(ctx, spec)
}

// mixed reports whether body holds an event of another version than the one that wrote the stream's first event.
func (spec requestSpec) mixed(body string) bool {
	if spec.kind != checker.Resumable {
		return false
	}
	versions := make(map[string]bool)
	if spec.version != "" {
		versions[spec.version] = true
	}
	for _, version := range engineVersions {
		if strings.Contains(body, " by "+version+"\n") {
			versions[version] = true
		}
	}
	return len(versions) > 1
}
