package hitchburn

import "time"

// Severity is the urgency of a finding.
type Severity uint8

// The severities.
const (
	// Ticket can wait until the next working day.
	Ticket Severity = iota
	// Page requires immediate action.
	Page
)

// String returns the severity's name.
func (s Severity) String() string {
	if s == Page {
		return "Page"
	}
	return "Ticket"
}

// MarshalText writes the severity's name.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a severity's name.
func (s *Severity) UnmarshalText(text []byte) (err error) {
	*s, err = parseName[Severity]([]string{"Ticket", "Page"}, text)
	return err
}

// Rule fires if the burn rate of a series reaches Rate in both windows. The long
// window prevents short faults from firing the rule; the short one resets it soon
// after the fault ends.
type Rule struct {
	Severity Severity
	// Rate is a burn rate. At 1, the error budget is spent exactly in the objective's
	// period.
	Rate  float64
	Long  Window
	Short Window
}

// Rules returns the multi-window, multi-burn-rate rules of The Site Reliability
// Workbook (Beyer et al., 2018), chapter 5, table 5-8, fastest first. Over a
// period of 30 days they fire once 2%, 5% and 10% of the budget are spent.
func Rules() []Rule {
	return []Rule{
		{Page, 14.4, Hour1, Minutes5},
		{Page, 6, Hours6, Minutes30},
		{Ticket, 1, Days3, Hours6},
	}
}

// minLongWindowEvents is the minimum number of events in the long window for a rule
// to fire, as a rate of few events isn't significant (Workbook, ch. 5, "Low-Traffic
// Services"). It doesn't apply to bookings: the first one in doubt can fire a rule.
const minLongWindowEvents = 10

// BurnRate returns how many times faster than the objective allows the error budget
// is spent: the ratio of bad events divided by 1 - objective.
func BurnRate(c Count, objective float64) float64 { return c.BadRatio() / (1 - objective) }

// isFiring reports whether the rule fires for a series.
func (r Rule) isFiring(now time.Time, s Series, objective float64) bool {
	long, short := s.Count(now, r.Long), s.Count(now, r.Short)
	if s.Level != Booking && long.Total < minLongWindowEvents {
		return false
	}
	return reachesRate(long, objective, r.Rate) && reachesRate(short, objective, r.Rate)
}

// reachesRate reports whether a count's burn rate is at least rate. It tolerates the
// rounding error of the division, so that a rate exactly at the limit counts.
func reachesRate(c Count, objective, rate float64) bool {
	const rounding = 1e-9
	return c.Bad > 0 && BurnRate(c, objective) >= rate*(1-rounding)
}

// burnEndBuckets is the number of consecutive buckets below the rate that end a burn.
const burnEndBuckets = 3

// firingSince returns when the burn that fires the rule began, with the precision of
// a bucket. Buckets without events neither end nor extend it. If the burn began
// before the time range of a ring, the search continues in the next coarser one.
func (r Rule) firingSince(now time.Time, s Series, objective float64) (since time.Time) {
	shortStart := now.Add(-r.Short.length())
	for i := windowSpans[r.Long].ring; i < ringCount; i++ {
		began, isStartInRing := burnStartInRing(now, shortStart, s.Rings[i], resolutions[i], objective, r.Rate)
		if !began.IsZero() && (since.IsZero() || began.Before(since)) {
			since = began
		}
		if isStartInRing {
			break
		}
	}
	if since.IsZero() {
		return shortStart.UTC()
	}
	return since
}

// burnStartInRing searches a ring backwards from now for the start of the burn.
// Buckets after shortStart can't end the burn, as the rule fires on the whole short
// window. isStartInRing reports whether the burn began within the ring's time range.
func burnStartInRing(now, shortStart time.Time, ring Ring, r resolution, objective, rate float64) (began time.Time, isStartInRing bool) {
	newest := r.bucketIndex(now)
	oldest := newest - int64(r.buckets) + 1
	belowRate := 0
	for index := newest; index >= oldest; index-- {
		c := ring.countAt(index)
		switch {
		case c.Total == 0:
		case reachesRate(c, objective, rate):
			began, belowRate = r.bucketStart(index), 0
		case r.bucketStart(index).Before(shortStart):
			belowRate++
		}
		if belowRate == burnEndBuckets {
			return began, true
		}
	}
	return began, began.IsZero() || began.After(r.bucketStart(oldest))
}
