package hitchstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// watchLife is how long a watch waits on one connection, give or take a quarter.
// A connection that has gone silent is left after that time.
const watchLife = 20 * time.Second

var errCompacted = errors.New("the start of the watch has been compacted")

// watcher is a watch on its way.
type watcher struct {
	client *Client
	r      Range
	fn     func(Entry) error
	// next is the revision that the watch goes on from.
	next Revision
	// known holds the keys that exist, so that a list tells which were deleted.
	known map[string]Revision
}

// stopError is an error of the function that a watch calls.
type stopError struct{ err error }

func (e *stopError) Error() string { return e.err.Error() }
func (e *stopError) Unwrap() error { return e.err }

// Watch calls fn for each change of a range from a revision on, in order. From 0,
// it first calls fn for each key that exists. A deleted key has Exists false.
//
// Watch goes on over broken connections and outages. If the store has forgotten
// the changes to go on from, fn gets the present entries instead, so that it may
// miss values in between but never the last one. Watch returns when the context
// ends or fn fails, with that error.
func (c *Client) Watch(ctx context.Context, r Range, from Revision, fn func(Entry) error) (err error) {
	w := watcher{client: c, r: r, fn: fn, next: from, known: make(map[string]Revision)}
	pauses := newBackoff()
	for {
		before := w.next
		err := w.run(ctx)
		var stop *stopError
		if errors.As(err, &stop) {
			return stop.err
		}
		if ctx.Err() != nil {
			return fmt.Errorf("watch %s: %w", r.start, ctx.Err())
		}
		if err == nil || w.next != before {
			pauses.Reset()
		}
		if errors.Is(err, errCompacted) {
			w.next = 0
		}
		if !sleep(ctx, pauses.NextBackOff()) {
			return fmt.Errorf("watch %s: %w", r.start, ctx.Err())
		}
	}
}

// run lists the range if need be and follows it on one connection. It returns
// nil at the end of the connection's time.
func (w *watcher) run(ctx context.Context) error {
	if w.next == 0 {
		if err := w.list(ctx); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The timer ends the wait first for an answer, then for the watch.
	timer := time.AfterFunc(callTimeout, cancel)
	defer timer.Stop()
	create := wireWatchCreate{Key: []byte(w.r.start), RangeEnd: []byte(w.r.end), StartRevision: int64(w.next)}
	response, endpoint, err := w.client.post(ctx, pathWatch, wireWatch{Create: create})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for created := false; ; created = true {
		var answer wireWatchAnswer
		if err := decoder.Decode(&answer); err != nil {
			if created && ctx.Err() != nil {
				return nil
			}
			w.client.noteFailure(endpoint)
			return fmt.Errorf("read watch: %w", err)
		}
		w.client.noteAnswer()
		if !created {
			timer.Reset(watchLife*3/4 + rand.N(watchLife/2))
		}
		if answer.Result.CompactRevision > 0 {
			return errCompacted
		}
		if err := w.deliver(answer.Result.Events); err != nil {
			return err
		}
	}
}

// list calls fn for the entries that changed and the keys that went since the
// watch knew them.
func (w *watcher) list(ctx context.Context) error {
	entries, at, err := w.client.read(ctx, w.r)
	if err != nil {
		return err
	}
	gone := w.known
	w.known = make(map[string]Revision, len(entries))
	for _, entry := range entries {
		was := gone[entry.Key]
		delete(gone, entry.Key)
		w.known[entry.Key] = entry.Revision
		if was == entry.Revision {
			continue
		}
		if err := w.fn(entry); err != nil {
			return &stopError{err: err}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(gone)) {
		if err := w.fn(Entry{Key: key, Revision: at}); err != nil {
			return &stopError{err: err}
		}
	}
	w.next = at + 1
	return nil
}

func (w *watcher) deliver(events []wireEvent) error {
	for _, event := range events {
		entry := entryOf(event.KV)
		if entry.Revision < w.next {
			continue
		}
		if event.Type == eventDelete {
			entry = Entry{Key: entry.Key, Revision: entry.Revision}
			delete(w.known, entry.Key)
		} else {
			w.known[entry.Key] = entry.Revision
		}
		if err := w.fn(entry); err != nil {
			return &stopError{err: err}
		}
	}
	if n := len(events); n > 0 {
		w.next = Revision(events[n-1].KV.ModRevision) + 1
	}
	return nil
}
