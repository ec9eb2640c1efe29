package hitchburn

import "fmt"

// Level is a service level. It classifies each event as good, bad or not counted.
type Level uint8

// The service levels.
const (
	// Availability: a request is good if its response is no server error, or if it
	// was refused for an error of its caller and not run.
	Availability Level = iota
	// FirstToken: a response is good if its first token was sent within
	// FirstTokenLimit after the request's arrival.
	FirstToken
	// TokenGap: a response is good if the mean time between its tokens is at most
	// TokenGapLimit.
	TokenGap
	// Booking: a non-idempotent call is good if its outcome is known.
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
	*l, err = parseName[Level](levelNames[:], text)
	return err
}

// Objectives are the required ratios of good events of each service level, between
// 0 and 1. A field outside that range, such as zero, stands for its default.
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

// parseName returns the index of a name as a value of an enumeration.
func parseName[T ~uint8](names []string, text []byte) (T, error) {
	for i, name := range names {
		if name == string(text) {
			return T(i), nil
		}
	}
	return 0, fmt.Errorf("hitchburn: unknown name %q", text)
}
