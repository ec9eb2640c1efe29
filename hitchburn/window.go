package hitchburn

import (
	"fmt"
	"time"
)

// Window is a period that ends now, over which events are counted.
type Window uint8

// The windows of the rules.
const (
	Minutes5 Window = iota
	Minutes30
	Hour1
	Hours6
	Days3
	windowCount
)

var windowNames = [windowCount]string{"5m", "30m", "1h", "6h", "3d"}

// String returns the window's length, such as 5m.
func (w Window) String() string {
	if w < windowCount {
		return windowNames[w]
	}
	return fmt.Sprintf("Window(%d)", uint8(w))
}

// MarshalText writes the window's length.
func (w Window) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// UnmarshalText reads a window's length.
func (w *Window) UnmarshalText(text []byte) (err error) {
	*w, err = parseName[Window](windowNames[:], text)
	return err
}

// resolution is the length and number of a ring's buckets. The newest bucket is
// still being filled, so a ring of n buckets has n-1 complete ones.
type resolution struct {
	seconds int64
	buckets int
}

// ringCount is the number of rings of a series.
const ringCount = 4

var resolutions = [ringCount]resolution{
	{15, 21},     // 5 minutes
	{60, 61},     // 1 hour
	{600, 37},    // 6 hours
	{10_800, 25}, // 3 days
}

// windowSpan is the ring that a window is counted from, and the number of complete
// buckets.
type windowSpan struct {
	ring    int
	buckets int
}

var windowSpans = [windowCount]windowSpan{
	Minutes5:  {0, 20},
	Minutes30: {1, 30},
	Hour1:     {1, 60},
	Hours6:    {2, 36},
	Days3:     {3, 24},
}

// bucketIndex returns the index of the bucket of a time, counted from the Unix epoch.
func (r resolution) bucketIndex(now time.Time) int64 { return now.Unix() / r.seconds }

// bucketStart returns the start time of a bucket.
func (r resolution) bucketStart(index int64) time.Time { return time.Unix(index*r.seconds, 0).UTC() }

// length returns the duration of a window.
func (w Window) length() time.Duration {
	at := windowSpans[w]
	return time.Duration(int64(at.buckets)*resolutions[at.ring].seconds) * time.Second
}
