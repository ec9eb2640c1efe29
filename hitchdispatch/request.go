package hitchdispatch

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// RequestID identifies one attempt of a request at one instance, which counts up from a random
// number, so that the IDs of a restarted instance differ from earlier ones.
type RequestID uint64

// Key identifies an attempt in the fleet.
type Key struct {
	From hitchfleet.InstanceID
	ID   RequestID
}

// Request asks for a slot at an endpoint of the service, for one attempt.
type Request struct {
	Key
	// Zone is that of the instance that asks.
	Zone         hitchfleet.AvailabilityZone
	Organisation hitchfleet.OrganisationID
	// Call identifies the caller's request when the caller sends it again after a rejection, such
	// as the hash of its idempotency key; 0 if unknown.
	Call hitchfleet.Key
	// Rank is the urgency; 0 is the most urgent.
	Rank uint8
	// ObjectiveAt is when the response should be there, and DeadlineAt when nobody waits for it
	// any longer. Without an objective both are the same.
	ObjectiveAt, DeadlineAt time.Time
	// Tried are the runs of endpoints that aren't assigned, as earlier attempts failed there.
	Tried []hitchfleet.RunID
	// MayRepeat is set if the request may run a second time after a lost response. Such requests
	// are preferred to find out whether an endpoint that failed is back.
	MayRepeat bool
	// Repeats is how often the instance has sent the question before. A repeated question is
	// always answered.
	Repeats uint8
}

// DecisionKind is what a Decision says.
type DecisionKind uint8

// The kinds of decisions.
const (
	// Queued means that the request waits. It only confirms a question that was sent again.
	Queued DecisionKind = iota + 1
	// Assigned means that the request has a slot at an endpoint until Complete or Withdraw.
	Assigned
	// Rejected means that the request gets no slot and never had one.
	Rejected
)

// String returns the name of the kind.
func (k DecisionKind) String() string {
	return nameOf(k, "None", "Queued", "Assigned", "Rejected")
}

// Reason is why a request was rejected.
type Reason uint8

// The reasons.
const (
	// ReasonNone is that of the other decisions.
	ReasonNone Reason = iota
	// ReasonNoTime means that others come first for longer than the request may wait.
	ReasonNoTime
	// ReasonExpired means that the request waited and can no longer be served within its time.
	ReasonExpired
	// ReasonEarly means that the caller was rejected before, and didn't wait until it may return.
	ReasonEarly
	// ReasonNoEndpoint means that the service has no endpoint that the request hasn't tried.
	ReasonNoEndpoint
	// ReasonQueueFull means that the memory for waiting requests is used up.
	ReasonQueueFull
)

// String returns the name of the reason.
func (r Reason) String() string {
	return nameOf(r, "None", "NoTime", "Expired", "Early", "NoEndpoint", "QueueFull")
}

// nameOf returns the name of an enumerated value.
func nameOf[T ~uint8](value T, names ...string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return "Unknown"
}

// Decision is an answer to an instance about one of its requests.
type Decision struct {
	Key
	Kind DecisionKind
	// Run is the run of the assigned endpoint.
	Run    hitchfleet.RunID
	Reason Reason
	// ReturnAt is when the caller of a rejected request may return.
	ReturnAt time.Time
	// AskAt is when the instance asks again if it has no other answer by then. It is set if the
	// request waits.
	AskAt time.Time
	// Inputs are for the log of the owner.
	Inputs Inputs
}

// Inputs are the figures on which a decision is based.
type Inputs struct {
	Rank         uint8
	Organisation hitchfleet.OrganisationID
	// SubmittedAt is when the request arrived.
	SubmittedAt time.Time
	// Waiting is the number of other requests that waited.
	Waiting int
	// ExpectedAt is when the response is, or would have been, expected.
	ExpectedAt time.Time
	// InUse and Slots are those of the assigned endpoint, besides this request. TimePercent is its
	// newest figure, of TimeAt.
	InUse, Slots, TimePercent int
	TimeAt                    time.Time
}

// Outcome is how an attempt at an assigned endpoint ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeOK means that the endpoint responded.
	OutcomeOK Outcome = iota
	// OutcomeFailed means that the endpoint responded with an error of its own.
	OutcomeFailed
	// OutcomeRefused means that the endpoint was full and hasn't run the request.
	OutcomeRefused
	// OutcomeLost means that the connection couldn't be opened or was cut.
	OutcomeLost
	// OutcomeTimedOut means that there was no response by the deadline.
	OutcomeTimedOut
	// OutcomeCancelled means that the attempt ended for a reason that isn't the endpoint's: the
	// caller left, or the instance didn't use the slot.
	OutcomeCancelled
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return nameOf(o, "OK", "Failed", "Refused", "Lost", "TimedOut", "Cancelled")
}

// Load is what an endpoint says of itself in a response.
type Load struct {
	_                       struct{} `cbor:",toarray"`
	Running, Waiting, Slots uint16
	// TimePercent is how long work takes there now: 100 as usual, 0 if unknown.
	TimePercent uint16
}

// IsZero reports whether the response had no figures.
func (l Load) IsZero() bool { return l == Load{} }

// Result is how an attempt ended.
type Result struct {
	Key
	Run     hitchfleet.RunID
	Outcome Outcome
	// Elapsed is the time from the instance's request to the end of the endpoint's response; 0 if
	// unknown.
	Elapsed time.Duration
	Load    Load
}

// Held is a slot that an instance uses.
type Held struct {
	_   struct{} `cbor:",toarray"`
	ID  RequestID
	Run hitchfleet.RunID
}

// Holding is what an instance uses and waits for.
type Holding struct {
	_ struct{} `cbor:",toarray"`
	// Sequence counts the holdings of the instance from its start.
	Sequence uint32
	// Held are the slots in use, also those that no owner assigned.
	Held []Held
	// Waiting are the requests for which the instance waits for an answer. It is only sent once a
	// second, with IsWhole.
	Waiting []RequestID
	// IsWhole is set if Waiting is complete.
	IsWhole bool
}
