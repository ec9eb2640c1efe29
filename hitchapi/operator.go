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

// Operators answers operators. Its fields are seams to the parts that plan and
// confirm; each may be nil where the router doesn't offer it.
type Operators struct {
	// Authenticate returns the operator that a key belongs to.
	Authenticate func(key string) (hitchconfig.Operator, error)
	Plan         func(ctx context.Context, operator string, intent hitchconfig.Intent) (hitchconfig.Plan, error)
	Confirm      func(ctx context.Context, operator, token string) (hitchconfig.ConfirmResult, error)
	History      func(ctx context.Context, n int) ([]hitchconfig.AcceptedChange, error)
	Status       func(ctx context.Context) (FleetStatus, error)
	Doubts       func(ctx context.Context) ([]hitchclaim.Doubt, error)
	Resolve      func(ctx context.Context, key hitchclaim.KeyID, truth hitchclaim.Resolution) error
	Report       func() hitchburn.Summary
}

// FleetStatus is what a router knows of the whole fleet.
type FleetStatus struct {
	// Revision is the highest revision that the router has heard of.
	Revision uint64
	// InForce counts the routers that have it in force, of Routers. Refusing counts
	// those of the others that take no new work.
	InForce  int
	Refusing int
	Routers  int
	// ZonesOut are the availability zones that get no new work.
	ZonesOut  []hitchfleet.AvailabilityZone
	Instances []InstanceStatus
	Endpoints []EndpointStatus
	// StoreOut tells that the key-value service doesn't answer.
	StoreOut bool
	// Forked tells that the store holds another configuration with the number of the
	// one in force here, as it has lost writes.
	Forked bool
}

// InstanceStatus is one router.
type InstanceStatus struct {
	ID      hitchfleet.InstanceID
	Zone    hitchfleet.AvailabilityZone
	Address string
	Leaving bool
	// Behind is set while the router may act on an older revision.
	Behind bool
}

// EndpointStatus is one endpoint. Load is in tokens for an engine and in requests
// for a service.
type EndpointStatus struct {
	ID        hitchfleet.EndpointID
	Route     hitchfleet.RouteID
	Zone      hitchfleet.AvailabilityZone
	Owner     hitchfleet.InstanceID
	InService bool
	Cold      bool
	Load      int64
	// Version is the model version that an engine says it serves, or "".
	Version string
}

// PlanAnswer is a plan for people and programs.
type PlanAnswer struct {
	// Plan names the plan towards confirm.
	Plan     string
	Base     uint64
	Deadline time.Time
	Text     string
	Warnings []hitchconfig.Warning
}

