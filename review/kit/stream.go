package kit

import (
	"bytes"
	"fmt"
	"strings"
)

// Stream is a stream as its caller sees it, over all tries.
type Stream struct {
	// First is the request that brought the first event; empty before.
	First string
	// LastID is the id of the last event, and Versions are the software versions that wrote the events, in order.
	LastID   int
	Versions []string
	// Fault describes the first event that was missing, came twice or can't be read.
	Fault string

	rest []byte
}

// Feed takes the bytes of an answer to a request. Events are "id: N" and "data: VERSION ...".
func (s *Stream) Feed(request string, data []byte) {
	s.rest = append(s.rest, data...)
	for {
		end := bytes.Index(s.rest, []byte("\n\n"))
		if end < 0 {
			return
		}
		event := string(s.rest[:end])
		s.rest = s.rest[end+2:]
		var id int
		var version string
		for line := range strings.SplitSeq(event, "\n") {
			if value, ok := strings.CutPrefix(line, "id: "); ok {
				_, _ = fmt.Sscan(value, &id)
			}
			if value, ok := strings.CutPrefix(line, "data: "); ok {
				version, _, _ = strings.Cut(value, " ")
			}
		}
		if id != s.LastID+1 && s.Fault == "" {
			s.Fault = fmt.Sprintf("event %d after event %d", id, s.LastID)
		}
		if s.First == "" {
			s.First = request
		}
		s.LastID = id
		if len(s.Versions) == 0 || s.Versions[len(s.Versions)-1] != version {
			s.Versions = append(s.Versions, version)
		}
	}
}
