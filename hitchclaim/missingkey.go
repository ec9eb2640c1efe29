package hitchclaim

import (
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// RefuseMissingKey returns the refusal of a non-idempotent call without a key, on a
// route whose policy is MissingKeyRefuse. The response should contain a minted key
// for the caller to use. Without a key, a retry can't be told from a second booking.
//
//	refusal := hitchclaim.RefuseMissingKey(now)
//	text, _, err := minter.Mint(now, home, organisation, route)
func RefuseMissingKey(now time.Time) *hitchoutcome.Refusal {
	return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonKeyMissing, now,
		"the call may not be repeated and has no key; send it again with the key of this answer")
}
