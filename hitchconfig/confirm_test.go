package hitchconfig

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchfleet"
)

var fleetKeys = Keyring{Keys: []FleetKey{{ID: "k1", Secret: []byte("secret of the fleet")}}}

// fakeStore is a key-value service that can lose responses and delay writes.
type fakeStore struct {
	values        map[string]StoreValue
	lastRevision  int64
	calls         int
	isUnavailable bool
	// headFaults are the faults of the next swaps of the head, boundFaults those of
	// the revision bound; "" means no fault.
	headFaults    []string
	boundFaults   []string
	delayedWrites []func()
}

var errStoreUnavailable = errors.New("store is unavailable")

func (s *fakeStore) store() Store {
	if s.values == nil {
		s.values = make(map[string]StoreValue)
	}
	return Store{Get: s.get, Swap: s.swap}
}

func (s *fakeStore) get(_ context.Context, key string) (StoreValue, error) {
	s.calls++
	if s.isUnavailable {
		return StoreValue{}, errStoreUnavailable
	}
	return s.values[key], nil
}

func (s *fakeStore) swap(_ context.Context, key string, expectedRevision int64, data []byte) (SwapOutcome, error) {
	s.calls++
	if s.isUnavailable {
		return SwapNotDone, errStoreUnavailable
	}
	write := func() bool {
		if s.values[key].Revision != expectedRevision {
			return false
		}
		s.lastRevision++
		s.values[key] = StoreValue{Data: data, Revision: s.lastRevision}
		return true
	}
	faults := &s.headFaults
	if key == RevisionBoundKey {
		faults = &s.boundFaults
	}
	fault := ""
	if len(*faults) > 0 {
		fault, *faults = (*faults)[0], (*faults)[1:]
	}
	switch fault {
	case "response":
		write()
		return SwapUnknown, errStoreUnavailable
	case "request":
		return SwapUnknown, errStoreUnavailable
	case "delayed":
		s.delayedWrites = append(s.delayedWrites, func() { write() })
		return SwapUnknown, errStoreUnavailable
	case "outage":
		write()
		s.isUnavailable = true
		return SwapUnknown, errStoreUnavailable
	}
	if !write() {
		return SwapConflict, nil
	}
	return SwapDone, nil
}

func (s *fakeStore) applyDelayedWrites() {
	for _, write := range s.delayedWrites {
		write()
	}
	s.delayedWrites = nil
}

func (s *fakeStore) confirmer() Confirmer {
	return Confirmer{Store: s.store(), Keys: fleetKeys, Now: func() time.Time { return start.Add(time.Minute) }}
}

func (s *fakeStore) head(t testFailer) Head {
	h, err := DecodeHead(s.values[HeadKey].Data, fleetKeys)
	if err != nil {
		t.Fatalf("head: %v", err)
	}
	return h
}

// testFailer is the common interface of testing.T and rapid.T.
type testFailer = rapid.TB

// require fails the test unless ok. It is used with rapid.T, which quicktest doesn't
// support.
func require(t testFailer, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

func mustPlan(t testFailer, h Head, id, operator string, intent Intent) Token {
	p, err := PlanInput{ID: id, Operator: operator, Intent: intent, Base: h.Configuration, Accepts: h.Accepts, Keys: fleetKeys}.Plan(start)
	if err != nil {
		t.Fatalf("plan: %v", err)
	}
	return p.Token
}

func zoneIntent(n int) Intent {
	return Intent{Kind: TakeZoneOut, Zone: hitchfleet.AvailabilityZone(fmt.Sprint("zone-", n))}
}

func TestConfirmWithLostResponses(t *testing.T) {
	tests := map[string]struct {
		faults          []string
		alreadyAccepted bool
	}{
		"no fault":                    {nil, false},
		"response lost":               {[]string{"response"}, true},
		"request lost":                {[]string{"request"}, false},
		"two requests lost":           {[]string{"request", "request"}, false},
		"request, then response lost": {[]string{"request", "response"}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{headFaults: test.faults}
			c := s.confirmer()
			token := mustPlan(t, Head{}, "plan-1", "maja", zoneIntent(1))
			got, err := c.Confirm(t.Context(), token, "maja")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got.AlreadyAccepted, qt.Equals, test.alreadyAccepted)
			qt.Assert(t, got.Change.Revision, qt.Equals, uint64(1))
			again, err := c.Confirm(t.Context(), token, "olle")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again.AlreadyAccepted, qt.IsTrue)
			qt.Assert(t, again.Change, qt.DeepEquals, got.Change)
		})
	}
}

func TestConfirmAgainAfterUndecided(t *testing.T) {
	for _, fault := range []string{"outage", "delayed"} {
		t.Run(fault, func(t *testing.T) {
			s := &fakeStore{headFaults: []string{fault, fault, fault, fault}}
			token := mustPlan(t, Head{}, "plan-1", "maja", zoneIntent(1))
			_, err := s.confirmer().Confirm(t.Context(), token, "maja")
			var undecided *UndecidedError
			qt.Assert(t, errors.As(err, &undecided), qt.IsTrue)
			s.isUnavailable, s.headFaults = false, nil
			s.applyDelayedWrites()
			got, err := s.confirmer().Confirm(t.Context(), token, "maja")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got.AlreadyAccepted, qt.IsTrue)
			qt.Assert(t, s.head(t).Accepts, qt.HasLen, 1)
		})
	}
}

