// Package outcome defines the outcomes of a request (it ran, it did not run, or it may have run) and the refusals that callers
// get.
package outcome

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether a request was run.
type Outcome string

// Outcomes of a request.
const (
	// Done means that the request was run and its answer is available.
	Done Outcome = "Done"
	// NotRun means that the request was not run and, if it has an idempotency key, will not be run later.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "Unknown"
)

// Code identifies the cause of a refusal. Codes are stable, so that callers' programs can depend on them.
type Code string

// Codes of refusals. docs/operators/refusals.md lists each of them with what a caller should do.
const (
	CodeUnknownWorkspace        Code = "UnknownWorkspace"
	CodeUnknownService          Code = "UnknownService"
	CodeMalformedRequest        Code = "MalformedRequest"
	CodeBodyTooLarge            Code = "BodyTooLarge"
	CodeIdempotencyKeyRequired  Code = "IdempotencyKeyRequired"
	CodeIdempotencyKeyMalformed Code = "IdempotencyKeyMalformed"
	CodeIdempotencyKeyExpired   Code = "IdempotencyKeyExpired"
	CodeIdempotencyKeyReused    Code = "IdempotencyKeyReused"
	CodeClaimUnsettled          Code = "ClaimUnsettled"
	CodeOverloaded              Code = "Overloaded"
	CodeDeadline                Code = "DeadlineUnreachable"
	CodeNoEndpoint              Code = "NoEndpoint"
	CodeEndpointLost            Code = "EndpointLost"
	CodeCrashSuspected          Code = "CrashSuspected"
	CodeRetryBudgetSpent        Code = "RetryBudgetSpent"
	CodeNotReady                Code = "NotReady"
	CodePeerUnreachable         Code = "PeerUnreachable"
	CodeAnswerInterrupted       Code = "AnswerInterrupted"
	CodeAnswerTooLarge          Code = "AnswerTooLarge"
	CodeAnswerGone              Code = "AnswerGone"
	CodeServiceNotAllowed       Code = "ServiceNotAllowed"
)

// Refusal is the final response to a request that the fleet did not complete.
type Refusal struct {
	Code    Code
	Outcome Outcome
	// Status is the HTTP status of the response.
	Status int
	// RetryAfter is the time after which the caller may retry; 0 means that a retry is not useful.
	RetryAfter time.Duration
	// Detail is a description for people.
	Detail string
	// Step is the processing step that refused the request: entry, claim, route, admit, run or deliver.
	Step string
	// Peer is the host or endpoint where the refusal originated, empty for the entry itself.
	Peer string
}

// Error returns the step, the peer if there is one, the code, the outcome and the detail.
func (r *Refusal) Error() string {
	if r.Peer == "" {
		return fmt.Sprintf("%s: %s (%s): %s", r.Step, r.Code, r.Outcome, r.Detail)
	}
	return fmt.Sprintf("%s: peer %s: %s (%s): %s", r.Step, r.Peer, r.Code, r.Outcome, r.Detail)
}

// FromError returns the refusal in err's chain. For any other error it returns a refusal with code PeerUnreachable and outcome
// Unknown, since the request may have run.
func FromError(err error, step string) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{
		Code:    CodePeerUnreachable,
		Outcome: Unknown,
		Status:  http.StatusBadGateway,
		Detail:  err.Error(),
		Step:    step,
	}
}
