package hitchrouter

import (
	"errors"
	"strconv"
	"sync"

	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchpeer"
)

// TopicHome spreads the incarnation under which a router runs bookings.
var TopicHome = hitchpeer.Topic{Name: "Home"}

// homeTable holds the home of each router. The zero value is empty.
type homeTable struct {
	mu    sync.Mutex
	homes map[hitchfleet.InstanceID]hitchclaim.HomeID
}

func (t *homeTable) set(id hitchclaim.HomeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.homes == nil {
		t.homes = make(map[hitchfleet.InstanceID]hitchclaim.HomeID)
	}
	if id.Incarnation > t.homes[id.Instance].Incarnation {
		t.homes[id.Instance] = id
	}
}

func (t *homeTable) of(id hitchfleet.InstanceID) (hitchclaim.HomeID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	home, ok := t.homes[id]
	return home, ok
}

// ShareHome tells the others under which incarnation this process runs bookings.
func (rt *Router) ShareHome(id hitchclaim.HomeID) {
	rt.homeIDs.set(id)
	if err := rt.Peers.share(TopicHome, strconv.AppendUint(nil, id.Incarnation, 10)); err != nil {
		rt.log().Warn("home not shared", "Error", err)
	}
}

// LearnHome takes the incarnation that another router shared.
func (rt *Router) LearnHome(from hitchfleet.InstanceID, body []byte) {
	incarnation, err := strconv.ParseUint(string(body), 10, 64)
	if err != nil {
		return
	}
	rt.homeIDs.set(hitchclaim.HomeID{Instance: from, Incarnation: incarnation})
}

// keyRefusal returns the answer to a call with an unusable key.
func keyRefusal(err error) error {
	var fault *hitchclaim.KeyError
	if errors.As(err, &fault) {
		return fault.Refusal()
	}
	return err
}

// refusalOf returns an error as a refusal. One that isn't claims nothing.
func refusalOf(err error) *hitchoutcome.Refusal {
	var refusal *hitchoutcome.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &hitchoutcome.Refusal{Reason: hitchoutcome.ReasonInternal, Detail: "the router failed"}
}
