package hitchquarantine

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Limits of the parts on which answers have begun. Each is kept for one to two
// generations.
const (
	generationLength   = 2 * time.Minute
	maxGenerationParts = 8 << 10
)

// recentParts is a set of the parts that were added last. The zero value is empty.
type recentParts struct {
	current, previous map[hitchfleet.PartID]struct{}
	// endsAt is when the current generation becomes the previous one.
	endsAt time.Time
}

// add adds a part.
func (r *recentParts) add(now time.Time, part hitchfleet.PartID) {
	r.expire(now)
	if len(r.current) >= maxGenerationParts {
		r.previous, r.current = r.current, nil
	}
	if r.current == nil {
		r.current, r.endsAt = make(map[hitchfleet.PartID]struct{}), now.Add(generationLength)
	}
	r.current[part] = struct{}{}
}

// has reports whether a part was added lately.
func (r *recentParts) has(now time.Time, part hitchfleet.PartID) bool {
	r.expire(now)
	_, isCurrent := r.current[part]
	_, isPrevious := r.previous[part]
	return isCurrent || isPrevious
}

// expire starts a new generation if the current one is over.
func (r *recentParts) expire(now time.Time) {
	switch {
	case r.current == nil || now.Before(r.endsAt):
	case now.Before(r.endsAt.Add(generationLength)):
		r.previous, r.current = r.current, nil
	default:
		r.previous, r.current = nil, nil
	}
}
