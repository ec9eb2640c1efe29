package hitchnode

import (
	"context"
	"errors"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchapi"
	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// Operators returns the operations of the API for operators.
func (n *Node) Operators() *hitchapi.OperatorAPI {
	return &hitchapi.OperatorAPI{
		Authenticate: n.authenticateOperator,
		Plan:         n.plan,
		Confirm:      n.confirm,
		History:      n.history,
		Status:       n.status,
		Doubts:       n.doubts,
		Resolve:      n.resolve,
	}
}

// authenticateOperator returns the operator that a key belongs to.
func (n *Node) authenticateOperator(key string) (hitchconfig.Operator, error) {
	index, _ := n.config.activeIndex(time.Now())
	if index == nil {
		return hitchconfig.Operator{}, n.router.Ready()
	}
	operator, ok := index.OperatorByKey(key, time.Now())
	if !ok {
		return operator, hitchoutcome.RefuseNotRun(hitchoutcome.ReasonUnauthenticated, time.Time{}, "the operator's key isn't known")
	}
	return operator, nil
}

func (n *Node) confirmer() hitchconfig.Confirmer {
	index, _ := n.config.activeIndex(time.Now())
	c := hitchconfig.Confirmer{Store: configStore(n.store), Keys: n.Settings.FleetKeys, Now: time.Now}
	if index != nil {
		c.MinRevision = index.Revision()
	}
	return c
}

// plan returns the effect that an intent would have on the newest accepted revision.
func (n *Node) plan(ctx context.Context, operator string, intent hitchconfig.Intent) (plan hitchconfig.Plan, err error) {
	defer func() { err = configRefusal(err) }()
	head, _, err := n.confirmer().ReadHead(ctx)
	if err != nil {
		return plan, err
	}
	accepts, err := n.undoAccepts(ctx, intent, head)
	if err != nil {
		return plan, err
	}
	return hitchconfig.PlanInput{
		ID: ulid.Make().String(), Operator: operator, Intent: intent, Base: head.Configuration,
		Accepts: accepts, Fleet: n.fleetView(), Keys: n.Settings.FleetKeys,
	}.Plan(time.Now())
}

// undoAccepts returns the accepted changes that the plan of an intent needs: those of
// the head, and for an Undo of an older revision also those of its page of the history.
func (n *Node) undoAccepts(ctx context.Context, intent hitchconfig.Intent, head hitchconfig.Head) ([]hitchconfig.AcceptedChange, error) {
	isRecent := lo.ContainsBy(head.Accepts, func(a hitchconfig.AcceptedChange) bool { return a.Revision == intent.Revision })
	if intent.Kind != hitchconfig.Undo || isRecent {
		return head.Accepts, nil
	}
	page, err := n.confirmer().ReadPage(ctx, intent.Revision)
	return append(page.Accepts, head.Accepts...), err
}

// fleetView returns the endpoints and their loads, which plans need for warnings.
func (n *Node) fleetView() hitchconfig.FleetView {
	loads := n.router.EndpointStates()
	return hitchconfig.FleetView{Endpoints: lo.Map(n.list.endpoints(), func(e hitchfleet.Endpoint, _ int) hitchconfig.EndpointLoad {
		report := loads[e.ID]
		return hitchconfig.EndpointLoad{Endpoint: e, Requests: int(report.Requests), Capacity: int(report.Capacity)}
	})}
}

// confirm accepts a plan.
func (n *Node) confirm(ctx context.Context, operator, text string) (accepted hitchconfig.ConfirmResult, err error) {
	defer func() { err = configRefusal(err) }()
	token, err := hitchconfig.DecodeToken(text, n.Settings.FleetKeys)
	if err != nil {
		return accepted, err
	}
	accepted, err = n.confirmer().Confirm(ctx, token, operator)
	if err != nil {
		return accepted, err
	}
	n.log().Info("configuration accepted", "Revision", accepted.Change.Revision, "Operator", operator, "Plan", token.ID)
	n.config.applyAccepted(accepted.Head)
	return accepted, nil
}

func (n *Node) history(ctx context.Context, count int) (accepts []hitchconfig.AcceptedChange, err error) {
	defer func() { err = configRefusal(err) }()
	return n.confirmer().ReadHistory(ctx, count)
}

// configRefusal turns an error of planning or confirming into a refusal.
func configRefusal(err error) error {
	var (
		intent    *hitchconfig.IntentError
		check     *hitchconfig.CheckError
		expired   *hitchconfig.ExpiredError
		stale     *hitchconfig.StaleError
		behind    *hitchconfig.StoreBehindError
		undecided *hitchconfig.UndecidedError
	)
	retryAt := time.Now().Add(time.Second)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &intent), errors.As(err, &check), errors.Is(err, hitchconfig.ErrTokenInvalid):
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonBadRequest, time.Time{}, "%v", err)
	case errors.As(err, &expired), errors.As(err, &stale), errors.As(err, &behind):
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonConflict, time.Time{}, "%v", err)
	case errors.As(err, &undecided):
		return &hitchoutcome.Refusal{
			Reason: hitchoutcome.ReasonStoreOut, Outcome: hitchoutcome.Unknown, RetryAt: retryAt,
			Detail: err.Error() + "; confirm the same plan again",
		}
	default:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStoreOut, retryAt, "%v", err)
	}
}

// status returns the state of the whole fleet as known to this router. It requests the
// current revision from each of the other routers.
func (n *Node) status(ctx context.Context) (hitchapi.FleetStatus, error) {
	index, _ := n.config.activeIndex(time.Now())
	revision := n.config.current().KnownRevision()
	live := n.peers.LiveRouters()
	rollout := n.config.fetchRevisions(ctx)
	progress := rollout.Progress(revision, lo.Map(live, func(i hitchfleet.Instance, _ int) hitchfleet.InstanceID { return i.ID }))
	status := hitchapi.FleetStatus{
		Revision: revision, InForce: progress.InForce, Refusing: progress.Refusing, Routers: progress.Live,
		StoreOut: n.store.IsUnavailable(time.Now()), Forked: n.config.current().Err() != nil, ZonesOut: index.Configuration().ZonesOut,
	}
	for _, i := range live {
		status.Instances = append(status.Instances, hitchapi.InstanceStatus{
			ID: i.ID, Zone: i.Zone, Address: i.Addr, Leaving: i.Leaving, Behind: lo.Contains(progress.Missing, i.ID),
		})
	}
	loads := n.router.EndpointStates()
	for _, e := range n.list.endpoints() {
		load := loads[e.ID]
		status.Endpoints = append(status.Endpoints, hitchapi.EndpointStatus{
			ID: e.ID, Route: e.Route, Zone: e.Zone, Owner: load.Owner, InService: index.InService(e), Cold: load.Cold, Load: load.Load, Version: load.Version,
		})
	}
	return status, nil
}

// doubts returns the bookings of all homes whose outcome is unknown.
func (n *Node) doubts(ctx context.Context) ([]hitchclaim.Doubt, error) {
	return n.router.Doubts(ctx)
}

func (n *Node) resolve(ctx context.Context, key hitchclaim.KeyID, resolution hitchclaim.Resolution) error {
	return n.router.ResolveDoubt(ctx, key, resolution)
}

// Revision returns the revision of the current configuration, and whether the router
// serves requests with it.
func (n *Node) Revision() (revision uint64, isServing bool) {
	index, stale := n.config.activeIndex(time.Now())
	return index.Revision(), !stale
}
