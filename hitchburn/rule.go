package hitchburn

import "time"

// Severity says how soon somebody must act.
type Severity uint8

// The severities.
const (
	// Ticket can wait for the working day.
	Ticket Severity = iota
	// Page can't wait.
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
	*s, err = named[Severity]([]string{"Ticket", "Page"}, text)
	return err
}

// Rule says that a level burns if its burn rate reaches Rate in both windows. The
// long window keeps a short fault from firing it; the short one ends it soon
// after the fault is over.
type Rule struct {
	Severity Severity
	// Rate is a burn rate: 1 spends the error budget exactly in the period of the
	// objective.
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

// minEvents is the least number of events in the long window for a rule to fire,
// as the rate of a few events says little (Workbook, ch. 5, "Low-Traffic
// Services"). A booking in doubt counts from the first.
const minEvents = 10

// BurnRate returns how many times faster than its objective allows a level spends
// its error budget: the share of bad events divided by 1 - objective.
func BurnRate(c Count, objective float64) float64 { return c.BadShare() / (1 - objective) }

// fires tells whether a series breaks the rule.
func (r Rule) fires(now time.Time, s Series, objective float64) bool {
	long, short := s.Count(now, r.Long), s.Count(now, r.Short)
	if s.Level != Booking && long.Total < minEvents {
		return false
	}
	return reaches(long, objective, r.Rate) && reaches(short, objective, r.Rate)
}

// reaches tells whether bad events burn at a rate. It allows for the rounding of
// the division, so that a share exactly on the rate counts.
func reaches(c Count, objective, rate float64) bool {
	const rounding = 1e-9
	return c.Bad > 0 && BurnRate(c, objective) >= rate*(1-rounding)
}

// quietBuckets is the number of buckets in a row below the rate that end a burn.
const quietBuckets = 3

// since returns when the burn that fires the rule began, to the length of a
// bucket. Buckets without events neither end nor prolong it. Where the burn
// reaches back as far as a ring, the next coarser ring goes on.
func (r Rule) since(now time.Time, s Series, objective float64) (since time.Time) {
	short := now.Add(-r.Short.length())
	for i := spans[r.Long].ring; i < ringCount; i++ {
		began, isWhole := burnStart(now, short, s.Rings[i], resolutions[i], objective, r.Rate)
		if !began.IsZero() && (since.IsZero() || began.Before(since)) {
			since = began
		}
		if isWhole {
			break
		}
	}
	if since.IsZero() {
		return short.UTC()
	}
	return since
}

// burnStart walks a ring back from now. Buckets after short can't end the burn, as
// the rule fires on them together. isWhole tells whether the burn began within the
// ring.
func burnStart(now, short time.Time, ring Ring, r resolution, objective, rate float64) (began time.Time, isWhole bool) {
	newest := r.slot(now)
	oldest := newest - int64(r.buckets) + 1
	quiet := 0
	for slot := newest; slot >= oldest; slot-- {
		c := ring.at(slot)
		switch {
		case c.Total == 0:
		case reaches(c, objective, rate):
			began, quiet = r.start(slot), 0
		case r.start(slot).Before(short):
			quiet++
		}
		if quiet == quietBuckets {
			return began, true
		}
	}
	return began, began.IsZero() || began.After(r.start(oldest))
}
