package main

import (
	"context"
	"fmt"
	"net/http"

	"citronhitch.example/citronhitch/hitchapi"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// truthOf is what an operator knows of a booking in doubt.
type truthOf struct {
	Key     string
	Outcome hitchoutcome.Outcome
	Status  int
}

// resolveCommand ends a doubt with what an operator knows.
func (p *program) resolveCommand() command {
	c := &operatorClient{program: p}
	clause := p.app.Command("resolve", "Say what became of a booking in doubt.")
	c.flags(clause)
	key := clause.Arg("key", "The booking's key, as citronhitch doubts shows it.").Required().String()
	word := clause.Arg("outcome", "ran or not-run.").Required().Enum("ran", "not-run")
	status := clause.Flag("status", "The HTTP status of the service's answer, if the booking ran.").Default("200").Int()
	return command{clause, func(ctx context.Context) error {
		truth := truthOf{Key: *key, Outcome: hitchoutcome.NotRun}
		if *word == "ran" {
			truth.Outcome, truth.Status = hitchoutcome.Ran, *status
		}
		var answer hitchapi.DoubtsAnswer
		raw, err := c.ask(ctx, http.MethodPost, "/v1/operator/resolve", truth, &answer)
		if err != nil {
			return err
		}
		c.show(raw, fmt.Sprintf("Key=%s Outcome=%s DoubtsLeft=%d\n", truth.Key, truth.Outcome, len(answer.Doubts)))
		return nil
	}}
}
