package hitchstore

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfake"
)

func TestSwap(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		c := r.client
		qt.Assert(t, mustGet(t, c, "k"), qt.DeepEquals, Entry{Key: "k"})
		first := mustSwap(t, c, "k", 0, "one")
		got := mustGet(t, c, "k")
		qt.Assert(t, got, qt.DeepEquals, first)
		qt.Assert(t, got.Writer, qt.Equals, "router-1")

		_, err := r.newClient("router-2").Swap(t.Context(), "k", 0, []byte("two"), 0)
		var conflict *ConflictError
		qt.Assert(t, err, qt.ErrorAs, &conflict)
		qt.Assert(t, conflict.Current, qt.DeepEquals, first)

		second := mustSwap(t, c, "k", first.Revision, "two")
		qt.Assert(t, kindOf(c.Delete(t.Context(), "k", first.Revision)), qt.Equals, "conflict")
		qt.Assert(t, c.Delete(t.Context(), "k", second.Revision), qt.IsNil)
		qt.Assert(t, mustGet(t, c, "k").Exists, qt.IsFalse)
	})
}

func TestSwapResultMatchesEffect(t *testing.T) {
	type state struct {
		*rig
		other *Client
		first Revision // of the key
	}
	// meanwhile runs a change by another writer while the first attempt is in flight.
	meanwhile := func(t *testing.T, s state, change func()) {
		go func() {
			time.Sleep(callTimeout / 2)
			change()
		}()
	}
	tests := map[string]struct {
		faults    []hitchfake.Fault
		meanwhile func(t *testing.T, s state)
		want      string
		value     string
	}{
		"response lost": {
			faults: []hitchfake.Fault{dropResponses(1)},
			want:   "none", value: "mine",
		},
		"four responses lost": {
			faults: []hitchfake.Fault{dropResponses(4)},
			want:   "none", value: "mine",
		},
		"all responses lost": {
			faults: []hitchfake.Fault{dropResponses(0)},
			want:   "unknown", value: "mine",
		},
		"response lost, then overwritten": {
			faults: []hitchfake.Fault{dropResponses(1)},
			meanwhile: func(t *testing.T, s state) {
				mustSwap(t, s.other, "k", mustGet(t, s.other, "k").Revision, "other")
			},
			want: "none", value: "other",
		},
		"response lost, then deleted": {
			faults: []hitchfake.Fault{dropResponses(1)},
			meanwhile: func(t *testing.T, s state) {
				qt.Check(t, s.other.Delete(t.Context(), "k", mustGet(t, s.other, "k").Revision), qt.IsNil)
			},
			want: "none", value: "",
		},
		"late write between attempts": {
			faults: []hitchfake.Fault{{Kind: hitchfake.FaultDelayWrite, Path: pathTxn, Times: 1, Millis: 15}},
			want:   "none", value: "mine",
		},
		"late write after the retry": {
			faults: []hitchfake.Fault{{Kind: hitchfake.FaultDelayWrite, Path: pathTxn, Times: 1, Millis: 9000}},
			want:   "none", value: "mine",
		},
		"slow write after another write": {
			faults: []hitchfake.Fault{{Kind: hitchfake.FaultSlow, Path: pathTxn, Times: 1, Millis: 9000}},
			meanwhile: func(t *testing.T, s state) {
				mustSwap(t, s.other, "k", s.first, "other")
			},
			want: "conflict", value: "other",
		},
		"store unavailable": {
			faults: []hitchfake.Fault{{Kind: hitchfake.FaultUnavailable}},
			want:   "unknown", value: "before",
		},
		"store briefly unavailable": {
			faults: []hitchfake.Fault{{Kind: hitchfake.FaultUnavailable, Times: 2}},
			want:   "none", value: "mine",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				s := state{rig: r, other: r.newClient("router-2")}
				// Both clients open their lanes before the fault, so that it applies to the
				// tested write and not to the opening of a lane.
				mustSwap(t, r.client, "warm", 0, "up")
				mustSwap(t, s.other, "cold", 0, "up")
				s.first = mustSwap(t, r.client, "k", 0, "before").Revision
				r.store.Faults.Set(test.faults...)
				if test.meanwhile != nil {
					meanwhile(t, s, func() { test.meanwhile(t, s) })
				}
				_, err := r.client.Swap(t.Context(), "k", s.first, []byte("mine"), 0)
				qt.Assert(t, kindOf(err), qt.Equals, test.want)
				r.store.Faults.Set()
				time.Sleep(10 * time.Second)
				qt.Assert(t, string(mustGet(t, r.client, "k").Value), qt.Equals, test.value)
			})
		})
	}
}

