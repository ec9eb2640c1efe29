package hitchclaim

import (
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// KeyFault is the reason why a key is rejected.
type KeyFault uint8

// The reasons for rejecting a key.
const (
	// KeyMalformed means that the text isn't a validly encoded key.
	KeyMalformed KeyFault = iota
	// KeyUnknownSignature means that the signature matches none of the
	// known secrets.
	KeyUnknownSignature
	// KeyWrongOrganisation means that the key was minted for another
	// organisation.
	KeyWrongOrganisation
	// KeyWrongRoute means that the key was minted for another route.
	KeyWrongRoute
)

var keyFaultMessages = [...]string{
	"the key is malformed",
	"the key's signature is not known here",
	"the key belongs to another organisation",
	"the key belongs to another route",
}

// KeyError is returned for a key that is rejected.
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

// Error describes the fault.
func (e *KeyError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", keyFaultMessages[e.Fault], e.Err)
	}
	return keyFaultMessages[e.Fault]
}

// Unwrap returns the decoder's error.
func (e *KeyError) Unwrap() error { return e.Err }

// Refusal returns the refusal of a call with the rejected key. The outcome of a key
// with an unknown signature is Unknown: during a rotation of secrets, another router
// may have the secret already and may have run the call. The outcome of all other
// rejected keys is NotRun, as no home accepts them for this organisation and route.
func (e *KeyError) Refusal() *hitchoutcome.Refusal {
	switch e.Fault {
	case KeyUnknownSignature:
		return &hitchoutcome.Refusal{
			Reason: hitchoutcome.ReasonKeyInvalid, Outcome: hitchoutcome.Unknown, Detail: e.Error(),
		}
	case KeyWrongOrganisation, KeyWrongRoute:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonKeyReused, time.Time{}, "%s", e.Error())
	default:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonKeyInvalid, time.Time{}, "%s", e.Error())
	}
}
