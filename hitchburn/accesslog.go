package hitchburn

import (
	"strconv"

	"github.com/hashicorp/go-hclog"
)

// LogTo writes the event as one line of key=value pairs. The chat is identified by
// its hash; neither its content nor the caller's keys are logged.
//
//	event.LogTo(logger.Named("access"))
func (e Event) LogTo(log hclog.Logger) {
	reason := string(e.Reason)
	if e.CallerDisconnected {
		reason = "CallerGone"
	}
	args := []any{
		"Request", e.Request, "Attempt", e.Attempt, "Kind", e.Kind.String(),
		"Organisation", string(e.Organisation), "Route", string(e.Route), "Zone", string(e.Zone), "Endpoint", string(e.Endpoint),
		"Outcome", e.Outcome.String(), "Reason", reason, "Status", e.Status,
		"Milliseconds", e.End.Sub(e.Start).Milliseconds(),
	}
	if e.Kind == KindStream || e.Kind == KindNonStreaming {
		args = append(args, "Chat", strconv.FormatUint(uint64(e.Chat), hexBase))
	}
	if after, ok := e.TimeToFirstToken(); ok {
		args = append(args, "FirstTokenMilliseconds", after.Milliseconds(), "Tokens", e.Tokens)
	}
	if gap, ok := e.MeanTokenGap(); ok {
		args = append(args, "TokenGapMicroseconds", gap.Microseconds())
	}
	log.Info("request", args...)
}

// hexBase is the base in which hashes are formatted.
const hexBase = 16
