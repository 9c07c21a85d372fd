// Package fingerprint finds requests, and parts of prompts, that crash the endpoints that run them, and blocks them: a request after two
// or three crashes, a part of a prompt after five.
//
// Requests and parts are recognised by a fingerprint, so that copies sent by other callers or through other hosts are found as well. Hosts
// send each other the crashes that they record, by gossip or broadcast, and balsamknot also with the requests themselves.
//
// A crash is recorded for each request that ran on the endpoint, the innocent ones included. Three things keep those from being
// blocked: an answer that ran to its end deletes the crashes recorded for its request and the parts of its prompt; crashes at one moment
// do not block; and a crash during which a request or part with more crashes ran is attributed to that one. No block is final: what is
// blocked is tried out at times, see Registry.Decide, so that an answer can end a block that innocents got by chance.
package fingerprint

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"balsamknot.org/fleet/chat"
	"balsamknot.org/fleet/engine"
)

// Fingerprint identifies a request or a part of a prompt. That of a request is a hash of what can make it crash an endpoint: its scope,
// method, path and body. Headers are left out. That of a part is its ID with partBit.
type Fingerprint uint64

// partBit is set in the fingerprints of parts and clear in those of requests.
const partBit Fingerprint = 1 << 63

// OfPart returns the fingerprint of a part of a prompt, whatever request it belongs to.
func OfPart(id chat.PartID) Fingerprint { return Fingerprint(id) | partBit }

// IsPart reports whether the fingerprint is that of a part of a prompt.
func (fp Fingerprint) IsPart() bool { return fp&partBit != 0 }

// PartName returns the ID of a part in hexadecimal; empty for the fingerprint of a request.
func (fp Fingerprint) PartName() string {
	if !fp.IsPart() {
		return ""
	}
	return strconv.FormatUint(uint64(fp&^partBit), 16)
}

// Of returns the fingerprint of a request. The scope is what distinguishes equal requests of other callers or services. The length
// of each part but the body is hashed before the part, so that the same bytes split differently give another fingerprint.
func Of(scope, method, path string, body []byte) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{scope, method, path} {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64()) &^ partBit
}

// Verdict is the decision whether and how a request may run.
type Verdict int

// Verdicts on a fingerprint, in order of severity.
const (
	// Allowed means that the request runs as usual.
	Allowed Verdict = iota
	// Isolated means that the request runs with no other request at its endpoint, one copy at a time; package keeper calls such a
	// request exclusive.
	Isolated
	// Blocked means that the request is refused.
	Blocked
)

// keyPrefix is the prefix of the gossip keys of crashes, see RowKey, and completionKeyPrefix that of completions, see CompletionKey.
const (
	keyPrefix           = "crash/"
	completionKeyPrefix = "completed/"
)

// RowKey returns the gossip key under which a host publishes a crash of endpoint id: the prefix, 16 hex digits and the ID.
func RowKey(fp Fingerprint, id engine.ID) string {
	return fmt.Sprintf("%s%016x/%s", keyPrefix, uint64(fp), id)
}

// ParseRowKey returns the parts of a key made by RowKey, and false if the key is malformed.
func ParseRowKey(key string) (Fingerprint, engine.ID, bool) {
	rest, isCrash := strings.CutPrefix(key, keyPrefix)
	hex, id, _ := strings.Cut(rest, "/")
	n, err := strconv.ParseUint(hex, 16, 64)
	return Fingerprint(n), engine.ID(id), isCrash && id != "" && err == nil
}

// CompletionKey returns the gossip key under which a host publishes that a request ran to its end: the prefix and 16 hex digits.
func CompletionKey(fp Fingerprint) string {
	return fmt.Sprintf("%s%016x", completionKeyPrefix, uint64(fp))
}

// ParseCompletionKey returns the fingerprint of a key made by CompletionKey, and false if the key is malformed.
func ParseCompletionKey(key string) (Fingerprint, bool) {
	hex, isCompletion := strings.CutPrefix(key, completionKeyPrefix)
	n, err := strconv.ParseUint(hex, 16, 64)
	return Fingerprint(n), isCompletion && err == nil
}
