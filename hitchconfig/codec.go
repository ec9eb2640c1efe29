package hitchconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxBytes is the most bytes of an encoded configuration. The key-value
// service holds values up to a megabyte; the rest is for the accept records.
const MaxBytes = 600 << 10

// Checksum is the SHA-256 of an encoded configuration, in hexadecimal.
type Checksum string

// Encode checks the configuration and returns its bytes in JSON. Equal
// configurations have equal bytes.
func (c Configuration) Encode() (data []byte, err error) {
	defer annotate(&err, "encode configuration")
	if err := c.Check(); err != nil {
		return nil, err
	}
	data, err = json.Marshal(c)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("%d bytes, want at most %d", len(data), MaxBytes)
	}
	return data, nil
}

// Checksum returns the checksum of the encoded configuration.
func (c Configuration) Checksum() (sum Checksum, err error) {
	data, err := c.Encode()
	if err != nil {
		return "", err
	}
	return checksumOf(data), nil
}

func checksumOf(data []byte) Checksum {
	sum := sha256.Sum256(data)
	return Checksum(hex.EncodeToString(sum[:]))
}

// Decode reads an encoded configuration and checks it as a whole. It takes only
// the bytes that Encode writes: unknown, repeated, missing or misspelt fields
// are refused.
func Decode(data []byte) (c Configuration, err error) {
	defer annotate(&err, "decode configuration")
	if len(data) > MaxBytes {
		return Configuration{}, fmt.Errorf("%d bytes, want at most %d", len(data), MaxBytes)
	}
	if err := decodeStrict(data, &c); err != nil {
		return Configuration{}, err
	}
	again, err := c.Encode()
	if err != nil {
		return Configuration{}, err
	}
	if !bytes.Equal(again, data) {
		return Configuration{}, errors.New("not in the canonical form")
	}
	return c, nil
}

// decodeStrict reads one JSON value with known fields only.
func decodeStrict[T any](data []byte, value *T) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}

// annotate adds what was done to an error.
func annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf("hitchconfig: %s: %w", fmt.Sprintf(format, args...), *err)
	}
}
