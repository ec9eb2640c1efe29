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

func TestRankMovesOnlyKeysOfRemovedCandidate(t *testing.T) {
	before := instances(20)
	removed := before[7].ID
	after := append(append([]Instance{}, before[:7]...), before[8:]...)
	for chat := range 2000 {
		key := KeyOf(fmt.Sprint(chat))
		firstBefore := Rank(nil, key, before, Instance.Key)[0].Candidate.ID
		firstAfter := Rank(nil, key, after, Instance.Key)[0].Candidate.ID
		if firstBefore != removed {
			qt.Assert(t, firstAfter, qt.Equals, firstBefore)
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

func TestKeyOfSeparatesParts(t *testing.T) {
	qt.Assert(t, KeyOf("a", "b"), qt.Not(qt.Equals), KeyOf("ab"))
}
