package hitchclaim

import (
	"encoding/base64"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/oklog/ulid/v2"

	"citronhitch.example/citronhitch/hitchoutcome"
)

var (
	start   = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	secretA = []byte("the first secret of the tests")
	secretB = []byte("the second secret of the tests")
	homeA   = HomeID{Instance: "router-a", Incarnation: 7}
)

// sequentialBytes is a source of predictable nonces.
type sequentialBytes struct{ next byte }

func (e *sequentialBytes) Read(p []byte) (int, error) {
	for i := range p {
		e.next++
		p[i] = e.next
	}
	return len(p), nil
}

func testMinter() Minter {
	return Minter{Secrets: Secrets{}.WithSigning(secretA), Entropy: &sequentialBytes{}}
}

func TestParse(t *testing.T) {
	text, key, err := testMinter().Mint(start, homeA, "aquarium", "booking")
	qt.Assert(t, err, qt.IsNil)
	tests := map[string]struct {
		secrets Secrets
		text    string
		want    KeyFault
		outcome hitchoutcome.Outcome
	}{
		"unknown secret":     {Secrets{}.WithSigning(secretB), text, KeyUnknownSignature, hitchoutcome.Unknown},
		"no secret":          {Secrets{}, text, KeyUnknownSignature, hitchoutcome.Unknown},
		"changed signature":  {testMinter().Secrets, changeCharacter(text, len(text)-2), KeyUnknownSignature, hitchoutcome.Unknown},
		"changed content":    {testMinter().Secrets, changeCharacter(text, 12), KeyUnknownSignature, hitchoutcome.Unknown},
		"a caller's own key": {testMinter().Secrets, "order-17", KeyMalformed, hitchoutcome.NotRun},
		"prefix alone":       {testMinter().Secrets, keyPrefix, KeyMalformed, hitchoutcome.NotRun},
		"line break":         {testMinter().Secrets, text[:20] + "\n" + text[20:], KeyMalformed, hitchoutcome.NotRun},
		"too long":           {testMinter().Secrets, text + strings.Repeat("A", maxKeyTextBytes), KeyMalformed, hitchoutcome.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := test.secrets.Parse(test.text)
			var keyError *KeyError
			qt.Assert(t, errors.As(err, &keyError), qt.IsTrue)
			qt.Assert(t, keyError.Fault, qt.Equals, test.want)
			qt.Assert(t, keyError.Refusal().Outcome, qt.Equals, test.outcome)
		})
	}
	got, err := testMinter().Secrets.Parse(text)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, key)
	qt.Assert(t, got.MintedAt(), qt.Equals, start)
	qt.Assert(t, got.Deadline, qt.Equals, start.Add(KeyTTL))
}

// changeCharacter replaces one character of a key's text.
func changeCharacter(text string, at int) string {
	b := []byte(text)
	b[at] = map[bool]byte{true: 'B', false: 'A'}[b[at] == 'A']
	return string(b)
}

func TestCheck(t *testing.T) {
	_, key, err := testMinter().Mint(start, homeA, "aquarium", "booking")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, key.CheckScope("aquarium", "booking"), qt.IsNil)
	qt.Assert(t, key.CheckScope("school", "booking"), qt.ErrorMatches, ".*another organisation")
	qt.Assert(t, key.CheckScope("aquarium", "payment"), qt.ErrorMatches, ".*another route")
}

func TestRotationAcceptsOldAndNewKeys(t *testing.T) {
	minter := testMinter()
	old, _, err := minter.Mint(start, homeA, "aquarium", "booking")
	qt.Assert(t, err, qt.IsNil)
	accepting := minter.Secrets.WithAccepted(secretB)
	signing := accepting.WithSigning(secretB)
	newer, _, err := minter.WithSecrets(signing).Mint(start, homeA, "aquarium", "booking")
	qt.Assert(t, err, qt.IsNil)
	for _, secrets := range []Secrets{accepting, signing} {
		for _, text := range []string{old, newer} {
			_, err := secrets.Parse(text)
			qt.Assert(t, err, qt.IsNil)
		}
	}
	_, err = signing.Without(secretA).Parse(old)
	qt.Assert(t, err, qt.ErrorMatches, ".*signature.*")
	_, _, err = Minter{}.Mint(start, homeA, "aquarium", "booking")
	qt.Assert(t, errors.Is(err, ErrNoSecret), qt.IsTrue)
}

func FuzzParse(f *testing.F) {
	secrets := testMinter().Secrets
	text, key, _ := testMinter().Mint(start, homeA, "aquarium", "booking")
	expired, _, _ := testMinter().MintUntil(start, start.Add(-time.Hour), homeA, "aquarium", "booking")
	other, _, _ := testMinter().WithSecrets(Secrets{}.WithSigning(secretB)).Mint(start, homeA, "aquarium", "booking")
	for _, seed := range []string{text, expired, other, "order-17", keyPrefix, text + "=", text[:40], ""} {
		f.Add(seed, []byte(seed))
	}
	f.Add("", key.payload())
	f.Fuzz(func(t *testing.T, text string, payload []byte) {
		if k, err := secrets.Parse(text); err == nil {
			again, err := secrets.Sign(k)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again, qt.Equals, text)
		}
		// A correctly signed payload of any content is either rejected or parsed as the
		// key with this very payload.
		signed := append(append([]byte{}, payload...), mac(secretA, payload)...)
		forged := keyPrefix + base64.RawURLEncoding.EncodeToString(signed)
		if k, err := secrets.Parse(forged); err == nil {
			qt.Assert(t, k.ID(), qt.Equals, keyIDFromPayload(payload))
		}
	})
}

func TestKeyIDText(t *testing.T) {
	id := Key{Nonce: ulid.ULID{1}}.ID()
	got, err := ParseKeyID(id.String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, id)
	_, err = ParseKeyID("zz")
	qt.Assert(t, err, qt.IsNotNil)
}
