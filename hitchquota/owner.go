package hitchquota

import (
	"cmp"
	"slices"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Owners returns the first instances in the rendezvous order of a run of an endpoint. The
// first one gives the permits for it; the next ones do in its place if it doesn't respond.
func Owners(run hitchfleet.RunID, instances []hitchfleet.Instance, count int) []hitchfleet.Instance {
	type candidate struct {
		hitchfleet.Instance
		score uint64
	}
	var best []candidate
	for _, i := range instances {
		score := hitchfleet.Score(hitchfleet.Key(run), i.Key())
		if len(best) == count && score < best[count-1].score {
			continue
		}
		best = append(best, candidate{i, score})
		slices.SortFunc(best, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID)) })
		best = best[:min(len(best), count)]
	}
	owners := make([]hitchfleet.Instance, len(best))
	for n, c := range best {
		owners[n] = c.Instance
	}
	return owners
}