func TestExpiredPlanIsNeverAccepted(t *testing.T) {
	s := &fakeStore{headFaults: []string{"delayed", "delayed", "delayed", "delayed"}}
	c := s.confirmer()
	token := mustPlan(t, Head{}, "plan-1", "maja", zoneIntent(1))
	_, err := c.Confirm(t.Context(), token, "maja")
	var undecided *UndecidedError
	qt.Assert(t, errors.As(err, &undecided), qt.IsTrue)
	c.Now = func() time.Time { return token.Deadline.Add(1) }
	_, err = c.Confirm(t.Context(), token, "maja")
	var expired *ExpiredError
	qt.Assert(t, errors.As(err, &expired), qt.IsTrue)
	s.applyDelayedWrites()
	qt.Assert(t, s.head(t).Accepts, qt.HasLen, 0)
	qt.Assert(t, s.head(t).Configuration.Revision, qt.Equals, uint64(0))
}

func TestConfirmOfStalePlanReportsWinner(t *testing.T) {
	s := &fakeStore{}
	mine := mustPlan(t, Head{}, "plan-1", "maja", zoneIntent(1))
	theirs := mustPlan(t, Head{}, "plan-2", "olle", zoneIntent(2))
	_, err := s.confirmer().Confirm(t.Context(), theirs, "olle")
	qt.Assert(t, err, qt.IsNil)
	for n := range 2 * maxHeadAccepts { // the winning change moves from the head to a page
		_, err = s.confirmer().Confirm(t.Context(), mine, "maja")
		var stale *StaleError
		qt.Assert(t, errors.As(err, &stale), qt.IsTrue)
		qt.Assert(t, err, qt.ErrorMatches, ".*TakeZoneOut of zone-2, confirmed by olle at 2026-03-02T09:01:00Z; the current revision is .*")
		next := mustPlan(t, s.head(t), fmt.Sprint("next-", n), "olle", zoneIntent(10+n))
		_, err = s.confirmer().Confirm(t.Context(), next, "olle")
		qt.Assert(t, err, qt.IsNil)
	}
	got, err := s.confirmer().Confirm(t.Context(), theirs, "olle")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Change.Revision, qt.Equals, uint64(1))
}

func TestConfirmRefuses(t *testing.T) {
	good := mustPlan(t, Head{}, "plan-1", "maja", zoneIntent(1))
	forged := good
	forged.Intent.Zone = "zone-9"
	tests := map[string]struct {
		token Token
		with  func(Confirmer) Confirmer
		want  string
	}{
		"modified plan":                {forged, func(c Confirmer) Confirmer { return c }, ".*not created by this fleet.*"},
		"other fleet":                  {good, func(c Confirmer) Confirmer { c.Keys = Keyring{}; return c }, ".*not created by this fleet.*"},
		"after the deadline":           {good, func(c Confirmer) Confirmer { c.Now = func() time.Time { return good.Deadline.Add(1) }; return c }, ".*the plan ended at.*"},
		"store restored from a backup": {good, func(c Confirmer) Confirmer { c.MinRevision = 7; return c }, ".*store holds revision 0, but routers already use revision 7.*"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{}
			_, err := test.with(s.confirmer()).Confirm(t.Context(), test.token, "maja")
			qt.Assert(t, err, qt.ErrorMatches, test.want)
			if len(s.values) > 0 {
				qt.Assert(t, s.head(t).Accepts, qt.HasLen, 0)
			}
		})
	}
}

func TestStoreCallsPerAccept(t *testing.T) {
	s := &fakeStore{}
	h := Head{Configuration: smallConfiguration().WithRevision(0)}
	const changes = 140
	for n := range changes {
		token := mustPlan(t, h, fmt.Sprint("plan-", n), "maja", zoneIntent(100+n))
		if n == 0 {
			s.writeHead(t, h)
		}
		got, err := s.confirmer().Confirm(t.Context(), token, "maja")
		qt.Assert(t, err, qt.IsNil)
		h = got.Head
	}
	t.Logf("%d accepted changes: %d store calls, %d values, head of %d bytes", changes, s.calls, len(s.values), len(s.values[HeadKey].Data))
	qt.Assert(t, s.calls <= changes*41/10, qt.IsTrue)
	for key, value := range s.values {
		qt.Assert(t, len(value.Data) < maxValueBytes, qt.IsTrue, qt.Commentf(key))
	}
	calls := s.calls
	ok, err := s.confirmer().IsUnchanged(t.Context(), changes)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ok, qt.IsTrue)
	t.Logf("check for changes: %d store call of %d bytes", s.calls-calls, len(s.values[RevisionBoundKey].Data))
	all, err := s.confirmer().ReadHistory(t.Context(), 1000)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, all, qt.HasLen, changes)
	for i, a := range all {
		qt.Assert(t, a.Revision, qt.Equals, uint64(changes-i))
	}
}

