package hitchedge

import (
	"context"
	"errors"
	"time"

	"citronhitch.example/citronhitch/hitchview"
	hitchplatform "citronhitch.example/citronhitch/platform"
)

// register keeps the instance's entry in the store from the first configuration until
// ctx ends.
func (e *Edge) register(ctx context.Context) {
	registration := hitchview.Registration{
		Self: e.Settings.Self, View: e.follower.View, Changed: e.viewChanged,
		Put: e.store.PutInstance, Remove: e.store.RemoveInstance, Log: e.Log,
	}
	registration.Run(ctx)
}

// notifyRegistration wakes the registration after a change of the view.
func (e *Edge) notifyRegistration() {
	select {
	case e.viewChanged <- struct{}{}:
	default:
	}
}

// removeSilent removes the entries of instances that have been silent for long, if
// this instance is the primary hub. Calls of the store don't delay the caller.
func (e *Edge) removeSilent(ctx context.Context, r *region) {
	view := e.gateway.View()
	due := e.removals.Due(time.Now(), &e.liveness, r.instances, view.InstanceRevision)
	if len(due) == 0 || !r.isPrimaryHub(e.Settings.Self.ID) || !e.follower.IsStoreReachable() || !e.isRemoving.CompareAndSwap(false, true) {
		return
	}
	entries := make([]hitchplatform.InstanceEntry, len(due))
	for i, id := range due {
		revision, _ := view.InstanceRevision(id)
		entries[i] = hitchplatform.InstanceEntry{ID: id, Revision: revision}
	}
	e.Log.Info("removing silent instances", "Instances", due)
	go func() {
		defer e.isRemoving.Store(false)
		err := e.store.RemoveInstances(ctx, entries)
		if err != nil && !errors.Is(err, hitchplatform.ErrConflict) {
			e.Log.Warn("failed to remove silent instances", "Instances", due, "Error", err)
		}
	}()
}
