package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"citronhitch.example/citronhitch/hitchapi"
	"citronhitch.example/citronhitch/hitchburn"
)

// maxConcurrentReports is the maximum number of routers queried at the same time.
const maxConcurrentReports = 16

// reportCommand returns the report command, which shows how fast the error budgets of
// the service levels burn.
func (p *program) reportCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("report", "Show which error budgets of the service levels burned, how fast and since when, over all routers.")
	c.addFlags(clause)
	asHTML := clause.Flag("html", "Print a self-contained HTML page with plots.").Bool()
	return command{clause, func(ctx context.Context) error {
		if c.asJSON && *asHTML {
			return &SettingError{"html", "true", "only one of --json and --html"}
		}
		report := hitchburn.NewReport(time.Now(), c.collectSummaries(ctx), hitchburn.Objectives{})
		if err := c.printReport(report, *asHTML); err != nil {
			return err
		}
		if len(report.Routers) == 0 {
			return errNoReport
		}
		return nil
	}}
}

// errNoReport reports that the report covers no router.
var errNoReport = errors.New("no router responded")

func (c *operatorClient) printReport(report hitchburn.Report, asHTML bool) error {
	switch {
	case asHTML:
		return report.WriteHTML(c.program.stdout)
	case c.asJSON:
		encoder := json.NewEncoder(c.program.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	default:
		c.program.printf("%s", report.Text())
		return nil
	}
}

// collectSummaries queries every router of the fleet, and merges their summaries.
func (c *operatorClient) collectSummaries(ctx context.Context) hitchburn.Summary {
	var (
		mu     sync.Mutex
		merged hitchburn.Summary
		group  errgroup.Group
	)
	group.SetLimit(maxConcurrentReports)
	for _, instance := range c.listRouters(ctx) {
		group.Go(func() error {
			summary := c.fetchSummary(ctx, instance)
			mu.Lock()
			defer mu.Unlock()
			merged = hitchburn.Merge(merged, summary)
			return nil
		})
	}
	_ = group.Wait()
	return merged
}

// listRouters returns the routers of the fleet, or only the given router if its
// status can't be read.
func (c *operatorClient) listRouters(ctx context.Context) []hitchapi.InstanceStatus {
	var status hitchapi.FleetStatus
	if _, err := c.call(ctx, http.MethodGet, "/v1/operator/status", nil, &status); err != nil {
		return []hitchapi.InstanceStatus{{ID: "(given)", Address: c.router}}
	}
	return status.Instances
}

// fetchSummary queries one router. If that fails, the summary lists the router as
// missing.
func (c *operatorClient) fetchSummary(ctx context.Context, instance hitchapi.InstanceStatus) (summary hitchburn.Summary) {
	client := *c
	client.router = instance.Address
	if _, err := client.call(ctx, http.MethodGet, "/v1/operator/report", nil, &summary); err != nil {
		return hitchburn.Summary{}.WithMissing(missingRouter(instance, err))
	}
	return summary
}

func missingRouter(instance hitchapi.InstanceStatus, err error) hitchburn.MissingRouter {
	return hitchburn.MissingRouter{
		Instance: instance.ID, Address: instance.Address,
		Error: strings.ReplaceAll(err.Error(), "\n", " "),
	}
}
