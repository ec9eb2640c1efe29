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

// Limits of operators' questions.
const (
	operatorLimit = 15 * time.Second
	maxAnswer     = 16 << 20
	waitStep      = 200 * time.Millisecond
)

// operatorClient asks one router for an operator.
type operatorClient struct {
	program *program
	router  string
	key     string
	asJSON  bool
	// authority is PEM text; empty means that routers are asked in the clear.
	authority string
}

func (c *operatorClient) flags(clause *kingpin.CmdClause) {
	clause.Flag("router", "Address of any router, as host:port.").Required().StringVar(&c.router)
	clause.Flag("operator-key", "The operator's key.").Required().StringVar(&c.key)
	clause.Flag("tls-authority", "PEM text of the authority of the routers' certificates; without it routers are asked in the clear.").StringVar(&c.authority)
	clause.Flag("json", "Print the answer as JSON.").BoolVar(&c.asJSON)
}

// ask sends a request and reads the answer into out, whose bytes it returns.
func (c *operatorClient) ask(ctx context.Context, method, path string, in, out any) (raw []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, operatorLimit)
	defer cancel()
	var sent io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		sent = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.scheme()+c.router+path, sent)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	client, err := c.client()
	if err != nil {
		return nil, err
	}
	answer, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	raw, err = io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		problem := &hitchclient.Problem{Status: answer.StatusCode}
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

// client returns the HTTP client that checks the routers' certificates.
func (c *operatorClient) client() (*http.Client, error) {
	if c.authority == "" {
		return http.DefaultClient, nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(c.authority)) {
		return nil, &SettingError{"tls-authority", shorten(c.authority), "PEM text of a certificate"}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}, nil
}

// show prints the raw answer, or the text for people.
func (c *operatorClient) show(raw []byte, text string) {
	if c.asJSON {
		c.program.printf("%s\n", bytes.TrimSpace(raw))
		return
	}
	c.program.printf("%s", text)
}

// planCommand plans a change.
func (p *program) planCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("plan", "Plan a change. Nothing takes effect before it is confirmed.")
	c.flags(clause)
	kind := clause.Arg("change", "take-zone-out ZONE, return-zone ZONE, drain-endpoint ID, return-endpoint ID, "+
		"set-weights ROUTE VERSION=WEIGHT..., remove-route ID, remove-organisation ID, undo REVISION, "+
		"or intent JSON for every other change.").Required().String()
	args := clause.Arg("arguments", "What the change is about.").Strings()
	return command{clause, func(ctx context.Context) error {
		intent, err := intentOf(*kind, *args)
		if err != nil {
			return err
		}
		var answer hitchapi.PlanAnswer
		raw, err := c.ask(ctx, http.MethodPost, "/v1/operator/plan", intent, &answer)
		if err != nil {
			return err
		}
		c.show(raw, answer.Text+"To carry it out before "+answer.Deadline.Format(time.RFC3339)+":\n\n  citronhitch confirm "+answer.Plan+"\n")
		return nil
	}}
}

// intentOf reads a change from the command line.
func intentOf(kind string, args []string) (intent hitchconfig.Intent, err error) {
	if len(args) == 0 {
		return intent, &SettingError{"change", kind, "what the change is about; see citronhitch plan --help"}
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
			return intent, &SettingError{"change", args[0], "the number of a revision"}
		}
		return hitchconfig.Intent{Kind: hitchconfig.Undo, Revision: revision}, nil
	case "set-weights":
		return weightsOf(args)
	case "intent":
		if err := json.Unmarshal([]byte(args[0]), &intent); err != nil {
			return intent, &SettingError{"change", shorten(args[0]), "an intent in JSON: " + err.Error()}
		}
		return intent, nil
	default:
		return intent, &SettingError{"change", kind, "one of those that citronhitch plan --help names"}
	}
}

