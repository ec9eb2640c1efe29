package hitchclaim

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// The CBOR codec for keys, journals and handovers. Encoding is deterministic: one
// value has one encoding (RFC 8949, section 4.2.1).
var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("hitchclaim: encoder options: %v", err))
	}
	return mode
}

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("hitchclaim: decoder options: %v", err))
	}
	return mode
}

// mustEncode encodes a wire type of this package. It panics on an error, as these
// types can always be encoded.
func mustEncode(v any) []byte {
	data, err := encMode.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("hitchclaim: encode %T: %v", v, err))
	}
	return data
}
