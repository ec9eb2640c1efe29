package hitchnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Limits of the platform's instance list.
const (
	listInterval = time.Second
	listTimeout  = 2 * time.Second
	maxListBytes = 8 << 20
)

// instanceList keeps the last instance list that the platform returned. The
// platform's list lags, and may contain errors.
type instanceList struct {
	url     string
	client  http.Client
	current atomic.Pointer[hitchfleet.InstanceList]
}

// fetch requests the list from the platform and stores it.
func (l *instanceList) fetch(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("instance list: %w", err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(l.url, "/")+"/instances", nil)
	if err != nil {
		return err
	}
	response, err := l.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	var answer listAnswer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&answer); err != nil {
		return err
	}
	if !answer.Endpoints.isPresent || !answer.Instances.isPresent {
		return errIncompleteList
	}
	l.replace(hitchfleet.InstanceList{Endpoints: answer.Endpoints.entries, Instances: answer.Instances.entries, AsOf: answer.AsOf})
	return nil
}

// listAnswer is the platform's answer.
type listAnswer struct {
	Endpoints optionalList[hitchfleet.Endpoint]
	Instances optionalList[hitchfleet.Instance]
	AsOf      time.Time
}

// optionalList is a list that an answer may lack. One that is there and empty, or null, says that nothing is left.
type optionalList[T any] struct {
	entries   []T
	isPresent bool
}

// UnmarshalJSON decodes the list. It is called only if the answer has one.
func (l *optionalList[T]) UnmarshalJSON(b []byte) error {
	l.isPresent = true
	return json.Unmarshal(b, &l.entries)
}

var errIncompleteList = errors.New("field Endpoints or Instances is missing")

// replace stores a list without duplicate IDs, its endpoints sorted by ID, unless it
// is older than the stored one.
func (l *instanceList) replace(list hitchfleet.InstanceList) {
	if was := l.current.Load(); was != nil && list.AsOf.Before(was.AsOf) {
		return
	}
	list.Endpoints = lo.UniqBy(list.Endpoints, func(e hitchfleet.Endpoint) hitchfleet.EndpointID { return e.ID })
	list.Instances = lo.UniqBy(list.Instances, func(i hitchfleet.Instance) hitchfleet.InstanceID { return i.ID })
	slices.SortFunc(list.Endpoints, func(a, b hitchfleet.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	l.current.Store(&list)
}

// instances returns the listed routers.
func (l *instanceList) instances() []hitchfleet.Instance {
	if list := l.current.Load(); list != nil {
		return list.Instances
	}
	return nil
}

// endpoints returns the listed endpoints.
func (l *instanceList) endpoints() []hitchfleet.Endpoint {
	if list := l.current.Load(); list != nil {
		return list.Endpoints
	}
	return nil
}
