package hitchconfig

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const maxTokenBytes = 64 << 10

// Token is the part of a plan that Confirm needs. It is self-contained and
// signed with the fleet key: any instance can confirm what another planned,
// and nothing is kept between the two.
type Token struct {
	ID string
	// Operator is who planned.
	Operator string
	// Intent is resolved: an Undo stands as its inverse change.
	Intent Intent
	// Base is the revision that the plan was made on.
	Base uint64
	// Result is the checksum of the configuration that the plan leads to.
	Result   Checksum
	Deadline time.Time
	Proof    Proof
}

// ErrTokenInvalid says that a token was not made by this fleet, or was changed.
var ErrTokenInvalid = errors.New("hitchconfig: the plan was not made by this fleet, or it was changed")

// Encode returns the token in text, fit for a command line.
func (t Token) Encode() (string, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(data), nil
}

// DecodeToken reads a token and verifies its proof.
func DecodeToken(s string, keys Keyring) (t Token, err error) {
	defer annotate(&err, "decode plan")
	if len(s) > maxTokenBytes {
		return Token{}, fmt.Errorf("%d bytes, want at most %d", len(s), maxTokenBytes)
	}
	data, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return Token{}, err
	}
	if err := decodeStrict(data, &t); err != nil {
		return Token{}, err
	}
	if !t.verify(keys) {
		return Token{}, ErrTokenInvalid
	}
	return t, nil
}

// withProof returns a copy that is signed.
func (t Token) withProof(keys Keyring) (Token, error) {
	body, err := t.body()
	t.Proof = keys.Sign(purposePlan, body)
	return t, err
}

func (t Token) verify(keys Keyring) bool {
	body, err := t.body()
	return err == nil && keys.Verify(t.Proof, purposePlan, body)
}

func (t Token) body() ([]byte, error) {
	t.Proof = Proof{}
	return json.Marshal(t)
}
