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

// reportAsks is the number of routers that are asked at the same time.
const reportAsks = 16

// reportCommand shows how fast the service levels burn their error budgets.
func (p *program) reportCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("report", "Show what burned of the service levels, how fast and since when, over all routers.")
	c.flags(clause)
	asHTML := clause.Flag("html", "Print a page with plots that needs no other file.").Bool()
	return command{clause, func(ctx context.Context) error {
		if c.asJSON && *asHTML {
			return &SettingError{"html", "true", "only one of --json and --html"}
		}
		report := hitchburn.NewReport(time.Now(), c.collect(ctx), hitchburn.Objectives{})
		if err := c.printReport(report, *asHTML); err != nil {
			return err
		}
		if len(report.Routers) == 0 {
			return errNoRouter
		}
		return nil
	}}
}

// errNoRouter says that the report covers nothing.
var errNoRouter = errors.New("no router answered")

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

// collect asks every router that the given one knows, and merges what they say.
func (c *operatorClient) collect(ctx context.Context) hitchburn.Summary {
	var (
		mu    sync.Mutex
		sum   hitchburn.Summary
		group errgroup.Group
	)
	group.SetLimit(reportAsks)
	for _, instance := range c.routers(ctx) {
		group.Go(func() error {
			summary := c.summaryOf(ctx, instance)
			mu.Lock()
			defer mu.Unlock()
			sum = hitchburn.Merge(sum, summary)
			return nil
		})
	}
	_ = group.Wait()
	return sum
}

// routers returns the routers of the fleet, or the given one alone if it doesn't
// tell.
func (c *operatorClient) routers(ctx context.Context) []hitchapi.InstanceStatus {
	var status hitchapi.FleetStatus
	if _, err := c.ask(ctx, http.MethodGet, "/v1/operator/status", nil, &status); err != nil {
		return []hitchapi.InstanceStatus{{ID: "(given)", Address: c.router}}
	}
	return status.Instances
}

// summaryOf asks one router. Its failure is part of the summary.
func (c *operatorClient) summaryOf(ctx context.Context, instance hitchapi.InstanceStatus) (s hitchburn.Summary) {
	one := *c
	one.router = instance.Address
	if _, err := one.ask(ctx, http.MethodGet, "/v1/operator/report", nil, &s); err != nil {
		return hitchburn.Summary{}.WithMissing(missing(instance, err))
	}
	return s
}

func missing(instance hitchapi.InstanceStatus, err error) hitchburn.MissingRouter {
	return hitchburn.MissingRouter{
		Instance: instance.ID, Address: instance.Address,
		Error: strings.ReplaceAll(err.Error(), "\n", " "),
	}
}
