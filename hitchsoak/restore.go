package hitchsoak

import "time"

const (
	// maxCopies is the number of copies that are kept, one each heartbeatInterval.
	maxCopies = 7
	// rewriteDelay is the time from the store's return until the operator has written again
	// what was lost.
	rewriteDelay = time.Second
)

// keepCopy takes a copy of the store.
func (f *fleet) keepCopy() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copies = append(f.copies, f.store.Copy())
	f.copies = f.copies[max(len(f.copies)-maxCopies, 0):]
}

// takeStoreAway makes the store unreachable. It returns the function that restores it
// from the oldest copy, some seconds old, with the operator's changes written again
// later.
func (f *fleet) takeStoreAway() (undo func()) {
	for _, i := range f.instances {
		i.storeRelay.Pause()
	}
	return func() {
		f.mu.Lock()
		if len(f.copies) > 0 {
			f.store.Restore(f.copies[0])
			f.copies = nil
		}
		f.mu.Unlock()
		for _, i := range f.instances {
			i.storeRelay.Resume()
		}
		time.Sleep(rewriteDelay)
		f.rewriteOperatorEntries()
	}
}

// rewriteOperatorEntries writes the configuration again, and removes the endpoints that
// have left.
func (f *fleet) rewriteOperatorEntries() {
	f.mu.Lock()
	f.putConfig()
	f.mu.Unlock()
	if f.engines != nil {
		f.engines.rewriteOrders()
	}
	for _, e := range f.endpoints {
		e.mu.Lock()
		if e.removals > 0 {
			f.store.Delete(e.Key())
		}
		e.mu.Unlock()
	}
}