// writeHead writes a signed head directly to the store.
func (s *fakeStore) writeHead(t testFailer, h Head) {
	sum, err := h.Configuration.Checksum()
	if err != nil {
		t.Fatalf("checksum: %v", err)
	}
	h.Proof = signRevision(fleetKeys, h.Configuration.Revision, sum)
	data, err := h.Encode()
	if err != nil {
		t.Fatalf("encode head: %v", err)
	}
	s.store()
	s.lastRevision++
	s.values[HeadKey] = StoreValue{Data: data, Revision: s.lastRevision}
}

// TestConfirmRandom lets two operators race on a store that loses requests and
// responses and delays writes. Each outcome reported to them must match the history.
func TestConfirmRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{}
		s.store()
		reported := make(map[string]string)
		var tokens []Token
		steps := rapid.IntRange(1, 30).Draw(t, "steps")
		for n := range steps {
			s.isUnavailable = rapid.IntRange(0, 9).Draw(t, "out") == 0
			s.headFaults = rapid.SliceOfN(rapid.SampledFrom([]string{"", "response", "request", "delayed"}), 0, 4).Draw(t, "head faults")
			s.boundFaults = rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "response", "request", "delayed"}), 0, 2).Draw(t, "bound faults")
			checkRevisionBound(t, s)
			switch rapid.SampledFrom([]string{"plan", "confirm", "confirm", "apply delayed writes"}).Draw(t, "step") {
			case "plan":
				operator := rapid.SampledFrom([]string{"maja", "olle"}).Draw(t, "operator")
				tokens = append(tokens, mustPlan(t, s.head(t), fmt.Sprint("plan-", n), operator, zoneIntent(n)))
			case "confirm":
				if len(tokens) > 0 {
					token := rapid.SampledFrom(tokens).Draw(t, "token")
					confirmOnce(t, s, token, reported)
				}
			case "apply delayed writes":
				s.applyDelayedWrites()
			}
		}
		s.applyDelayedWrites()
		checkRevisionBound(t, s)
		checkReported(t, s.head(t), reported)
	})
}

// checkRevisionBound checks that the revision bound never confirms a revision older than
// the head's as current.
func checkRevisionBound(t *rapid.T, s *fakeStore) {
	unavailable := s.isUnavailable
	s.isUnavailable = false
	n := s.head(t).Configuration.Revision
	for revision := range n {
		ok, err := s.confirmer().IsUnchanged(context.Background(), revision)
		require(t, err == nil && !ok, "revision %d is reported as current, the head is at %d (%v)", revision, n, err)
	}
	s.isUnavailable = unavailable
}

func confirmOnce(t *rapid.T, s *fakeStore, token Token, reported map[string]string) {
	delayedBefore := len(s.delayedWrites)
	c := s.confirmer()
	if rapid.IntRange(0, 3).Draw(t, "confirm after deadline") == 0 || reported[token.ID] == "expired" {
		c.Now = func() time.Time { return token.Deadline.Add(1) }
	}
	got, err := c.Confirm(context.Background(), token, token.Operator)
	var stale *StaleError
	var undecided *UndecidedError
	var expired *ExpiredError
	result := "accepted"
	switch {
	case errors.As(err, &stale):
		result = "stale"
	case errors.As(err, &expired):
		result = "expired"
	case errors.As(err, &undecided) || len(s.delayedWrites) > delayedBefore:
		return
	case err != nil:
		return // failed for certain; the plan may be confirmed later
	case got.Change.PlanID != token.ID:
		t.Fatalf("result is for plan %s, want %s", got.Change.PlanID, token.ID)
	}
	isRefusal := result == "stale" && reported[token.ID] == "expired" // both mean that it will never be accepted
	if previous := reported[token.ID]; previous != "" && previous != result && !isRefusal {
		t.Fatalf("plan %s: reported %s, then %s", token.ID, previous, result)
	}
	reported[token.ID] = result
}

func checkReported(t *rapid.T, h Head, reported map[string]string) {
	accepted := make(map[string]int)
	for i, a := range h.Accepts {
		accepted[a.PlanID]++
		if a.Revision != uint64(i+1) {
			t.Fatalf("accepted change %d has revision %d", i, a.Revision)
		}
	}
	for id, result := range reported {
		if want := map[string]int{"accepted": 1}[result]; accepted[id] != want {
			t.Fatalf("plan %s: reported %s, accepted %d times", id, result, accepted[id])
		}
	}
}

func TestRepairRestoresNewerRevision(t *testing.T) {
	s := &fakeStore{}
	s.writeHead(t, Head{Configuration: smallConfiguration()})
	old := s.values[HeadKey]
	got, err := s.confirmer().Confirm(t.Context(), mustPlan(t, s.head(t), "plan-1", "maja", zoneIntent(1)), "maja")
	qt.Assert(t, err, qt.IsNil)
	s.values[HeadKey] = old
	snapshot, err := got.Head.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.confirmer().Repair(t.Context(), snapshot), qt.IsNil)
	qt.Assert(t, s.head(t).Configuration, qt.DeepEquals, got.Head.Configuration)
}
