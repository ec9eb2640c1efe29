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

// MaxBytes is the maximum size of an encoded configuration. The key-value service
// stores values of up to one megabyte; the rest is for the records of accepted
// changes.
const MaxBytes = 600 << 10

// Checksum is the SHA-256 of an encoded configuration, in hexadecimal.
type Checksum string

// Encode validates the configuration and returns it in JSON. Equal configurations
// have equal encodings.
func (c Configuration) Encode() (data []byte, err error) {
	defer wrapError(&err, "encode configuration")
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

// Decode decodes and validates a configuration. It accepts only the exact bytes
// that Encode writes, and rejects unknown, repeated, missing or misspelt fields.
func Decode(data []byte) (c Configuration, err error) {
	defer wrapError(&err, "decode configuration")
	if len(data) > MaxBytes {
		return Configuration{}, fmt.Errorf("%d bytes, want at most %d", len(data), MaxBytes)
	}
	if err := decodeStrict(data, &c); err != nil {
		return Configuration{}, err
	}
	encoded, err := c.Encode()
	if err != nil {
		return Configuration{}, err
	}
	if !bytes.Equal(encoded, data) {
		return Configuration{}, errors.New("encoding is not canonical")
	}
	return c, nil
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields.
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

// wrapError adds the failed operation to an error.
func wrapError(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf("hitchconfig: %s: %w", fmt.Sprintf(format, args...), *err)
	}
}
