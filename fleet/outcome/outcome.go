// Package outcome says what became of a request: run with an answer, certainly not run, or unknown.
package outcome

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome is what is known about the effect of a request.
type Outcome string

// The three outcomes of a request.
const (
	// Done means that the request ran and its answer is at hand.
	Done Outcome = "Done"
	// NotRun means that the request was not run and, when it carries a key, never will be.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "Unknown"
)

// Code is the stable name of a refusal, for programs to act on.
type Code string

// Codes of refusals. Each stands in docs/REFUSALS.md with what a caller does next.
const (
	CodeUnknownWorkspace   Code = "UnknownWorkspace"
	CodeUnknownService     Code = "UnknownService"
	CodeMalformedRequest   Code = "MalformedRequest"
	CodeBodyTooLarge       Code = "BodyTooLarge"
	CodeKeyRequired        Code = "IdempotencyKeyRequired"
	CodeKeyMalformed       Code = "IdempotencyKeyMalformed"
	CodeKeyExpired         Code = "IdempotencyKeyExpired"
	CodeKeyReused          Code = "IdempotencyKeyReused"
	CodeClaimUnsettled     Code = "ClaimUnsettled"
	CodeOverloaded         Code = "Overloaded"
	CodeDeadline           Code = "DeadlineUnreachable"
	CodeNoEndpoint         Code = "NoEndpoint"
	CodeEndpointLost       Code = "EndpointLost"
	CodeCrashSuspected     Code = "CrashSuspected"
	CodeRetryBudget        Code = "RetryBudgetSpent"
	CodeNotReady           Code = "NotReady"
	CodePeerUnreachable    Code = "PeerUnreachable"
	CodeAnswerInterrupted  Code = "AnswerInterrupted"
	CodeAnswerTooLarge     Code = "AnswerTooLarge"
	CodeAnswerGone         Code = "AnswerGone"
	CodeWorkspaceForbidden Code = "ServiceNotAllowed"
)

// Refusal is the final answer to a request that the fleet does not complete.
type Refusal struct {
	Code    Code
	Outcome Outcome
	// Status is the HTTP status that the caller sees.
	Status int
	// RetryAfter is when asking again makes sense; 0 means that it doesn't.
	RetryAfter time.Duration
	Detail     string
	// Step names the part of the request's way that refused it.
	Step string
	// Peer names the host or endpoint at which it arose, empty for the entry itself.
	Peer string
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Peer == "" {
		return fmt.Sprintf("%s: %s (%s): %s", r.Step, r.Code, r.Outcome, r.Detail)
	}
	return fmt.Sprintf("%s: peer %s: %s (%s): %s", r.Step, r.Peer, r.Code, r.Outcome, r.Detail)
}

// FromError returns the refusal in err's chain, or an internal one with outcome Unknown.
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
