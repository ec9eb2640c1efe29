package hitchsoak

import "math/rand/v2"

// FaultSet names the kinds of faults that a plan is made of. The kinds of a set and their
// order are fixed, as a seed would give another plan otherwise: kinds that are added get
// a set of their own, or are added to AllFaults only.
type FaultSet string

// The sets of faults.
const (
	// BasicFaults are the first nineteen kinds, with many planned stops. The empty set is
	// the same.
	BasicFaults FaultSet = "basic"
	// AnswerFaults are those that concern answers beside reloads and changes of the
	// configuration, and those that leave few endpoints to choose from. None of them affects a
	// process or its connections.
	AnswerFaults FaultSet = "answers"
	// AllFaults are all kinds, with many planned stops.
	AllFaults FaultSet = "all"
)

// FaultSets returns the names of the sets.
func FaultSets() []string {
	return []string{string(BasicFaults), string(AnswerFaults), string(AllFaults)}
}

// stopShare is the share of planned stops among the faults of a set that has many of them,
// beyond their share as one of the kinds.
const stopShare = 0.2

// randomKind returns a kind of fault of the set.
func (s FaultSet) randomKind(rng *rand.Rand) FaultKind {
	if s != AnswerFaults && rng.Float64() < stopShare {
		return StopInstance
	}
	kinds := s.kinds()
	return kinds[rng.IntN(len(kinds))]
}

// kinds returns the kinds of faults of the set.
func (s FaultSet) kinds() []FaultKind {
	switch s {
	case AllFaults:
		return kindsBetween(0, faultKindCount)
	case AnswerFaults:
		return answerKinds
	default:
		return kindsBetween(0, AskForPause+1)
	}
}

// kindsBetween returns the kinds from one up to, but without, another.
func kindsBetween(from, to FaultKind) (out []FaultKind) {
	for k := from; k < to; k++ {
		out = append(out, k)
	}
	return out
}
