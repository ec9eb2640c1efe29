package hitchedge

import (
	"context"
	"errors"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	hitchplatform "citronhitch.example/citronhitch/platform"
)

// register keeps the instance's entry in the store from the first configuration until
// leaving is done, and then removes it, at the latest when ctx ends.
func (e *Edge) register(ctx, leaving context.Context) { e.registration.Run(ctx, leaving) }

// initRegistration sets the functions of the registration.
func (e *Edge) initRegistration() {
	r := &e.registration
	r.Self, r.View, r.Changed = e.Settings.Self, e.follower.View, e.viewChanged
	r.Put, r.Remove, r.Log = e.store.PutInstance, e.store.RemoveInstance, e.Log
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
	entries := e.dueEntries(time.Now(), r)
	if len(entries) == 0 || !r.isPrimaryHub(e.Settings.Self.ID) || !e.follower.KeepsUpWithStore() || !e.isRemoving.CompareAndSwap(false, true) {
		return
	}
	e.Log.Info("removing silent instances", "Entries", entries)
	go func() {
		defer e.isRemoving.Store(false)
		err := e.store.RemoveInstances(ctx, entries)
		if err != nil && !errors.Is(err, hitchplatform.ErrConflict) {
			e.Log.Warn("failed to remove silent instances", "Entries", entries, "Error", err)
		}
	}()
}

// dueEntries returns the entries that are due for removal: those of the region's silent
// instances, and those whose removal a store that came back from an older copy has lost.
func (e *Edge) dueEntries(now time.Time, r *region) []hitchplatform.InstanceEntry {
	view := e.gateway.View()
	revisionOf := func(id hitchfleet.InstanceID) (hitchfleet.Revision, bool) {
		_, revision, ok := view.RegisteredInstance(id)
		return revision, ok
	}
	var entries []hitchplatform.InstanceEntry
	for id, revision := range view.RevivedInstances() {
		entries = append(entries, hitchplatform.InstanceEntry{ID: id, Revision: revision})
	}
	for _, id := range e.removals.Due(now, &e.liveness, r.instances, revisionOf) {
		revision, _ := revisionOf(id)
		entries = append(entries, hitchplatform.InstanceEntry{ID: id, Revision: revision})
	}
	return entries
}
