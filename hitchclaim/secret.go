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
	// keyPrefix starts the text of a minted key and tells it from keys that
	// callers make themselves.
	keyPrefix = "hk1."
	// macBytes is the length of the truncated HMAC-SHA256 (RFC 2104, section 5,
	// allows half of the hash and no less).
	macBytes = 16
	// maxKeyText bounds the text of a key, in bytes.
	maxKeyText = 1024
	// macContext keeps the MAC of keys apart from other uses of the secrets.
	macContext = "hitchclaim.Key.1\x00"
)

// ErrNoSecret says that there is no secret to sign with.
var ErrNoSecret = errors.New("hitchclaim: no secret to sign keys with")

// Secrets signs and checks keys. The first secret signs; all are accepted.
// Rotation takes three steps, each in force everywhere before the next: accept
// the new secret, sign with it, and drop the old one after MaxKeyLife.
//
//	secrets = secrets.WithAccepted(newer) // everywhere, then
//	secrets = secrets.WithSigning(newer)  // everywhere, then after MaxKeyLife
//	secrets = secrets.Without(older)
type Secrets struct{ all [][]byte }

// WithSigning returns a copy that signs with secret and accepts the others.
func (s Secrets) WithSigning(secret []byte) Secrets {
	rest := s.Without(secret).all
	return Secrets{all: append([][]byte{bytes.Clone(secret)}, rest...)}
}

// WithAccepted returns a copy that also accepts secret, and signs as before
// unless it had no secret.
func (s Secrets) WithAccepted(secret []byte) Secrets {
	return Secrets{all: append(s.Without(secret).all, bytes.Clone(secret))}
}

// Without returns a copy that no longer knows secret.
func (s Secrets) Without(secret []byte) Secrets {
	return Secrets{all: slices.DeleteFunc(slices.Clone(s.all), func(known []byte) bool {
		return bytes.Equal(known, secret)
	})}
}

// Sign returns the key's text.
func (s Secrets) Sign(k Key) (text string, err error) {
	if len(s.all) == 0 {
		return "", ErrNoSecret
	}
	payload := k.payload()
	signed := append(payload, mac(s.all[0], payload)...)
	text = keyPrefix + base64.RawURLEncoding.EncodeToString(signed)
	if len(text) > maxKeyText {
		return "", fmt.Errorf("sign key: %d bytes of text, at most %d", len(text), maxKeyText)
	}
	return text, nil
}

// IsMinted tells whether a text claims to be a minted key.
func IsMinted(text string) bool { return strings.HasPrefix(text, keyPrefix) }

// Parse checks a key's text and returns the key. Its error is a *KeyError. The
// deadline isn't checked here: a repeat after it still gets the first answer
// while the home has it.
func (s Secrets) Parse(text string) (k Key, err error) {
	signed, err := decodeText(text)
	if err != nil {
		return Key{}, &KeyError{Fault: KeyMalformed, Err: err}
	}
	payload, sum := signed[:len(signed)-macBytes], signed[len(signed)-macBytes:]
	if !slices.ContainsFunc(s.all, func(secret []byte) bool { return hmac.Equal(mac(secret, payload), sum) }) {
		return Key{}, &KeyError{Fault: KeyForged}
	}
	var wire wireKey
	if err := decMode.Unmarshal(payload, &wire); err != nil {
		return Key{}, &KeyError{Fault: KeyMalformed, Err: err}
	}
	k = keyFrom(wire)
	if !bytes.Equal(k.payload(), payload) {
		return Key{}, &KeyError{Fault: KeyMalformed, Err: errors.New("the encoding isn't canonical")}
	}
	return k, nil
}

// decodeText returns the signed bytes of a text. Only the canonical text of the
// bytes is accepted, as base64 decoders skip line breaks.
func decodeText(text string) (signed []byte, err error) {
	if len(text) > maxKeyText {
		return nil, fmt.Errorf("%d bytes of text, at most %d", len(text), maxKeyText)
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
