package main

import (
	"context"
	"fmt"
	"net/http"

	"citronhitch.example/citronhitch/hitchapi"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// resolveRequest is the request body of resolve: the outcome of a booking whose
// outcome was unknown, as the operator found it.
type resolveRequest struct {
	Key     string
	Outcome hitchoutcome.Outcome
	Status  int
}

// resolveCommand returns the resolve command, which records the outcome of a booking
// whose outcome was unknown.
func (p *program) resolveCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("resolve", "Record the outcome of a booking whose outcome is unknown.")
	c.addFlags(clause)
	key := clause.Arg("key", "The booking's key, as citronhitch doubts shows it.").Required().String()
	outcome := clause.Arg("outcome", "ran or not-run.").Required().Enum("ran", "not-run")
	status := clause.Flag("status", "The HTTP status of the service's response, if the booking ran.").Default("200").Int()
	return command{clause, func(ctx context.Context) error {
		resolution := resolveRequest{Key: *key, Outcome: hitchoutcome.NotRun}
		if *outcome == "ran" {
			resolution.Outcome, resolution.Status = hitchoutcome.Ran, *status
		}
		var response hitchapi.DoubtsAnswer
		raw, err := c.call(ctx, http.MethodPost, "/v1/operator/resolve", resolution, &response)
		if err != nil {
			return err
		}
		c.print(raw, fmt.Sprintf("Key=%s Outcome=%s DoubtsLeft=%d\n", resolution.Key, resolution.Outcome, len(response.Doubts)))
		return nil
	}}
}
