package hitchorigin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// simulation is a fleet of trackers whose views lag, whose datagrams are lost at times, and
// which are killed and restarted while releases replace the endpoints.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	instances []*simulatedInstance
	fleet     []hitchfleet.Instance
	versions  []string // of the endpoints
	pending   []pendingReturn
	begun     int

	returns, served, wrong int
}

type simulatedInstance struct {
	tracker   *Tracker
	lag       time.Duration
	startedAt time.Time
	isDown    bool
	view      []string
	// views are the changes of the fleet that haven't arrived.
	views   []delayedView
	streams []simulatedStream
}

type delayedView struct {
	at       time.Time
	versions []string
}

type simulatedStream struct {
	id, version string
	endsAt      time.Time
}

type pendingReturn struct {
	simulatedStream
	at time.Time
}

const (
	step          = 50 * time.Millisecond
	restartTime   = time.Second
	inTouchAfter  = 3 * time.Second
	datagramsLost = 0.05
)

func newSimulation(seed uint64, instances int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), now: start, versions: []string{"v1", "v1", "v1", "v1"}}
	for i := range instances {
		s.fleet = append(s.fleet, hitchfleet.Instance{ID: hitchfleet.InstanceID(fmt.Sprint("n", i)), Zone: hitchfleet.AvailabilityZone(fmt.Sprint(i % 3))})
		instance := &simulatedInstance{tracker: &Tracker{}, lag: time.Duration(100+s.random.IntN(400)) * time.Millisecond, startedAt: start}
		s.instances = append(s.instances, instance)
		s.setView(i, s.versions)
	}
	return s
}

// setView gives an instance a view, and shares what has to be.
func (s *simulation) setView(n int, versions []string) {
	i := s.instances[n]
	i.view = versions
	s.share(n, i.tracker.SetFleet(s.now, endpoints(versions...), table("s")))
}

// share sends origins to their homes. Those that are down, and a few others, lose them.
func (s *simulation) share(from int, origins []Origin) {
	for _, o := range origins {
		for _, home := range Homes(o.Stream, s.fleet, s.fleet[from].ID) {
			n := slices.Index(s.fleet, home)
			if !s.instances[n].isDown && s.random.Float64() >= datagramsLost {
				s.share(n, s.instances[n].tracker.Receive(s.now, []Origin{o}))
			}
		}
	}
}

// change replaces the endpoints. Instances see it later.
func (s *simulation) change(versions ...string) {
	s.versions = versions
	for _, i := range s.instances {
		i.views = append(i.views, delayedView{s.now.Add(i.lag), versions})
	}
}

func (s *simulation) kill(n int) {
	i := s.instances[n]
	for _, stream := range i.streams {
		s.breakStream(stream)
	}
	*i = simulatedInstance{isDown: true, startedAt: s.now.Add(restartTime), lag: i.lag}
}

// breakStream makes the caller of a stream return a little later.
func (s *simulation) breakStream(stream simulatedStream) {
	s.pending = append(s.pending, pendingReturn{stream, s.now.Add(time.Duration(100+s.random.IntN(900)) * time.Millisecond)})
}

func (s *simulation) runStep() {
	s.now = s.now.Add(step)
	for n, i := range s.instances {
		if i.isDown {
			if !s.now.Before(i.startedAt) {
				i.isDown, i.tracker = false, &Tracker{}
				i.tracker.RecordGap(s.now)
				s.setView(n, s.versions)
			}
			continue
		}
		for len(i.views) > 0 && !s.now.Before(i.views[0].at) {
			s.setView(n, i.views[0].versions)
			i.views = i.views[1:]
		}
		s.runStreams(n)
	}
	due := slices.Clone(s.pending)
	s.pending = nil
	for _, r := range due {
		if n := s.random.IntN(len(s.instances)); s.now.Before(r.at) || s.instances[n].isDown {
			s.pending = append(s.pending, r)
		} else {
			s.takeUp(n, r.simulatedStream)
		}
	}
}

