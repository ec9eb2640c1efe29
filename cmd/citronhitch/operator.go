package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"citronhitch.example/citronhitch/hitchapi"
	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
)

// Limits of operators' requests.
const (
	operatorTimeout    = 15 * time.Second
	maxResponseBytes   = 16 << 20
	statusPollInterval = 200 * time.Millisecond
)

// operatorClient sends an operator's requests to one router.
type operatorClient struct {
	program *program
	router  string
	key     string
	asJSON  bool
	// authority is the PEM text of a certificate authority; "" disables TLS.
	authority string
}

func (c *operatorClient) addFlags(clause *kingpin.CmdClause) {
	clause.Flag("router", "Address of any router, as host:port.").Required().StringVar(&c.router)
	clause.Flag("operator-key", "The operator's key.").Required().StringVar(&c.key)
	clause.Flag("tls-authority", "PEM text of the authority of the routers' certificates; without it routers are contacted without TLS.").StringVar(&c.authority)
	clause.Flag("json", "Print the response as JSON.").BoolVar(&c.asJSON)
}

// call sends a request with the JSON encoding of in as its body, unless in is nil. It
// decodes the response into out and also returns the undecoded response body.
func (c *operatorClient) call(ctx context.Context, method, path string, in, out any) (raw []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.scheme()+c.router+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	client, err := c.httpClient()
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		problem := &hitchclient.Problem{Status: response.StatusCode}
		_ = json.Unmarshal(raw, problem)
		return raw, problem
	}
	return raw, json.Unmarshal(raw, out)
}

func (c *operatorClient) scheme() string {
	if c.authority == "" {
		return "http://"
	}
	return "https://"
}

// httpClient returns an HTTP client that verifies the routers' certificates.
func (c *operatorClient) httpClient() (*http.Client, error) {
	if c.authority == "" {
		return http.DefaultClient, nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(c.authority)) {
		return nil, &SettingError{"tls-authority", truncate(c.authority), "PEM text of a certificate"}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}, nil
}

// print prints the response body if --json is set, and the text otherwise.
func (c *operatorClient) print(raw []byte, text string) {
	if c.asJSON {
		c.program.printf("%s\n", bytes.TrimSpace(raw))
		return
	}
	c.program.printf("%s", text)
}

// planCommand returns the plan command, which plans a configuration change.
func (p *program) planCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("plan", "Plan a change. Nothing takes effect before it is confirmed.")
	c.addFlags(clause)
	kind := clause.Arg("change", "take-zone-out ZONE, return-zone ZONE, drain-endpoint ID, return-endpoint ID, "+
		"set-weights ROUTE VERSION=WEIGHT..., remove-route ID, remove-organisation ID, undo REVISION, "+
		"or intent JSON for every other change.").Required().String()
	args := clause.Arg("arguments", "Arguments of the change.").Strings()
	return command{clause, func(ctx context.Context) error {
		intent, err := parseIntent(*kind, *args)
		if err != nil {
			return err
		}
		var response hitchapi.PlanAnswer
		raw, err := c.call(ctx, http.MethodPost, "/v1/operator/plan", intent, &response)
		if err != nil {
			return err
		}
		c.print(raw, response.Text+"To carry it out before "+response.Deadline.Format(time.RFC3339)+":\n\n  citronhitch confirm "+response.Plan+"\n")
		return nil
	}}
}

