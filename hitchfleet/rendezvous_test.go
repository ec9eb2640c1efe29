package hitchfleet

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func instances(n int) []Instance {
	all := make([]Instance, n)
	for i := range all {
		all[i].ID = InstanceID(fmt.Sprintf("router-%d", i))
	}
	return all
}

func TestRankMovesOnlyKeysOfTheLostCandidate(t *testing.T) {
	before := instances(20)
	lost := before[7].ID
	after := append(append([]Instance{}, before[:7]...), before[8:]...)
	for chat := range 2000 {
		key := KeyOf(fmt.Sprint(chat))
		was := Rank(nil, key, before, Instance.Key)[0].Candidate.ID
		is := Rank(nil, key, after, Instance.Key)[0].Candidate.ID
		if was != lost {
			qt.Assert(t, is, qt.Equals, was)
		}
	}
}

func TestRankSpreadsEvenly(t *testing.T) {
	const chats = 20000
	all := instances(10)
	counts := make(map[InstanceID]int)
	for chat := range chats {
		counts[Rank(nil, KeyOf(fmt.Sprint(chat)), all, Instance.Key)[0].Candidate.ID]++
	}
	for id, n := range counts {
		qt.Assert(t, n > chats/10*9/10 && n < chats/10*11/10, qt.IsTrue, qt.Commentf("%s has %d", id, n))
	}
}

func TestKeyOfTellsPartsApart(t *testing.T) {
	qt.Assert(t, KeyOf("a", "b"), qt.Not(qt.Equals), KeyOf("ab"))
}