// weightsOf reads VERSION=WEIGHT pairs.
func weightsOf(args []string) (intent hitchconfig.Intent, err error) {
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

// confirmCommand carries out a plan.
func (p *program) confirmCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("confirm", "Carry out a plan.")
	c.flags(clause)
	plan := clause.Arg("plan", "The plan, as citronhitch plan printed it.").Required().String()
	wait := clause.Flag("wait", "Wait until every router has the change in force, and show the progress.").Bool()
	waitSeconds := clause.Flag("wait-seconds", "How long --wait waits at most, in seconds.").Default("60").Int()
	return command{clause, func(ctx context.Context) error {
		var answer hitchapi.ConfirmAnswer
		raw, err := c.ask(ctx, http.MethodPost, "/v1/operator/confirm", planName{*plan}, &answer)
		if err != nil {
			return err
		}
		c.show(raw, fmt.Sprintf("Accepted as revision %d by %s at %s.\n", answer.Revision, answer.Operator, answer.At.Format(time.RFC3339)))
		if !*wait {
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, time.Duration(*waitSeconds)*time.Second)
		defer cancel()
		return c.awaitForce(ctx, answer.Revision)
	}}
}

// planName names a plan to confirm.
type planName struct{ Plan string }

// SpreadError says that --wait ended before every router had the revision in
// force or refused new work. The change itself is accepted.
type SpreadError struct {
	Revision uint64
	Err      error
}

// Error names the revision and says what to do.
func (e *SpreadError) Error() string {
	return fmt.Sprintf("revision %d is accepted, but not known to be in force everywhere (%v); see citronhitch status", e.Revision, e.Err)
}

// Unwrap returns what ended the wait.
func (e *SpreadError) Unwrap() error { return e.Err }

// awaitForce shows how a revision spreads until no router acts on an older one.
func (c *operatorClient) awaitForce(ctx context.Context, revision uint64) (err error) {
	defer func() {
		if err != nil {
			err = &SpreadError{Revision: revision, Err: err}
		}
	}()
	for shown := -1; ; {
		var status hitchapi.FleetStatus
		if _, err := c.ask(ctx, http.MethodGet, "/v1/operator/status", nil, &status); err != nil {
			return err
		}
		if status.InForce != shown && !c.asJSON {
			c.program.printf("In force on %d of %d routers, %d refuse new work.\n", status.InForce, status.Routers, status.Refusing)
		}
		shown = status.InForce
		if status.Revision >= revision && status.InForce+status.Refusing == status.Routers {
			return nil
		}
		select {
		case <-time.After(waitStep):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// statusCommand shows the fleet.
func (p *program) statusCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("status", "Show the fleet: routers, endpoints, and which revision is in force.")
	c.flags(clause)
	return command{clause, func(ctx context.Context) error {
		var status hitchapi.FleetStatus
		raw, err := c.ask(ctx, http.MethodGet, "/v1/operator/status", nil, &status)
		if err != nil {
			return err
		}
		c.show(raw, statusText(status))
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

// historyCommand shows accepted changes.
func (p *program) historyCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("history", "Show the accepted changes, newest first.")
	c.flags(clause)
	count := clause.Flag("count", "How many changes.").Default("20").Int()
	return command{clause, func(ctx context.Context) error {
		var answer hitchapi.HistoryAnswer
		raw, err := c.ask(ctx, http.MethodGet, "/v1/operator/history?count="+strconv.Itoa(*count), nil, &answer)
		if err != nil {
			return err
		}
		var text strings.Builder
		for _, a := range answer.Accepts {
			_, _ = fmt.Fprintf(&text, "Revision=%d At=%s Operator=%s Change=%q\n", a.Revision, a.At.Format(time.RFC3339), a.Operator, a.Change)
		}
		c.show(raw, text.String())
		return nil
	}}
}

// doubtsCommand shows the bookings whose outcome isn't known.
func (p *program) doubtsCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("doubts", "Show the bookings whose outcome isn't known.")
	c.flags(clause)
	return command{clause, func(ctx context.Context) error {
		var answer hitchapi.DoubtsAnswer
		raw, err := c.ask(ctx, http.MethodGet, "/v1/operator/doubts", nil, &answer)
		if err != nil {
			return err
		}
		var text strings.Builder
		_, _ = fmt.Fprintf(&text, "Doubts=%d\n", len(answer.Doubts))
		for _, d := range answer.Doubts {
			_, _ = fmt.Fprintf(&text, "Key=%s Home=%s Organisation=%s Route=%s Deadline=%s\n", d.Key, d.Home, d.Organisation, d.Route, d.Deadline.Format(time.RFC3339))
		}
		c.show(raw, text.String())
		return nil
	}}
}
