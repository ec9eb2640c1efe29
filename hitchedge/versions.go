package hitchedge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"citronhitch.example/citronhitch/hitchorigin"
	"citronhitch.example/citronhitch/hitchview"
	hitchplatform "citronhitch.example/citronhitch/platform"
)

// versionsPath is the path on which an instance says which versions it has seen recently.
const versionsPath = "/v1/versions"

// Limits of the questions for versions.
const (
	// versionsInterval is how often an instance checks whether it has missed versions, or
	// has some to record.
	versionsInterval = 50 * time.Millisecond
	// minLearnDelay and maxLearnDelay limit the delay between two questions for them, which
	// doubles while nobody knows.
	minLearnDelay = 50 * time.Millisecond
	maxLearnDelay = 8 * time.Second
	// maxVersionsBytes limits a response.
	maxVersionsBytes = 1 << 20
)

// versionsQuestions spaces out the questions for versions that this instance has missed. The
// zero value asks at once.
type versionsQuestions struct {
	// askedAt is when the last question was asked, and nextAt when the next one is due.
	askedAt, nextAt time.Time
}

// isDue reports whether to ask now, and puts off the next question: its delay is twice that
// of this one.
func (q *versionsQuestions) isDue(now time.Time) bool {
	if now.Before(q.nextAt) {
		return false
	}
	delay := minLearnDelay
	if !q.askedAt.IsZero() {
		delay = min(max(2*q.nextAt.Sub(q.askedAt), minLearnDelay), maxLearnDelay)
	}
	q.askedAt, q.nextAt = now, now.Add(delay)
	return true
}

// serveVersions tells another instance which versions this one has seen recently, unless it
// has missed some itself.
func (e *Edge) serveVersions(w http.ResponseWriter, r *http.Request) {
	recent, ok := e.gateway.Origins.Recent(time.Now())
	if !ok || !e.gateway.OriginExchange.IsViewCurrent() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(recent); err != nil {
		e.Log.Warn("failed to send the versions of endpoints", "To", r.RemoteAddr, "Error", err)
	}
}

// followRecords keeps this instance's knowledge of which versions there have been recently,
// and the store's records, complete until ctx ends. Otherwise a fleet whose instances are
// restarted wouldn't know for a while where streams may go on, and at which requests
// endpoints crash.
func (e *Edge) followRecords(ctx context.Context) {
	ticker := time.NewTicker(versionsInterval)
	defer ticker.Stop()
	var questions versionsQuestions
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !e.gateway.OriginExchange.IsViewCurrent() {
			continue
		}
		now := time.Now()
		if e.gateway.Origins.IsComplete(now) {
			questions = versionsQuestions{}
		} else if questions.isDue(now) {
			e.learnVersions(ctx)
		}
		if e.currentRegion().isPrimaryHub(e.Settings.Self.ID) {
			e.recordVersions(ctx)
			e.followQuarantine(ctx)
		} else {
			e.versionsRecord.forget()
			e.quarantineRecord.forget()
		}
	}
}

// doubtNewFleet makes this instance learn which versions there were, if the fleet starts
// together with it by the first view: all instances may have been stopped as planned, so that
// they have no entries, and all endpoints replaced just before. It is new if nobody knows and
// the store has no record of versions.
func (e *Edge) doubtNewFleet(view hitchview.View) {
	now := time.Now()
	if !e.hasView && e.Settings.StoreAddr != "" && e.gateway.IsNewFleet(now, view) {
		e.seemsNew.Store(true)
		e.gateway.RecordGap(now)
	}
	e.hasView = true
}

// recordedVersions returns the store's record of which versions there were. Questions at the same time read it
// once.
func (e *Edge) recordedVersions(ctx context.Context) (recent hitchorigin.Recent, err error) {
	select {
	case result := <-e.versionsReads.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordReadTimeout)
		defer cancel()
		return e.store.Record(ctx, hitchplatform.VersionsRecord)
	}):
		if result.Err != nil {
			return recent, result.Err
		}
		err = json.Unmarshal(result.Val.([]byte), &recent)
		return recent, err
	case <-ctx.Done():
		return recent, ctx.Err()
	}
}

// learnVersions asks other instances which versions there were, until one knows. If none
// does, it reads the store.
func (e *Edge) learnVersions(ctx context.Context) {
	for _, addr := range e.peerAddrs(e.gateway.View()) {
		if recent, err := e.fetchVersions(ctx, addr); err == nil {
			e.inherit(recent, addr)
			return
		}
	}
	value, err := e.store.Record(ctx, hitchplatform.VersionsRecord)
	if errors.Is(err, hitchplatform.ErrNotFound) {
		if e.seemsNew.Load() {
			e.inherit(hitchorigin.Recent{}, e.Settings.StoreAddr)
		}
		return
	}
	var recent hitchorigin.Recent
	if err == nil {
		err = json.Unmarshal(value, &recent)
	}
	if err != nil {
		e.Log.Warn("failed to read the versions of endpoints", "Error", err)
		return
	}
	e.inherit(recent, e.Settings.StoreAddr)
}

// inherit adds versions that were learned from an address.
func (e *Edge) inherit(recent hitchorigin.Recent, from string) {
	e.seemsNew.Store(false)
	e.gateway.InheritVersions(time.Now(), recent)
	e.Log.Info("versions of endpoints learned", "From", from)
}

// recordVersions writes the versions that there have been recently to the store, if these
// have changed or the store may have lost them.
func (e *Edge) recordVersions(ctx context.Context) {
	if recent, ok := e.gateway.Origins.Recent(time.Now()); ok {
		e.writeRecord(ctx, hitchplatform.VersionsRecord, &e.versionsRecord, recent)
	}
}

// fetchVersions asks the instance at addr which versions it has seen recently.
func (e *Edge) fetchVersions(ctx context.Context, addr string) (recent hitchorigin.Recent, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", addr, versionsPath), nil)
	if err != nil {
		return recent, err
	}
	res, err := e.peerClient.Do(r)
	if err != nil {
		return recent, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return recent, fmt.Errorf("unexpected status %d", res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxVersionsBytes)).Decode(&recent)
	return recent, err
}