// ConfirmAnswer tells that a plan is accepted.
type ConfirmAnswer struct {
	Revision uint64
	Operator string
	At       time.Time
	// Already is set if the plan was accepted before.
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

// DoubtsAnswer lists the bookings whose outcome isn't known.
type DoubtsAnswer struct {
	Doubts []DoubtEntry
}

// DoubtEntry is one booking in doubt.
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

// body wraps what huma sends as the body of an answer.
type body[T any] struct {
	Body T
}

const defaultHistory = 20

func (o *Operators) register(api huma.API) {
	huma.Post(api, "/v1/operator/plan", o.plan)
	huma.Post(api, "/v1/operator/confirm", o.confirm)
	huma.Get(api, "/v1/operator/history", o.history)
	huma.Get(api, "/v1/operator/status", o.status)
	huma.Get(api, "/v1/operator/doubts", o.doubts)
	huma.Post(api, "/v1/operator/resolve", o.resolve)
	huma.Get(api, "/v1/operator/report", o.report)
}

// operator returns the name of who asks.
func (o *Operators) operator(authorization string) (string, error) {
	operator, err := o.Authenticate(bearer(authorization))
	return operator.Name, err
}

func (o *Operators) plan(ctx context.Context, in *operatorBodyInput) (*body[PlanAnswer], error) {
	name, err := o.operator(in.Authorization)
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
	return &body[PlanAnswer]{PlanAnswer{
		Plan: token, Base: plan.Token.Base, Deadline: plan.Token.Deadline, Text: plan.Text(), Warnings: plan.Warnings,
	}}, nil
}

// confirmBody names the plan to confirm.
type confirmBody struct {
	Plan string
}

func (o *Operators) confirm(ctx context.Context, in *operatorBodyInput) (*body[ConfirmAnswer], error) {
	name, err := o.operator(in.Authorization)
	if err != nil {
		return nil, ProblemOf(err)
	}
	var named confirmBody
	if err := json.Unmarshal(in.RawBody, &named); err != nil || named.Plan == "" {
		return nil, ProblemOf(badRequest("the body names no plan"))
	}
	accepted, err := o.Confirm(ctx, name, named.Plan)
	if err != nil {
		return nil, ProblemOf(err)
	}
	return &body[ConfirmAnswer]{ConfirmAnswer{
		Revision: accepted.Change.Revision, Operator: accepted.Change.Operator, At: accepted.Change.At, Already: accepted.AlreadyAccepted,
	}}, nil
}

func (o *Operators) history(ctx context.Context, in *historyInput) (*body[HistoryAnswer], error) {
	if _, err := o.operator(in.Authorization); err != nil {
		return nil, ProblemOf(err)
	}
	count := in.Count
	if count <= 0 {
		count = defaultHistory
	}
	accepts, err := o.History(ctx, count)
	if err != nil {
		return nil, ProblemOf(err)
	}
	answer := HistoryAnswer{Accepts: []HistoryEntry{}}
	for _, a := range accepts {
		answer.Accepts = append(answer.Accepts, HistoryEntry{
			Revision: a.Revision, Operator: a.Operator, At: a.At, Change: string(a.Intent.Kind) + " " + a.Intent.Subject(),
		})
	}
	return &body[HistoryAnswer]{answer}, nil
}

func (o *Operators) status(ctx context.Context, in *operatorInput) (*body[FleetStatus], error) {
	if _, err := o.operator(in.Authorization); err != nil {
		return nil, ProblemOf(err)
	}
	status, err := o.Status(ctx)
	if err != nil {
		return nil, ProblemOf(err)
	}
	return &body[FleetStatus]{status}, nil
}

func (o *Operators) doubts(ctx context.Context, in *operatorInput) (*body[DoubtsAnswer], error) {
	if _, err := o.operator(in.Authorization); err != nil {
		return nil, ProblemOf(err)
	}
	doubts, err := o.Doubts(ctx)
	if err != nil {
		return nil, ProblemOf(err)
	}
	answer := DoubtsAnswer{Doubts: []DoubtEntry{}}
	for _, d := range doubts {
		answer.Doubts = append(answer.Doubts, DoubtEntry{
			Key: d.Record.Run.Key.String(), Home: d.Home.String(), Organisation: d.Record.Organisation,
			Route: d.Record.Route, Deadline: d.Record.Deadline,
		})
	}
	return &body[DoubtsAnswer]{answer}, nil
}

// resolveBody tells the truth of a booking in doubt.
type resolveBody struct {
	Key string
	// Outcome is Ran or NotRun.
	Outcome hitchoutcome.Outcome
	Status  int
}

func (o *Operators) resolve(ctx context.Context, in *operatorBodyInput) (*body[DoubtsAnswer], error) {
	if _, err := o.operator(in.Authorization); err != nil {
		return nil, ProblemOf(err)
	}
	var truth resolveBody
	if err := json.Unmarshal(in.RawBody, &truth); err != nil || truth.Outcome == hitchoutcome.Unknown {
		return nil, ProblemOf(badRequest("want Key, and Outcome Ran or NotRun"))
	}
	key, err := hitchclaim.ParseKeyID(truth.Key)
	if err != nil {
		return nil, ProblemOf(badRequest("%v", err))
	}
	if err := o.Resolve(ctx, key, hitchclaim.Resolution{Outcome: truth.Outcome, Status: truth.Status}); err != nil {
		return nil, ProblemOf(err)
	}
	return o.doubts(ctx, &operatorInput{Authorization: in.Authorization})
}
