package hitchclaim

import (
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// KeyFault says what is wrong with a key.
type KeyFault uint8

// The faults of keys.
const (
	// KeyMalformed means that the system never mints such a text.
	KeyMalformed KeyFault = iota
	// KeyForged means that no known secret made the signature.
	KeyForged
	// KeyOtherOrganisation means that the key belongs to another organisation.
	KeyOtherOrganisation
	// KeyOtherRoute means that the key belongs to another route.
	KeyOtherRoute
)

var keyFaultDetails = [...]string{
	"the key is malformed",
	"the key's signature is not known here",
	"the key belongs to another organisation",
	"the key belongs to another route",
}

// KeyError says why a key isn't accepted.
//
//	var fault *hitchclaim.KeyError
//	if errors.As(err, &fault) {
//		return fault.Refusal()
//	}
type KeyError struct {
	Fault KeyFault
	// Err is the decoder's error, if any.
	Err error
}

// Error returns the fault in a sentence.
func (e *KeyError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", keyFaultDetails[e.Fault], e.Err)
	}
	return keyFaultDetails[e.Fault]
}

// Unwrap returns the decoder's error.
func (e *KeyError) Unwrap() error { return e.Err }

// Refusal returns the answer to a call with such a key. A forged key is refused
// as Unknown: while a rotation of secrets is under way, another router may know
// the secret and have run the call. All others are NotRun, as no home accepts
// this key for this organisation and route.
func (e *KeyError) Refusal() *hitchoutcome.Refusal {
	switch e.Fault {
	case KeyForged:
		return &hitchoutcome.Refusal{
			Reason: hitchoutcome.ReasonKeyInvalid, Outcome: hitchoutcome.Unknown, Detail: e.Error(),
		}
	case KeyOtherOrganisation, KeyOtherRoute:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonKeyReused, time.Time{}, "%s", e.Error())
	default:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonKeyInvalid, time.Time{}, "%s", e.Error())
	}
}