// parseIntent parses a change from command-line arguments.
func parseIntent(kind string, args []string) (intent hitchconfig.Intent, err error) {
	if len(args) == 0 {
		return intent, &SettingError{"change", kind, "one or more arguments after it; see citronhitch plan --help"}
	}
	switch kind {
	case "take-zone-out":
		return hitchconfig.Intent{Kind: hitchconfig.TakeZoneOut, Zone: hitchfleet.AvailabilityZone(args[0])}, nil
	case "return-zone":
		return hitchconfig.Intent{Kind: hitchconfig.ReturnZone, Zone: hitchfleet.AvailabilityZone(args[0])}, nil
	case "drain-endpoint":
		return hitchconfig.Intent{Kind: hitchconfig.DrainEndpoint, Endpoint: hitchfleet.EndpointID(args[0])}, nil
	case "return-endpoint":
		return hitchconfig.Intent{Kind: hitchconfig.ReturnEndpoint, Endpoint: hitchfleet.EndpointID(args[0])}, nil
	case "remove-route":
		return hitchconfig.Intent{Kind: hitchconfig.RemoveRoute, Route: hitchfleet.RouteID(args[0])}, nil
	case "remove-organisation":
		return hitchconfig.Intent{Kind: hitchconfig.RemoveOrganisation, Organisation: hitchfleet.OrganisationID(args[0])}, nil
	case "undo":
		revision, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil {
			return intent, &SettingError{"change", args[0], "a revision number"}
		}
		return hitchconfig.Intent{Kind: hitchconfig.Undo, Revision: revision}, nil
	case "set-weights":
		return parseWeights(args)
	case "intent":
		if err := json.Unmarshal([]byte(args[0]), &intent); err != nil {
			return intent, &SettingError{"change", truncate(args[0]), "an intent in JSON: " + err.Error()}
		}
		return intent, nil
	default:
		return intent, &SettingError{"change", kind, "one of the changes listed by citronhitch plan --help"}
	}
}

// parseWeights parses a route and VERSION=WEIGHT pairs.
func parseWeights(args []string) (intent hitchconfig.Intent, err error) {
	intent = hitchconfig.Intent{Kind: hitchconfig.SetVersionWeights, Route: hitchfleet.RouteID(args[0])}
	for _, pair := range args[1:] {
		name, text, _ := strings.Cut(pair, "=")
		weight, err := strconv.Atoi(text)
		if err != nil {
			return intent, &SettingError{"change", pair, "VERSION=WEIGHT"}
		}
		intent.Versions = append(intent.Versions, hitchconfig.ModelVersion{Name: name, Weight: weight})
	}
	return intent, nil
}

// confirmCommand returns the confirm command, which confirms a plan so that it takes
// effect.
func (p *program) confirmCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("confirm", "Confirm a plan, so that it takes effect.")
	c.addFlags(clause)
	plan := clause.Arg("plan", "The plan, as citronhitch plan printed it.").Required().String()
	wait := clause.Flag("wait", "Wait until every router uses the new configuration, and show the progress.").Bool()
	waitSeconds := clause.Flag("wait-seconds", "Timeout of --wait, in seconds.").Default("60").Int()
	return command{clause, func(ctx context.Context) error {
		var response hitchapi.ConfirmAnswer
		raw, err := c.call(ctx, http.MethodPost, "/v1/operator/confirm", confirmRequest{*plan}, &response)
		if err != nil {
			return err
		}
		c.print(raw, fmt.Sprintf("Accepted as revision %d by %s at %s.\n", response.Revision, response.Operator, response.At.Format(time.RFC3339)))
		if !*wait {
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, time.Duration(*waitSeconds)*time.Second)
		defer cancel()
		return c.awaitRollout(ctx, response.Revision)
	}}
}

// confirmRequest is the request body of confirm.
type confirmRequest struct{ Plan string }

// RolloutError reports that --wait ended before every router either used the
// revision or refused new requests. The change itself was accepted.
type RolloutError struct {
	Revision uint64
	Err      error
}

// Error returns the revision, the cause and the command that shows the state.
func (e *RolloutError) Error() string {
	return fmt.Sprintf("revision %d is accepted, but may not be in use by every router yet (%v); see citronhitch status", e.Revision, e.Err)
}

// Unwrap returns the error that ended the wait.
func (e *RolloutError) Unwrap() error { return e.Err }

