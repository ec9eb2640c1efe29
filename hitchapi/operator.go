package hitchapi

import (
	"context"
	"encoding/json"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"citronhitch.example/citronhitch/hitchburn"
	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// OperatorAPI handles the requests of operators by calling the functions in its
// fields. Report may be nil; all others must be set.
type OperatorAPI struct {
	// Authenticate returns the operator that a key belongs to.
	Authenticate func(key string) (hitchconfig.Operator, error)
	Plan         func(ctx context.Context, operator string, intent hitchconfig.Intent) (hitchconfig.Plan, error)
	Confirm      func(ctx context.Context, operator, token string) (hitchconfig.ConfirmResult, error)
	History      func(ctx context.Context, n int) ([]hitchconfig.AcceptedChange, error)
	Status       func(ctx context.Context) (FleetStatus, error)
	Doubts       func(ctx context.Context) ([]hitchclaim.Doubt, error)
	Resolve      func(ctx context.Context, key hitchclaim.KeyID, resolution hitchclaim.Resolution) error
	Report       func() hitchburn.Summary
}

// FleetStatus is the state of the whole fleet as one router sees it.
type FleetStatus struct {
	// Revision is the highest revision that the router has received notice of.
	Revision uint64
	// InForce counts the routers that use this revision. Refusing counts the other
	// routers that refuse new requests. Routers counts all routers.
	InForce  int
	Refusing int
	Routers  int
	// ZonesOut are the availability zones taken out of service, which get no new
	// requests.
	ZonesOut  []hitchfleet.AvailabilityZone
	Instances []InstanceStatus
	Endpoints []EndpointStatus
	// StoreOut is set while the key-value service is unreachable.
	StoreOut bool
	// Forked is set if the store has lost writes: it holds a different configuration
	// under the revision number of the current one.
	Forked bool
}

// InstanceStatus is the status of one router.
type InstanceStatus struct {
	ID      hitchfleet.InstanceID
	Zone    hitchfleet.AvailabilityZone
	Address string
	Leaving bool
	// Behind is set while the router may still use an older revision.
	Behind bool
}

// EndpointStatus is the status of one endpoint. Load is in tokens for an engine
// and in requests for a service.
type EndpointStatus struct {
	ID        hitchfleet.EndpointID
	Route     hitchfleet.RouteID
	Zone      hitchfleet.AvailabilityZone
	Owner     hitchfleet.InstanceID
	InService bool
	Cold      bool
	Load      int64
	// Version is the model version that an engine reports, or "".
	Version string
}

// PlanAnswer describes a plan, as text for people and as fields for programs.
type PlanAnswer struct {
	// Plan is the token to send to confirm.
	Plan     string
	Base     uint64
	Deadline time.Time
	Text     string
	Warnings []hitchconfig.Warning
}

// ConfirmAnswer describes an accepted plan.
type ConfirmAnswer struct {
	Revision uint64
	Operator string
	At       time.Time
	// Already is set if an earlier request had confirmed the plan.
	Already bool
}

// HistoryAnswer lists accepted changes, newest first.
type HistoryAnswer struct {
	Accepts []HistoryEntry
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Revision uint64
	Operator string
	At       time.Time
	Change   string
}

// DoubtsAnswer lists the bookings whose outcome is unknown.
type DoubtsAnswer struct {
	Doubts []DoubtEntry
}

// DoubtEntry is one booking whose outcome is unknown.
type DoubtEntry struct {
	Key          string
	Home         string
	Organisation hitchfleet.OrganisationID
	Route        hitchfleet.RouteID
	Deadline     time.Time
}

type operatorInput struct {
	Authorization string `header:"Authorization" doc:"Bearer and the operator's key"`
}

type operatorBodyInput struct {
	Authorization string `header:"Authorization" doc:"Bearer and the operator's key"`
	RawBody       []byte
}

type historyInput struct {
	Authorization string `header:"Authorization" doc:"Bearer and the operator's key"`
	Count         int    `query:"count" minimum:"1" maximum:"1000" default:"20" doc:"how many changes"`
}

// responseBody is the output type of an operation; huma sends Body as the
// response body.
type responseBody[T any] struct {
	Body T
}

const defaultHistoryCount = 20

func (o *OperatorAPI) register(api huma.API) {
	huma.Post(api, "/v1/operator/plan", o.plan)
	huma.Post(api, "/v1/operator/confirm", o.confirm)
	huma.Get(api, "/v1/operator/history", o.history)
	huma.Get(api, "/v1/operator/status", o.status)
	huma.Get(api, "/v1/operator/doubts", o.doubts)
	huma.Post(api, "/v1/operator/resolve", o.resolve)
	huma.Get(api, "/v1/operator/report", o.report)
}

// authenticateOperator returns the name of the operator who sent the request.
func (o *OperatorAPI) authenticateOperator(authorization string) (string, error) {
	operator, err := o.Authenticate(bearerToken(authorization))
	return operator.Name, err
}

func (o *OperatorAPI) plan(ctx context.Context, in *operatorBodyInput) (*responseBody[PlanAnswer], error) {
	name, err := o.authenticateOperator(in.Authorization)
	if err != nil {
		return nil, ProblemOf(err)
	}
	var intent hitchconfig.Intent
	if err := json.Unmarshal(in.RawBody, &intent); err != nil {
		return nil, ProblemOf(badRequest("the body is no intent: %v", err))
	}
	plan, err := o.Plan(ctx, name, intent)
	if err != nil {
		return nil, ProblemOf(err)
	}
	token, err := plan.Token.Encode()
	if err != nil {
		return nil, ProblemOf(err)
	}
	return &responseBody[PlanAnswer]{PlanAnswer{
		Plan: token, Base: plan.Token.Base, Deadline: plan.Token.Deadline, Text: plan.Text(), Warnings: plan.Warnings,
	}}, nil
}

// confirmBody is the request body of confirm.
type confirmBody struct {
	Plan string
}

func (o *OperatorAPI) confirm(ctx context.Context, in *operatorBodyInput) (*responseBody[ConfirmAnswer], error) {
	name, err := o.authenticateOperator(in.Authorization)
	if err != nil {
		return nil, ProblemOf(err)
	}
	var request confirmBody
	if err := json.Unmarshal(in.RawBody, &request); err != nil || request.Plan == "" {
		return nil, ProblemOf(badRequest("the body names no plan"))
	}
	accepted, err := o.Confirm(ctx, name, request.Plan)
	if err != nil {
		return nil, ProblemOf(err)
	}
	return &responseBody[ConfirmAnswer]{ConfirmAnswer{
		Revision: accepted.Change.Revision, Operator: accepted.Change.Operator, At: accepted.Change.At, Already: accepted.AlreadyAccepted,
	}}, nil
}

func (o *OperatorAPI) history(ctx context.Context, in *historyInput) (*responseBody[HistoryAnswer], error) {
	if _, err := o.authenticateOperator(in.Authorization); err != nil {
		return nil, ProblemOf(err)
	}
	count := in.Count
	if count <= 0 {
		count = defaultHistoryCount
	}
	accepts, err := o.History(ctx, count)
	if err != nil {
		return nil, ProblemOf(err)
	}
	response := HistoryAnswer{Accepts: []HistoryEntry{}}
	for _, a := range accepts {
		response.Accepts = append(response.Accepts, HistoryEntry{
			Revision: a.Revision, Operator: a.Operator, At: a.At, Change: string(a.Intent.Kind) + " " + a.Intent.Subject(),
		})
	}
	return &responseBody[HistoryAnswer]{response}, nil
}

func (o *OperatorAPI) status(ctx context.Context, in *operatorInput) (*responseBody[FleetStatus], error) {
	if _, err := o.authenticateOperator(in.Authorization); err != nil {
		return nil, ProblemOf(err)
	}
	status, err := o.Status(ctx)
	if err != nil {
		return nil, ProblemOf(err)
	}
	return &responseBody[FleetStatus]{status}, nil
}

func (o *OperatorAPI) doubts(ctx context.Context, in *operatorInput) (*responseBody[DoubtsAnswer], error) {
	if _, err := o.authenticateOperator(in.Authorization); err != nil {
		return nil, ProblemOf(err)
	}
	doubts, err := o.Doubts(ctx)
	if err != nil {
		return nil, ProblemOf(err)
	}
	response := DoubtsAnswer{Doubts: []DoubtEntry{}}
	for _, d := range doubts {
		response.Doubts = append(response.Doubts, DoubtEntry{
			Key: d.Record.Run.Key.String(), Home: d.Home.String(), Organisation: d.Record.Organisation,
			Route: d.Record.Route, Deadline: d.Record.Deadline,
		})
	}
	return &responseBody[DoubtsAnswer]{response}, nil
}

// resolveBody is the request body of resolve: the outcome of a booking whose
// outcome was unknown.
type resolveBody struct {
	Key string
	// Outcome is Ran or NotRun.
	Outcome hitchoutcome.Outcome
	Status  int
}

func (o *OperatorAPI) resolve(ctx context.Context, in *operatorBodyInput) (*responseBody[DoubtsAnswer], error) {
	if _, err := o.authenticateOperator(in.Authorization); err != nil {
		return nil, ProblemOf(err)
	}
	var request resolveBody
	if err := json.Unmarshal(in.RawBody, &request); err != nil || request.Outcome == hitchoutcome.Unknown {
		return nil, ProblemOf(badRequest("want Key, and Outcome Ran or NotRun"))
	}
	key, err := hitchclaim.ParseKeyID(request.Key)
	if err != nil {
		return nil, ProblemOf(badRequest("%v", err))
	}
	if err := o.Resolve(ctx, key, hitchclaim.Resolution{Outcome: request.Outcome, Status: request.Status}); err != nil {
		return nil, ProblemOf(err)
	}
	return o.doubts(ctx, &operatorInput{Authorization: in.Authorization})
}
