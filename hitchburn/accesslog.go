package hitchburn

import (
	"strconv"

	"github.com/hashicorp/go-hclog"
)

// LogTo writes the event as one line of key=value pairs. It names the chat by its
// hash, and tells nothing of what was said or of the caller's keys.
//
//	event.LogTo(logger.Named("access"))
func (e Event) LogTo(log hclog.Logger) {
	reason := string(e.Reason)
	if e.CallerGone {
		reason = "CallerGone"
	}
	args := []any{
		"Request", e.Request, "Attempt", e.Attempt, "Kind", e.Kind.String(),
		"Organisation", string(e.Organisation), "Route", string(e.Route), "Zone", string(e.Zone), "Endpoint", string(e.Endpoint),
		"Outcome", e.Outcome.String(), "Reason", reason, "Status", e.Status,
		"Milliseconds", e.End.Sub(e.Start).Milliseconds(),
	}
	if e.Kind == KindStream || e.Kind == KindWhole {
		args = append(args, "Chat", strconv.FormatUint(uint64(e.Chat), hexadecimal))
	}
	if after, ok := e.FirstTokenAfter(); ok {
		args = append(args, "FirstTokenMilliseconds", after.Milliseconds(), "Tokens", e.Tokens)
	}
	if gap, ok := e.MeanGap(); ok {
		args = append(args, "TokenGapMicroseconds", gap.Microseconds())
	}
	log.Info("request", args...)
}

// hexadecimal is the base that hashes are written in.
const hexadecimal = 16
