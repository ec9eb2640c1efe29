package hitchrouter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"citronhitch.example/citronhitch/hitchforward"
)

// Limits of fetching an endpoint's own reports.
const (
	reportTimeout  = 800 * time.Millisecond
	maxReportBytes = 1 << 20
)

// reportClient fetches the reports.
var reportClient = http.Client{Transport: hitchforward.NewTransport()}

// fetchJSON sends a GET request to an endpoint and decodes the JSON response.
func (rt *Router) fetchJSON(ctx context.Context, url string, into any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("fetch %s: %w", url, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := reportClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(into)
}
