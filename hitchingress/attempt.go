package hitchingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchretry"
	"citronhitch.example/citronhitch/hitchroute"
)

// Errors of an answer that can't be used.
var (
	errCrossed  = errors.New("the answer belongs to another request")
	errUnsealed = errors.New("a success without the endpoint's digest")
	errEncoded  = errors.New("the body isn't the endpoint's own")
)

// attemptEnd is what became of one attempt.
type attemptEnd struct {
	// isFinal tells that the caller has its final answer.
	isFinal bool
	outcome hitchretry.Outcome
	result  hitchbalance.Result
	// answer is the endpoint's own word, if it gave one.
	answer *answer
	err    error
}

// attempt sends the request to an endpoint.
func (g *Gateway) attempt(ctx context.Context, j *job, pick hitchbalance.Pick) (end attemptEnd) {
	defer func() {
		g.Balancer.Settle(time.Now(), pick, end.result)
		g.logBeliefs()
	}()
	j.entry.pick(pick)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := time.Now()
	if usual, ok := j.learnt.patience.Expected(pick.Unread); ok {
		g.Balancer.Expect(pick, sent.Add(usual))
	}
	x, err := g.Conns.Open(ctx, pick.Endpoint.Addr, g.message(j, pick), j.headUntil(sent), &j.evidence)
	if err != nil {
		if isSilent(err) {
			j.waited(sent)
		}
		return g.failed(j, pick, err)
	}
	defer x.Close()
	g.Balancer.Answered(time.Now(), pick)
	head := g.Protocol.Answer(x.Head.StatusCode, x.Head.Header)
	if head.HasLoad {
		g.Balancer.Observe(time.Now(), pick.Endpoint.ID, head.Load)
	}
	if err := checkHead(j.ID, x.Head.StatusCode, head); err != nil {
		return attemptEnd{outcome: hitchretry.Lost, result: hitchbalance.ResultFailed, err: err}
	}
	if head.DidNotRun {
		return g.refusedBy(ctx, j, x)
	}
	if j.route.Kind == hitchroute.Streaming && x.Head.StatusCode == http.StatusOK {
		return g.pump(ctx, j, x, pick, sent)
	}
	return g.whole(ctx, j, x, pick, sent)
}

// message builds the request as it goes to an endpoint.
func (g *Gateway) message(j *job, pick hitchbalance.Pick) hitchforward.Message {
	h := j.Header.Clone()
	g.Protocol.Encode(h, Dispatch{
		Endpoint:     pick.Endpoint.ID,
		Organisation: j.organisation,
		Remaining:    j.remaining(time.Now()),
		LastEvent:    j.stream.last,
		FetchFrom:    pick.Source.Addr,
	})
	return hitchforward.Message{Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: h, Body: j.body}
}

// checkHead makes sure that an answer belongs to the request and is the
// endpoint's own.
func checkHead(id string, status int, head AnswerHead) error {
	// A refusal may come without an ID. One with another ID is a late answer to an
	// earlier request on the connection and says nothing of this one.
	isAnonymousRefusal := head.DidNotRun && head.RequestID == ""
	switch {
	case head.RequestID != id && !isAnonymousRefusal:
		return fmt.Errorf("%w: %q", errCrossed, head.RequestID)
	case head.IsEncoded:
		return errEncoded
	case status < http.StatusBadRequest && !head.IsSealed && !head.DidNotRun:
		return errUnsealed
	default:
		return nil
	}
}

// headUntil returns when the first byte of an answer must have come. A request
// that may go elsewhere doesn't wait for a stuck endpoint until its objective is
// missed.
func (j *job) headUntil(now time.Time) time.Time {
	objective := time.Duration(j.route.ObjectiveMilliseconds) * time.Millisecond
	if objective <= 0 || !j.retry.MayRunAgain() || !j.learnt.budget.AllowsRetry(now) {
		return j.until
	}
	limit, ok := j.learnt.patience.Limit(objective, j.entry.last.Unread)
	if until := now.Add(limit); ok && until.Before(j.until) {
		return until
	}
	return j.until
}

// waited notes how long the request waited for the first byte.
func (j *job) waited(sent time.Time) {
	j.learnt.patience.Observe(time.Since(sent), j.entry.last.Unread)
}

// isSilent tells whether an endpoint was given up because it didn't answer.
func isSilent(err error) bool {
	var f *hitchforward.Failure
	return errors.As(err, &f) && f.Kind == hitchforward.FailureSilent
}

// failed describes an attempt without an answer.
func (g *Gateway) failed(j *job, pick hitchbalance.Pick, err error) attemptEnd {
	end := attemptEnd{outcome: hitchretry.Lost, result: hitchbalance.ResultLost, err: err}
	var f *hitchforward.Failure
	if !errors.As(err, &f) {
		return end
	}
	f.Attempt, f.Endpoint = j.ID, pick.Endpoint.ID
	if f.IsSilence() {
		end.result = hitchbalance.ResultSilent
		j.lostZones = append(j.lostZones, pick.Endpoint.Zone)
	}
	switch f.Kind {
	case hitchforward.FailureUnsent:
		end.outcome = hitchretry.Unsent
		if errors.Is(err, context.Canceled) {
			end.result = hitchbalance.ResultAbandoned
		}
	case hitchforward.FailureCallerGone, hitchforward.FailureTimeout:
		end.result = hitchbalance.ResultAbandoned
	case hitchforward.FailureSilent:
		g.Conns.Forget(pick.Endpoint.Addr)
	}
	if !time.Now().Before(j.until) {
		end.result = hitchbalance.ResultAbandoned
	}
	return end
}

// refusedBy takes in that the endpoint promises not to have run the request.
func (g *Gateway) refusedBy(ctx context.Context, j *job, x *hitchforward.Exchange) attemptEnd {
	end := attemptEnd{outcome: hitchretry.Refused, result: hitchbalance.ResultRefused}
	if x.Head.StatusCode == http.StatusMisdirectedRequest {
		// Another endpoint has the address now.
		end.result = hitchbalance.ResultLost
	}
	j.evidence.Unsent()
	if _, err := x.ReadAll(maxAnswerBytes); err != nil {
		end.err = x.Failure(ctx, err)
	}
	return end
}

// whole reads an answer that isn't streamed and delivers it, unless another
// attempt may bring a better one.
func (g *Gateway) whole(ctx context.Context, j *job, x *hitchforward.Exchange, pick hitchbalance.Pick, sent time.Time) attemptEnd {
	j.waited(sent)
	x.Extend(j.until)
	body, err := x.ReadAll(maxAnswerBytes)
	if err != nil {
		return g.failed(j, pick, x.Failure(ctx, err))
	}
	a := &answer{status: x.Head.StatusCode, header: x.Head.Header, body: body}
	if a.status >= http.StatusInternalServerError {
		return attemptEnd{outcome: hitchretry.Failed, result: hitchbalance.ResultFailed, answer: a}
	}
	j.evidence.Answered()
	g.Balancer.Read(time.Now(), pick)
	g.deliver(j, a)
	return attemptEnd{isFinal: true, result: hitchbalance.ResultOK}
}