// awaitRollout polls the fleet's status, and prints the progress, until no router
// serves new requests with a revision older than the given one.
func (c *operatorClient) awaitRollout(ctx context.Context, revision uint64) (err error) {
	defer func() {
		if err != nil {
			err = &RolloutError{Revision: revision, Err: err}
		}
	}()
	for lastInForce := -1; ; {
		var status hitchapi.FleetStatus
		if _, err := c.call(ctx, http.MethodGet, "/v1/operator/status", nil, &status); err != nil {
			return err
		}
		if status.InForce != lastInForce && !c.asJSON {
			c.program.printf("In force on %d of %d routers, %d refuse new work.\n", status.InForce, status.Routers, status.Refusing)
		}
		lastInForce = status.InForce
		if status.Revision >= revision && status.InForce+status.Refusing == status.Routers {
			return nil
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// statusCommand returns the status command, which shows the state of the fleet.
func (p *program) statusCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("status", "Show the state of the fleet: routers, endpoints, and the current revision.")
	c.addFlags(clause)
	return command{clause, func(ctx context.Context) error {
		var status hitchapi.FleetStatus
		raw, err := c.call(ctx, http.MethodGet, "/v1/operator/status", nil, &status)
		if err != nil {
			return err
		}
		c.print(raw, statusText(status))
		return nil
	}}
}

func statusText(s hitchapi.FleetStatus) string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "Revision %d is in force on %d of %d routers. StoreOut=%t ZonesOut=%v\n", s.Revision, s.InForce, s.Routers, s.StoreOut, s.ZonesOut)
	if s.Forked {
		_, _ = fmt.Fprintf(&text, "Forked=true: the store has lost writes; repair it before the next change.\n")
	}
	for _, i := range s.Instances {
		_, _ = fmt.Fprintf(&text, "Instance=%s Zone=%s Address=%s Leaving=%t Behind=%t\n", i.ID, i.Zone, i.Address, i.Leaving, i.Behind)
	}
	for _, e := range s.Endpoints {
		_, _ = fmt.Fprintf(&text, "Endpoint=%s Route=%s Zone=%s Owner=%s InService=%t Cold=%t Load=%d", e.ID, e.Route, e.Zone, e.Owner, e.InService, e.Cold, e.Load)
		if e.Version != "" {
			_, _ = fmt.Fprintf(&text, " Version=%s", e.Version)
		}
		_ = text.WriteByte('\n')
	}
	return text.String()
}

// historyCommand returns the history command, which shows accepted changes.
func (p *program) historyCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("history", "Show the accepted changes, newest first.")
	c.addFlags(clause)
	count := clause.Flag("count", "Number of changes.").Default("20").Int()
	return command{clause, func(ctx context.Context) error {
		var response hitchapi.HistoryAnswer
		raw, err := c.call(ctx, http.MethodGet, "/v1/operator/history?count="+strconv.Itoa(*count), nil, &response)
		if err != nil {
			return err
		}
		var text strings.Builder
		for _, a := range response.Accepts {
			_, _ = fmt.Fprintf(&text, "Revision=%d At=%s Operator=%s Change=%q\n", a.Revision, a.At.Format(time.RFC3339), a.Operator, a.Change)
		}
		c.print(raw, text.String())
		return nil
	}}
}

// doubtsCommand returns the doubts command, which shows the bookings whose outcome is
// unknown.
func (p *program) doubtsCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("doubts", "Show the bookings whose outcome is unknown.")
	c.addFlags(clause)
	return command{clause, func(ctx context.Context) error {
		var response hitchapi.DoubtsAnswer
		raw, err := c.call(ctx, http.MethodGet, "/v1/operator/doubts", nil, &response)
		if err != nil {
			return err
		}
		var text strings.Builder
		_, _ = fmt.Fprintf(&text, "Doubts=%d\n", len(response.Doubts))
		for _, d := range response.Doubts {
			_, _ = fmt.Fprintf(&text, "Key=%s Home=%s Organisation=%s Route=%s Deadline=%s\n", d.Key, d.Home, d.Organisation, d.Route, d.Deadline.Format(time.RFC3339))
		}
		c.print(raw, text.String())
		return nil
	}}
}
