package hitchplace

// maxRanked is the most candidates that one choice ranks.
const maxRanked = 16

// ranked is the best candidates by rendezvous hashing, best first. It stands on
// the stack, so that ranking doesn't allocate.
type ranked struct {
	n     int
	items [maxRanked]rankedItem
}

type rankedItem struct {
	score uint64
	index int32
}

// least is the score that a candidate must pass to be among the best limit.
func (r *ranked) least(limit int) uint64 {
	if r.n < limit {
		return 0
	}
	return r.items[limit-1].score
}

// add keeps the candidate if it is among the best limit.
func (r *ranked) add(limit int, score uint64, index int) {
	if r.n == limit {
		if score <= r.items[r.n-1].score {
			return
		}
		r.n--
	}
	i := r.n
	for i > 0 && r.items[i-1].score < score {
		r.items[i] = r.items[i-1]
		i--
	}
	r.items[i] = rankedItem{score: score, index: int32(index)}
	r.n++
}
