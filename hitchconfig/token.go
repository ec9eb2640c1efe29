package hitchconfig

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const maxTokenBytes = 64 << 10

// Token is the part of a plan that Confirm needs. It is self-contained and signed with
// a fleet key, so any instance can confirm a plan that another instance created, without
// shared state.
type Token struct {
	ID string
	// Operator created the plan.
	Operator string
	// Intent is resolved: an Undo is replaced with the inverse change.
	Intent Intent
	// Base is the revision that the plan is based on.
	Base uint64
	// Result is the checksum of the configuration after the plan.
	Result   Checksum
	Deadline time.Time
	Proof    Proof
}

// ErrTokenInvalid means that a token was not created by this fleet, or was modified.
var ErrTokenInvalid = errors.New("hitchconfig: the plan was not created by this fleet, or was modified")

// Encode returns the token as text that is safe to use on a command line.
func (t Token) Encode() (string, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(data), nil
}

// DecodeToken decodes a token and verifies its proof.
func DecodeToken(s string, keys Keyring) (t Token, err error) {
	defer wrapError(&err, "decode plan")
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

// withProof returns a signed copy.
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
