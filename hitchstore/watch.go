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

// watchConnectionTTL is how long a watch uses one connection, plus or minus a
// quarter. After this time a connection that has stopped delivering is replaced.
const watchConnectionTTL = 20 * time.Second

var errCompacted = errors.New("the start of the watch has been compacted")

// watcher is a watch in progress.
type watcher struct {
	client   *Client
	r        Range
	onChange func(Entry) error
	// next is the revision from which the watch continues.
	next Revision
	// known has the keys that exist, so that a list shows which were deleted.
	known map[string]Revision
}

// stopError is an error of the function that a watch calls.
type stopError struct{ err error }

func (e *stopError) Error() string { return e.err.Error() }
func (e *stopError) Unwrap() error { return e.err }

// Watch calls fn for each change of a range from a revision on, in order. If the
// revision is 0, it first calls fn for each key that exists. A deleted key has Exists
// false.
//
// Watch reconnects after broken connections and outages. If the store has compacted
// the changes that it needs, fn gets the present entries instead, so that it may miss
// intermediate values but never the last one. Watch returns when the context ends or
// fn fails, with that error.
func (c *Client) Watch(ctx context.Context, r Range, from Revision, fn func(Entry) error) (err error) {
	w := watcher{client: c, r: r, onChange: fn, next: from, known: make(map[string]Revision)}
	delays := newBackoff()
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
			delays.Reset()
		}
		if errors.Is(err, errCompacted) {
			w.next = 0
		}
		if !sleep(ctx, delays.NextBackOff()) {
			return fmt.Errorf("watch %s: %w", r.start, ctx.Err())
		}
	}
}

// run lists the range if next is 0, and watches it on one connection. It returns nil
// when watchConnectionTTL has passed.
func (w *watcher) run(ctx context.Context) error {
	if w.next == 0 {
		if err := w.list(ctx); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The timer first limits the wait for the first response, and then the lifetime of
	// the connection.
	timer := time.AfterFunc(callTimeout, cancel)
	defer timer.Stop()
	create := wireWatchCreate{Key: []byte(w.r.start), RangeEnd: []byte(w.r.end), StartRevision: int64(w.next)}
	response, endpoint, err := w.client.post(ctx, pathWatch, wireWatch{Create: create})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	messages := messageReader{body: response.Body}
	decoder := json.NewDecoder(&messages)
	for created := false; ; created = true {
		var message wireWatchResponse
		messages.left = maxMessageBytes
		if err := decoder.Decode(&message); err != nil {
			if created && ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, errMessageTooLarge) { // it would only be longer the next time
				return errors.Join(err, errCompacted)
			}
			w.client.recordFailure(endpoint)
			return fmt.Errorf("read watch: %w", err)
		}
		w.client.recordSuccess()
		if !created {
			timer.Reset(watchConnectionTTL*3/4 + rand.N(watchConnectionTTL/2))
		}
		if message.Result.CompactRevision > 0 {
			return errCompacted
		}
		if err := w.deliver(message.Result.Events); err != nil {
			return err
		}
	}
}

// list calls onChange for the entries that have changed and the keys that were deleted
// since the watch last saw them.
func (w *watcher) list(ctx context.Context) error {
	entries, at, err := w.client.read(ctx, w.r)
	if err != nil {
		return err
	}
	removed := w.known
	w.known = make(map[string]Revision, len(entries))
	for _, entry := range entries {
		was := removed[entry.Key]
		delete(removed, entry.Key)
		w.known[entry.Key] = entry.Revision
		if was == entry.Revision {
			continue
		}
		if err := w.onChange(entry); err != nil {
			return &stopError{err: err}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(removed)) {
		if err := w.onChange(Entry{Key: key, Revision: at}); err != nil {
			return &stopError{err: err}
		}
	}
	w.next = at + 1
	return nil
}

func (w *watcher) deliver(events []wireEvent) error {
	for _, event := range events {
		entry := decodeEntry(event.KV)
		if entry.Revision < w.next {
			continue
		}
		if event.Type == eventDelete {
			entry = Entry{Key: entry.Key, Revision: entry.Revision}
			delete(w.known, entry.Key)
		} else {
			w.known[entry.Key] = entry.Revision
		}
		if err := w.onChange(entry); err != nil {
			return &stopError{err: err}
		}
	}
	if n := len(events); n > 0 {
		w.next = Revision(events[n-1].KV.ModRevision) + 1
	}
	return nil
}
