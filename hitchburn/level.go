package hitchburn

import "fmt"

// Level is one service level: a question that each event answers with good, bad
// or not counted.
type Level uint8

// The service levels.
const (
	// Availability: a request is good if it was answered, or truthfully refused
	// for a fault of its caller.
	Availability Level = iota
	// FirstToken: an answer is good if its first token came within
	// FirstTokenLimit of the request.
	FirstToken
	// TokenGap: an answer is good if the mean time between its tokens is at most
	// TokenGapLimit.
	TokenGap
	// Booking: a call that isn't idempotent is good if its outcome is known.
	Booking
	levelCount
)

var levelNames = [levelCount]string{"Availability", "FirstToken", "TokenGap", "Booking"}

// String returns the level's name.
func (l Level) String() string {
	if l < levelCount {
		return levelNames[l]
	}
	return fmt.Sprintf("Level(%d)", uint8(l))
}

// MarshalText writes the level's name.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText reads a level's name.
func (l *Level) UnmarshalText(text []byte) (err error) {
	*l, err = named[Level](levelNames[:], text)
	return err
}

// Objectives are the shares of good events that the levels promise, as fractions
// below 1. A zero field stands for its default.
type Objectives struct {
	Availability float64
	FirstToken   float64
	TokenGap     float64
	Booking      float64
}

// Default objectives.
const (
	DefaultAvailability = 0.999
	DefaultFirstToken   = 0.95
	DefaultTokenGap     = 0.95
	DefaultBooking      = 0.9999
)

// Of returns the objective of a level.
func (o Objectives) Of(l Level) float64 {
	set := [levelCount]float64{o.Availability, o.FirstToken, o.TokenGap, o.Booking}
	defaults := [levelCount]float64{DefaultAvailability, DefaultFirstToken, DefaultTokenGap, DefaultBooking}
	if set[l] > 0 && set[l] < 1 {
		return set[l]
	}
	return defaults[l]
}

// named finds a value by its name.
func named[T ~uint8](names []string, text []byte) (T, error) {
	for i, name := range names {
		if name == string(text) {
			return T(i), nil
		}
	}
	return 0, fmt.Errorf("hitchburn: unknown name %q", text)
}
