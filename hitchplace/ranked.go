package hitchplace

// maxRanked is the maximum number of candidates in a ranking.
const maxRanked = 16

// ranking holds the best candidates by rendezvous hashing, best first. It is an
// array that fits on the stack, so that ranking doesn't allocate.
type ranking struct {
	n     int
	items [maxRanked]rankedItem
}

type rankedItem struct {
	score uint64
	index int32
}

// minScore returns the score that a candidate must exceed to be among the best
// limit candidates.
func (r *ranking) minScore(limit int) uint64 {
	if r.n < limit {
		return 0
	}
	return r.items[limit-1].score
}

// add inserts a candidate if it is among the best limit candidates.
func (r *ranking) add(limit int, score uint64, index int) {
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
