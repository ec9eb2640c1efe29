package hitchnode

import (
	"context"
	"encoding/json"
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
	listEvery    = time.Second
	listLimit    = 2 * time.Second
	maxListBytes = 8 << 20
)

// instanceList follows the platform's instance list, which lags and has errors.
// It keeps the last list that it got.
type instanceList struct {
	url     string
	client  http.Client
	current atomic.Pointer[hitchfleet.InstanceList]
}

// fetch gets the list once.
func (l *instanceList) fetch(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("instance list: %w", err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(l.url, "/")+"/instances", nil)
	if err != nil {
		return err
	}
	answer, err := l.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	var list hitchfleet.InstanceList
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxListBytes)).Decode(&list); err != nil {
		return err
	}
	l.take(list)
	return nil
}

// take keeps a list, each name once and in order, unless it is older than the
// one that is kept.
func (l *instanceList) take(list hitchfleet.InstanceList) {
	if was := l.current.Load(); was != nil && list.AsOf.Before(was.AsOf) {
		return
	}
	list.Endpoints = lo.UniqBy(list.Endpoints, func(e hitchfleet.Endpoint) hitchfleet.EndpointID { return e.ID })
	list.Instances = lo.UniqBy(list.Instances, func(i hitchfleet.Instance) hitchfleet.InstanceID { return i.ID })
	slices.SortFunc(list.Endpoints, func(a, b hitchfleet.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	l.current.Store(&list)
}

// instances returns the routers on the list.
func (l *instanceList) instances() []hitchfleet.Instance {
	if list := l.current.Load(); list != nil {
		return list.Instances
	}
	return nil
}

// endpoints returns the endpoints on the list.
func (l *instanceList) endpoints() []hitchfleet.Endpoint {
	if list := l.current.Load(); list != nil {
		return list.Endpoints
	}
	return nil
}