// runStreams begins a stream at an instance at times, ends others, and breaks a few.
func (s *simulation) runStreams(n int) {
	i := s.instances[n]
	if s.random.Float64() < 0.1 && len(i.view) > 0 {
		s.begun++
		stream := simulatedStream{fmt.Sprint("stream-", s.begun), i.view[s.random.IntN(len(i.view))], s.now.Add(time.Duration(s.random.IntN(8000)) * time.Millisecond)}
		i.streams = append(i.streams, stream)
		if o := origin(stream.id, stream.version); i.tracker.Begin(s.now, "r", o) {
			s.share(n, []Origin{o})
		}
	}
	i.streams = slices.DeleteFunc(i.streams, func(stream simulatedStream) bool {
		isBroken := s.random.Float64() < 0.002
		if isBroken {
			s.breakStream(stream)
		}
		if isBroken || !s.now.Before(stream.endsAt) {
			i.tracker.End(s.now, StreamKey(stream.id))
			return true
		}
		return false
	})
}

// takeUp resolves a caller's return at an instance, as hitchingress does.
func (s *simulation) takeUp(n int, stream simulatedStream) {
	i, key := s.instances[n], StreamKey(stream.id)
	o, source := i.tracker.Find(key)
	if source == SourceUnknown {
		var answers []Answer
		for _, home := range AskedHomes(key, s.fleet, s.fleet[n].ID) {
			if h := s.instances[slices.Index(s.fleet, home)]; !h.isDown {
				answers = append(answers, h.tracker.Answer(s.now, key, "r"))
			}
		}
		o, source = Combine(i.tracker.Answer(s.now, key, "r"), answers, false)
	}
	isOwed := s.now.Sub(i.startedAt) >= inTouchAfter && countOf(s.versions, stream.version) >= 2
	isServed := source != SourceUnknown && slices.Contains(i.view, o.Version)
	if isServed && o.Version != stream.version {
		s.wrong++
	}
	if isOwed {
		s.returns++
	}
	if isOwed && isServed {
		s.served++
	}
	if isServed {
		o.Stream = key
		stream.endsAt = s.now.Add(time.Second)
		i.streams = append(i.streams, stream)
		if i.tracker.Begin(s.now, "r", o) {
			s.share(n, []Origin{o})
		}
	}
}

func countOf(versions []string, version string) (n int) {
	for _, v := range versions {
		if v == version {
			n++
		}
	}
	return n
}

// TestReturnsUnderRandomFaults plays days of two minutes with releases, and kills of two
// instances at a time: no stream goes on at another version, and most of those that could
// go on do.
func TestReturnsUnderRandomFaults(t *testing.T) {
	tests := map[string]struct {
		instances int
		releases  [][]string // one each 20 s
	}{
		"one version":               {8, nil},
		"half of the endpoints":     {8, [][]string{{"v1", "v1", "v2", "v2"}}},
		"all, one after the other":  {8, [][]string{{"v1", "v1", "v2", "v2"}, {"v2", "v2", "v2", "v2"}, {"v2", "v2", "v3", "v3"}, {"v3", "v3", "v3", "v3"}}},
		"all at once":               {8, [][]string{{"v2", "v2", "v2", "v2"}, {"v3", "v3", "v3", "v3"}}},
		"back to the first version": {8, [][]string{{"v2", "v2", "v2", "v2"}, {"v1", "v1", "v1", "v1"}, {"v2", "v2", "v2", "v2"}}},
		"three versions":            {8, [][]string{{"v1", "v1", "v2", "v2", "v3", "v3"}}},
		"large fleet":               {20, [][]string{{"v1", "v1", "v2", "v2"}, {"v2", "v2", "v2", "v2"}}},
		"small fleet":               {4, [][]string{{"v1", "v1", "v2", "v2"}, {"v2", "v2", "v2", "v2"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			total := &simulation{}
			for seed := range uint64(3) {
				s := newSimulation(seed, test.instances)
				for n := range int(2 * time.Minute / step) {
					at := time.Duration(n) * step
					if k := int(at/(20*time.Second)) - 1; at%(20*time.Second) == 5*time.Second && k >= 0 && k < len(test.releases) {
						s.change(test.releases[k]...)
					}
					if at%(7*time.Second) == 6*time.Second {
						first := s.random.IntN(test.instances)
						s.kill(first)
						s.kill((first + 1 + s.random.IntN(test.instances-1)) % test.instances)
					}
					s.runStep()
				}
				qt.Assert(t, s.wrong, qt.Equals, 0, qt.Commentf("seed %d", seed))
				total.returns, total.served = total.returns+s.returns, total.served+s.served
			}
			t.Logf("%d of %d streams went on", total.served, total.returns)
			qt.Assert(t, total.returns >= 12, qt.IsTrue)
			qt.Assert(t, float64(total.served) >= 0.75*float64(total.returns), qt.IsTrue)
		})
	}
}
