package hitchclaim

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// Digest is the SHA-256 of a call's method, path and body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a list of parts. Moving bytes from one part to the
// next changes the digest.
func DigestOf(parts ...[]byte) (d Digest) {
	h := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	h.Sum(d[:0])
	return d
}

// Call is one non-idempotent request of a caller, with its key.
//
//	call := hitchclaim.Call{Key: key, Organisation: organisation, Route: route}
//	call.RequestDigest = hitchclaim.DigestOf([]byte(path), body)
//	decision := home.BeginCall(now, call)
type Call struct {
	Key Key
	// Organisation and Route are those of the request, as determined by the router.
	Organisation  hitchfleet.OrganisationID
	Route         hitchfleet.RouteID
	RequestDigest Digest
	// Deadline is when the caller stops waiting. Zero means the key's deadline.
	Deadline time.Time
}

// HeaderField is one field of a response header.
type HeaderField struct{ Name, Value string }

// Result is the result of a dispatched call: either the endpoint's complete response,
// or a refusal made by hitchoutcome.DispatchTracker.
type Result struct {
	Status int
	Header []HeaderField
	Body   []byte
	// Refusal is nil if the call ran and the response is complete.
	Refusal *hitchoutcome.Refusal
}

// Outcome returns the outcome of the call that the result proves.
func (r Result) Outcome() hitchoutcome.Outcome {
	if r.Refusal == nil {
		return hitchoutcome.Ran
	}
	return r.Refusal.Outcome
}

func (r Result) clone() Result {
	r.Header = slices.Clone(r.Header)
	r.Body = bytes.Clone(r.Body)
	return r
}

// Run identifies one run of a key's call. A key has a second run only after the first
// was proved NotRun.
type Run struct {
	Key    KeyID
	Number uint64
}

// Action is the next step of a call.
type Action uint8

// The actions.
const (
	// ActionRefuse means: respond with Decision.Refusal.
	ActionRefuse Action = iota
	// ActionJournal means: write Decision.Record to the journal, then call
	// Home.AuthorizeDispatch.
	ActionJournal
	// ActionDispatch means: send the call to an endpoint, then call Home.FinishRun.
	ActionDispatch
	// ActionWait means: wait for Decision.Done and call Home.BeginCall again, or respond
	// with Decision.Refusal at Decision.Deadline.
	ActionWait
	// ActionReplay means: respond with Decision.Result.
	ActionReplay
	// ActionForward means: forward the call to Decision.Home.
	ActionForward
)

var actionNames = [...]string{"Refuse", "Journal", "Dispatch", "Wait", "Replay", "Forward"}

// String returns the action's name.
func (a Action) String() string { return actionNames[a] }

// Decision is what a Home decides on an event of a call.
type Decision struct {
	Action Action
	// Run is the run of ActionJournal and ActionDispatch.
	Run Run
	// Record must be passed to Journal.PutRecord unless its Run is zero. Only
	// ActionJournal waits for its commit.
	Record Record
	// Deadline is when to stop waiting. With ActionJournal, call
	// Home.AuthorizeDispatch with committed set to false then.
	Deadline time.Time
	// Done is closed once the first call has ended. It is set with ActionWait.
	Done <-chan struct{}
	// Result is the response of ActionReplay. It is shared and must not be modified.
	Result  Result
	Refusal *hitchoutcome.Refusal
	// Home is the destination of ActionForward.
	Home HomeID
}

func refusalDecision(r *hitchoutcome.Refusal) Decision {
	return Decision{Action: ActionRefuse, Refusal: r}
}
