package hitchclaim

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"slices"
	"strings"
)

const (
	// keyPrefix is the prefix of the text of a minted key. It distinguishes minted keys
	// from callers' own keys.
	keyPrefix = "hk1."
	// macBytes is the length of the truncated HMAC-SHA256. RFC 2104, section 5,
	// recommends no less than half of the hash.
	macBytes = 16
	// maxKeyTextBytes is the maximum length of the text of a key.
	maxKeyTextBytes = 1024
	// macContext is included in the MAC to separate it from other uses of the same
	// secrets (domain separation).
	macContext = "hitchclaim.Key.1\x00"
)

// ErrNoSecret is returned by Sign if there is no secret.
var ErrNoSecret = errors.New("hitchclaim: no secret to sign keys with")

// Secrets signs and verifies keys. The first secret signs; signatures of all secrets
// are accepted. A rotation takes three steps, each of which must have reached all
// routers before the next: accept the new secret, sign with it, and drop the old one
// after MaxKeyTTL.
//
//	secrets = secrets.WithAccepted(newer) // on all routers, then
//	secrets = secrets.WithSigning(newer)  // on all routers, then after MaxKeyTTL
//	secrets = secrets.Without(older)
type Secrets struct{ secrets [][]byte }

// WithSigning returns a copy that signs with secret and still accepts the others.
func (s Secrets) WithSigning(secret []byte) Secrets {
	others := s.Without(secret).secrets
	return Secrets{secrets: append([][]byte{bytes.Clone(secret)}, others...)}
}

// WithAccepted returns a copy that also accepts secret. The secret that signs stays
// the same, unless there was none.
func (s Secrets) WithAccepted(secret []byte) Secrets {
	return Secrets{secrets: append(s.Without(secret).secrets, bytes.Clone(secret))}
}

// Without returns a copy that doesn't contain secret.
func (s Secrets) Without(secret []byte) Secrets {
	return Secrets{secrets: slices.DeleteFunc(slices.Clone(s.secrets), func(known []byte) bool {
		return bytes.Equal(known, secret)
	})}
}

// Sign returns the key's text.
func (s Secrets) Sign(k Key) (text string, err error) {
	if len(s.secrets) == 0 {
		return "", ErrNoSecret
	}
	payload := k.payload()
	signed := append(payload, mac(s.secrets[0], payload)...)
	text = keyPrefix + base64.RawURLEncoding.EncodeToString(signed)
	if len(text) > maxKeyTextBytes {
		return "", fmt.Errorf("sign key: %d bytes of text, at most %d", len(text), maxKeyTextBytes)
	}
	return text, nil
}

// IsMinted reports whether a text has the prefix of minted keys. It doesn't verify the
// signature.
func IsMinted(text string) bool { return strings.HasPrefix(text, keyPrefix) }

// Parse verifies a key's text and returns the key. Its error is a *KeyError. Parse
// doesn't check the deadline: a retry after it still gets the first response while
// the home has it.
func (s Secrets) Parse(text string) (k Key, err error) {
	signed, err := decodeKeyText(text)
	if err != nil {
		return Key{}, &KeyError{Fault: KeyMalformed, Err: err}
	}
	payload, sum := signed[:len(signed)-macBytes], signed[len(signed)-macBytes:]
	if !slices.ContainsFunc(s.secrets, func(secret []byte) bool { return hmac.Equal(mac(secret, payload), sum) }) {
		return Key{}, &KeyError{Fault: KeyUnknownSignature}
	}
	var wire wireKey
	if err := decMode.Unmarshal(payload, &wire); err != nil {
		return Key{}, &KeyError{Fault: KeyMalformed, Err: err}
	}
	k = decodeKey(wire)
	if !bytes.Equal(k.payload(), payload) {
		return Key{}, &KeyError{Fault: KeyMalformed, Err: errors.New("the encoding isn't canonical")}
	}
	return k, nil
}

// decodeKeyText returns the signed bytes of a key's text. It accepts only the
// canonical encoding, as base64 decoders skip line breaks.
func decodeKeyText(text string) (signed []byte, err error) {
	if len(text) > maxKeyTextBytes {
		return nil, fmt.Errorf("%d bytes of text, at most %d", len(text), maxKeyTextBytes)
	}
	body, found := strings.CutPrefix(text, keyPrefix)
	if !found {
		return nil, fmt.Errorf("no prefix %q", keyPrefix)
	}
	signed, err = base64.RawURLEncoding.Strict().DecodeString(body)
	if err != nil {
		return nil, err
	}
	if base64.RawURLEncoding.EncodeToString(signed) != body {
		return nil, errors.New("the text isn't canonical")
	}
	if len(signed) <= macBytes {
		return nil, fmt.Errorf("%d bytes, want more than %d", len(signed), macBytes)
	}
	return signed, nil
}

func mac(secret, payload []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(macContext))
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}
