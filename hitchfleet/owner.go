package hitchfleet

import (
	"cmp"
	"slices"
)

// Owners returns the first instances in the rendezvous order of a key. The first one decides
// for all of them about what the key stands for; the next ones do in its place if it doesn't
// respond.
func Owners(key Key, instances []Instance, count int) []Instance {
	type candidate struct {
		Instance
		score uint64
	}
	var best []candidate
	for _, i := range instances {
		score := Score(key, i.Key())
		if len(best) == count && score < best[count-1].score {
			continue
		}
		best = append(best, candidate{i, score})
		slices.SortFunc(best, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID)) })
		best = best[:min(len(best), count)]
	}
	owners := make([]Instance, len(best))
	for n, c := range best {
		owners[n] = c.Instance
	}
	return owners
}
