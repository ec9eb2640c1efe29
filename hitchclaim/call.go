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

// DigestOf returns the digest of the parts, which are told apart.
func DigestOf(parts ...[]byte) (d Digest) {
	h := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	h.Sum(d[:0])
	return d
}

// Call is one presentation of a key by a caller.
//
//	call := hitchclaim.Call{Key: key, Organisation: organisation, Route: route}
//	call.Body = hitchclaim.DigestOf([]byte(path), body)
//	decision := home.Begin(now, call)
type Call struct {
	Key Key
	// Organisation and Route are the caller's own, as the router knows them.
	Organisation hitchfleet.OrganisationID
	Route        hitchfleet.RouteID
	Body         Digest
	// Deadline is when the caller stops waiting. The zero time means the key's
	// deadline.
	Deadline time.Time
}

// HeaderField is one line of a response's header.
type HeaderField struct{ Name, Value string }

// Result is what became of a dispatched call: the endpoint's whole answer, or a
// refusal made by hitchoutcome.DispatchTracker.
type Result struct {
	Status int
	Header []HeaderField
	Body   []byte
	// Refusal is nil if the call ran and the answer is whole.
	Refusal *hitchoutcome.Refusal
}

// Outcome returns what the result proves.
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

// Run names one run of a key's call. A key has a second run only after the first
// was proved NotRun.
type Run struct {
	Key    KeyID
	Number uint64
}

// Action says what to do next with a call.
type Action uint8

// The actions.
const (
	// ActionRefuse answers with Decision.Refusal.
	ActionRefuse Action = iota
	// ActionJournal commits Decision.Record, and then calls Home.Journaled.
	ActionJournal
	// ActionDispatch sends the call to an endpoint, and then calls Home.Finish.
	ActionDispatch
	// ActionWait waits for Decision.Done and calls Home.Begin again, or answers
	// with Decision.Refusal at Decision.Until.
	ActionWait
	// ActionReplay answers with Decision.Result.
	ActionReplay
	// ActionForward passes the call on to Decision.Home.
	ActionForward
)

var actionNames = [...]string{"Refuse", "Journal", "Dispatch", "Wait", "Replay", "Forward"}

// String returns the action's name.
func (a Action) String() string { return actionNames[a] }

// Decision is the home's answer to an event of a call.
type Decision struct {
	Action Action
	// Run names the run in ActionJournal and ActionDispatch.
	Run Run
	// Record goes to the journal by PutRecord unless its Run is zero. Only
	// ActionJournal waits for the commit.
	Record Record
	// Until is when to stop waiting. In ActionJournal the wait ends by
	// Home.Journaled with false.
	Until time.Time
	// Done is closed once the first call is over, in ActionWait.
	Done <-chan struct{}
	// Result is the answer in ActionReplay. It is shared: don't change it.
	Result  Result
	Refusal *hitchoutcome.Refusal
	// Home is where ActionForward leads.
	Home HomeID
}

func refuse(r *hitchoutcome.Refusal) Decision { return Decision{Action: ActionRefuse, Refusal: r} }
