package hitchrouter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Limits of a question to an endpoint about itself.
const (
	reportLimit    = 800 * time.Millisecond
	maxReportBytes = 1 << 20
)

// fetchJSON asks an endpoint about itself and decodes its answer.
func (rt *Router) fetchJSON(ctx context.Context, url string, into any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("fetch %s: %w", url, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := rt.reports.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(answer.Body, maxReportBytes)).Decode(into)
}
