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

// TopicHome is the topic on which a router shares the incarnation of its home.
var TopicHome = hitchpeer.Topic{Name: "Home"}

// homeTable holds the newest known home of each router. The zero value is empty.
type homeTable struct {
	mu    sync.Mutex
	homes map[hitchfleet.InstanceID]hitchclaim.HomeID
}

// set stores a router's home, unless the table has one of a later incarnation.
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

func (t *homeTable) get(id hitchfleet.InstanceID) (hitchclaim.HomeID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	home, ok := t.homes[id]
	return home, ok
}

// ShareHome shares the incarnation of this process's home with the other routers.
func (rt *Router) ShareHome(id hitchclaim.HomeID) {
	rt.homeIDs.set(id)
	if err := rt.Peers.share(TopicHome, strconv.AppendUint(nil, id.Incarnation, 10)); err != nil {
		rt.log().Warn("home incarnation could not be shared", "Error", err)
	}
}

// ApplyHome stores the home incarnation that another router shared.
func (rt *Router) ApplyHome(from hitchfleet.InstanceID, body []byte) {
	incarnation, err := strconv.ParseUint(string(body), 10, 64)
	if err != nil {
		return
	}
	rt.homeIDs.set(hitchclaim.HomeID{Instance: from, Incarnation: incarnation})
}

// keyRefusal returns the refusal of an unusable key, or err itself if it is another
// error.
func keyRefusal(err error) error {
	var keyErr *hitchclaim.KeyError
	if errors.As(err, &keyErr) {
		return keyErr.Refusal()
	}
	return err
}

// refusalOf returns the refusal that err wraps. Any other error becomes an internal
// refusal that makes no claim about whether the call ran.
func refusalOf(err error) *hitchoutcome.Refusal {
	var refusal *hitchoutcome.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &hitchoutcome.Refusal{Reason: hitchoutcome.ReasonInternal, Detail: "the router failed"}
}