// Only the expected revision of a create, 0, can recur: an attempt in flight could
// still create the key after another writer has created and deleted it. It must not.
func TestLateCreateHasNoEffect(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		other := r.newClient("router-2")
		mustSwap(t, r.client, "warm", 0, "up")
		mustSwap(t, other, "cold", 0, "up")
		late := hitchfake.Fault{Kind: hitchfake.FaultSlow, Path: pathTxn, Times: 1, Millis: 5000}
		r.store.Faults.Set(late)
		go func() {
			time.Sleep(callTimeout / 2)
			mustSwap(t, other, "k", 0, "other")
		}()
		_, err := r.client.Swap(t.Context(), "k", 0, []byte("mine"), 0)
		qt.Assert(t, kindOf(err), qt.Equals, "conflict")
		qt.Assert(t, other.Delete(t.Context(), "k", mustGet(t, other, "k").Revision), qt.IsNil)
		time.Sleep(10 * time.Second)
		qt.Assert(t, mustGet(t, other, "k").Exists, qt.IsFalse)
	})
}

func TestSwapNotSent(t *testing.T) {
	tests := map[string]struct {
		disrupt func(r *rig)
		value   string
		want    string
	}{
		"connections refused": {func(r *rig) {
			r.network.RefuseConnections("store-1:80", true)
			r.network.RefuseConnections("store-2:80", true)
		}, "v", "unavailable"},
		"one endpoint refuses": {func(r *rig) { r.network.RefuseConnections("store-1:80", true) }, "v", "none"},
		"too large":            {func(*rig) {}, strings.Repeat("x", MaxValueBytes), "too large"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				mustSwap(t, r.client, "warm", 0, "up")
				test.disrupt(r)
				r.network.Client().CloseIdleConnections()
				_, err := r.client.Swap(t.Context(), "k", 0, []byte(test.value), 0)
				qt.Assert(t, kindOf(err), qt.Equals, test.want)
				qt.Assert(t, r.client.IsUnavailable(time.Now()), qt.Equals, test.want == "unavailable")
			})
		})
	}
}

// The store refuses calls above its rate limit before it carries them out, so the
// result of such a write must be unavailable and not unknown.
func TestSwapAboveStoreRateLimit(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.store.WritesPerSecond = 3
		mustSwap(t, r.client, "k", 0, "one")
		_, err := r.client.Swap(t.Context(), "l", 0, []byte("two"), 0)
		qt.Assert(t, kindOf(err), qt.Equals, "unavailable")
		qt.Assert(t, r.client.IsUnavailable(time.Now()), qt.IsFalse)
		time.Sleep(time.Second)
		mustSwap(t, r.client, "l", 0, "two")
	})
}

// The first write of a process makes other calls before its own. A failure of these
// must not make its result unknown, and they must not be repeated more often than the
// attempts of a write.
func TestFirstSwapDuringOutage(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.store.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultHang})
		start := time.Now()
		_, err := r.client.Swap(t.Context(), "k", 0, []byte("v"), 0)
		qt.Assert(t, kindOf(err), qt.Equals, "unavailable")
		qt.Assert(t, r.client.Calls(), qt.Equals, Calls{LeaseGrant: maxAttempts})
		qt.Assert(t, time.Since(start) < maxAttempts*(callTimeout+maxBackoff), qt.IsTrue)
	})
}

func TestSwapStopsWithContext(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		mustSwap(t, r.client, "warm", 0, "up")
		r.store.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultHang})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err := r.client.Swap(ctx, "k", 0, []byte("v"), 0)
		qt.Assert(t, kindOf(err), qt.Equals, "unknown")
		qt.Assert(t, time.Since(start), qt.Equals, 300*time.Millisecond)
	})
}
