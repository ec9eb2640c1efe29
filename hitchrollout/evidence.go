package hitchrollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

// The metrics by which responses are bad: failures, and times above the median of the old
// versions by a number of buckets. The ends of a bucket differ by bucketFactor, so that slowBuckets
// stand for at least 3.1, 3.8 and 4.8 times the median, and at most 1.25 times that.
const (
	failureMetric = iota
	timeMetric
	pauseMetric = timeMetric + len(slowBuckets)
	metrics     = pauseMetric + len(slowBuckets)
)

var slowBuckets = [...]int{6, 7, 8}

// Figures of the sequential test.
const (
	// noiseEpisode is the length of an episode in which a shared machine slows an endpoint down.
	noiseEpisode = 600 * time.Millisecond
	// The limit of Evidence.Clear falls from clearEvidence with up to clearFew responses to clearMost
	// with clearMany. With -2 for all, one of 20 versions that failed a twentieth received all
	// requests for some 0.8 s.
	clearMost = -5
	clearFew  = 100
	clearMany = 200
	// minRouteTotal is the number of responses from which Evidence.ClearRoute counts.
	minRouteTotal = 25
	// clearRoute is the limit of Evidence.ClearRoute.
	clearRoute = 2
	// clearSlowMetric is the metric of Evidence.ClearSlow. Its limit falls from clearSlowStart to
	// clearEvidence with clearSlowTotal responses, which tell a twentieth of slow responses from
	// noise.
	clearSlowMetric = timeMetric + 1
	clearSlowStart  = 3
	clearSlowMost   = -4
	clearSlowTotal  = 225
	// maxFaulty is how many endpoints of the new version may be left out as faulty on single
	// routes, and faultyEvidence the logarithm of the odds for each.
	maxFaulty      = 2
	faultyEvidence = 2.3
	// minMedian is the number of times of the old versions from which their median counts.
	minMedian = 4
	// scarceOld is the share of old responses in a window below which its slow responses are
	// compared with twice the share of those since the order, as load may have changed.
	scarceOld = 0.2
)

// noiseCorrelations are the correlations of slow responses of an endpoint within an episode, by the
// index of slowBuckets, so that responses that come close together count for less. Episodes are 2.5
// times slower, which makes the least slow ones most likely.
var noiseCorrelations = [...]float64{0.3, 0.15, 0.1}

// badShares are the shares of bad responses that a bad version adds, which are equally likely.
var badShares = [...]float64{0.05, 0.1, 0.2, 0.5, 0.9}

// faultyRates are the shares of bad responses of a single faulty endpoint, and faultyChance the
// chance that an endpoint is faulty, by the number of endpoints of the new version: with few of
// them, a version that is bad at all of them isn't explained by faults of each.
var (
	faultyRates  = [...]float64{0.2, 0.45, 0.7, 0.95}
	faultyChance = [...]float64{1e-7, 1e-7, 4e-4, 0.02, 0.05}
)

// Evidence is the evidence against a version.
type Evidence struct {
	// LogLikelihood is the natural logarithm of the likelihood ratio of a bad version to a good
	// one, over all that was compared. For a good version, the chance that it ever exceeds x is
	// at most exp(-x).
	LogLikelihood float64
	// Clear is the same for the least share of failures that a bad version has, without the
	// prior weights: below 0 if the responses speak for a good version.
	Clear float64
	// ClearSlow is the same for slow responses. ClearLimit and ClearSlowLimit are what they have to
	// be below for a good version, which depends on the number of responses. With few of them it
	// only has to be not suspicious of being slow.
	ClearLimit, ClearSlow, ClearSlowLimit float64
	// ClearRoute is Clear for a tenth of failures on a route, for the route where it is highest.
	ClearRoute float64
	// ClearWindow is the greatest of Clear, and of ClearSlow less a margin for noise, over windows with many responses, as a
	// version may become bad later; 0 or less for a good version.
	ClearWindow float64
	// Metric and Route are what speaks most against the version; Route is empty for all routes.
	Metric string
	Route  hitchfleet.RouteID
	// Window is when the responses that are compared began to be counted; zero since the order.
	Window time.Time
	// NewBad of NewTotal responses of the new version are bad by the metric, and OldBad of
	// OldTotal of the old ones.
	NewBad, NewTotal, OldBad, OldTotal int
}

// IsClear reports whether the responses speak for a good version.
func (e Evidence) IsClear() bool {
	return e.Clear <= e.ClearLimit && e.ClearSlow <= e.ClearSlowLimit && e.ClearRoute <= clearRoute && e.ClearWindow <= 0
}

// String returns the evidence in words.
func (e Evidence) String() string {
	route := "all routes"
	if e.Route != "" {
		route = "route " + string(e.Route)
	}
	return fmt.Sprintf("%s on %s: %d of %d new and %d of %d old responses", e.Metric, route, e.NewBad, e.NewTotal, e.OldBad, e.OldTotal)
}

// metricName returns the name of a metric.
func metricName(metric int) string {
	switch {
	case metric == failureMetric:
		return "failures"
	case metric < pauseMetric:
		return fmt.Sprintf("slow responses (%.1f times the median)", math.Pow(bucketFactor, float64(slowBuckets[metric-timeMetric])))
	default:
		return fmt.Sprintf("slow events (%.1f times the median)", math.Pow(bucketFactor, float64(slowBuckets[metric-pauseMetric])))
	}
}

// evidence weighs everything that was counted. endpoints is the number of the new version's
// endpoints.
func (t *Tally) evidence(now time.Time, order Order, s sums, endpoints int) Evidence {
	var e Evidence
	all := comparison{order: order, endpoints: endpoints, base: s.tables(nil)}
	all.logWeight = math.Log(0.5)
	all.faulty = all.faultyRuns()
	all.seconds = max(now.Sub(order.OrderedAt).Seconds(), 1)
	sum := all.addTo(&e, math.Inf(-1), all.base)
	windows := math.Log(max(order.LimitAt.Sub(order.OrderedAt).Seconds(), 1))
	for n := range t.checkpoints {
		c := &t.checkpoints[n]
		if now.Sub(c.at) < checkpointInterval/2 {
			continue
		}
		window := all
		window.logWeight, window.since = math.Log(0.5)-windows, c.at
		window.seconds = now.Sub(c.at).Seconds()
		tables := s.tables(c)
		sum = window.addTo(&e, sum, tables)
		e.ClearWindow = max(e.ClearWindow, window.clearWindow(tables))
	}
	e.LogLikelihood = sum
	ratio, total := all.clear(all.all(), failureMetric, badShares[0])
	e.Clear, e.ClearLimit = ratio, clearEvidence+(clearMost-clearEvidence)*lo.Clamp((total-clearFew)/(clearMany-clearFew), 0, 1)
	e.ClearRoute = clearRoute
	for _, t := range all.base {
		if ratio, total := all.clear(t.without(all.faulty), failureMetric, badShares[1]); total >= minRouteTotal {
			e.ClearRoute = max(e.ClearRoute, ratio)
		}
	}
	slowTotal := 0.0
	for n := range slowBuckets {
		ratio, total := all.clear(all.all(), timeMetric+n, badShares[0])
		e.ClearSlow += ratio / float64(len(slowBuckets))
		slowTotal = max(slowTotal, total)
	}
	e.ClearSlowLimit = clearSlowStart + (clearSlowMost-clearSlowStart)*min(slowTotal/clearSlowTotal, 1)
	return e
}

// comparison is one comparison of the versions over a window.
type comparison struct {
	order     Order
	endpoints int
	since     time.Time
	seconds   float64
	// logWeight is the prior weight of the window.
	logWeight float64
	// base are the counts since the order.
	base map[hitchfleet.RouteID]table
	// faulty are the runs whose endpoints are faulty by the counts of all routes.
	faulty []hitchfleet.RunID
}

// faultyRuns returns the runs that are better explained by a fault of their endpoint than by
// either version, as long as most runs aren't. The responses on one route may be too few to tell.
func (c *comparison) faultyRuns() (faulty []hitchfleet.RunID) {
	all := c.all()
	for _, metric := range [...]int{failureMetric, clearSlowMetric} {
		s, usual := c.sample(all, all.old, metric)
		for run, counts := range all.new {
			isFaulty := s.logFaulty(counts[metric]) > math.Log1p(-s.faulty)+s.logLikelihood(counts[metric], usual)+faultyEvidence
			if run != 0 && isFaulty && !slices.Contains(faulty, run) {
				faulty = append(faulty, run)
			}
		}
	}
	if len(faulty) > maxFaulty || 2*len(faulty) > len(all.new) {
		return nil
	}
	return faulty
}

// without returns the comparison without some runs.
func (t table) without(runs []hitchfleet.RunID) table {
	if len(runs) > 0 {
		t.new = lo.OmitByKeys(t.new, runs)
	}
	return t
}

// addTo adds the evidence of the comparison to a sum of likelihood ratios, and notes the
// strongest.
func (c *comparison) addTo(e *Evidence, sum float64, tables map[hitchfleet.RouteID]table) float64 {
	var all, base table
	for id, t := range tables {
		all.add(t)
		base.add(c.base[id])
		if len(tables) > 1 {
			sum = c.addTable(e, sum, id, t.without(c.faulty), c.base[id].old, math.Log(0.5/float64(len(tables))))
		}
	}
	return c.addTable(e, sum, "", all, base.old, math.Log(0.5))
}

// metricWeight is the prior weight of each metric.
func metricWeight(metric int) float64 {
	switch {
	case metric == failureMetric:
		return 0.4
	case metric < pauseMetric:
		return 0.4 / float64(len(slowBuckets))
	default:
		return 0.2 / float64(len(slowBuckets))
	}
}

// addTable adds the evidence of one route, or of all.
func (c *comparison) addTable(e *Evidence, sum float64, route hitchfleet.RouteID, t table, base cells, logWeight float64) float64 {
	for metric := range metrics {
		sample, usual := c.sample(t, base, metric)
		if sample.total == 0 {
			continue
		}
		metricSum := math.Inf(-1)
		for _, share := range badShares {
			ratio := sample.logRatio(usual, usual+share*(1-usual))
			metricSum = logSum(metricSum, ratio-math.Log(float64(len(badShares))))
		}
		metricSum += logWeight + c.logWeight + math.Log(metricWeight(metric))
		if e.Metric == "" || metricSum > e.LogLikelihood {
			// Until the sum is known, LogLikelihood is the greatest part.
			e.LogLikelihood, e.Metric, e.Route, e.Window = metricSum, metricName(metric), route, c.since
			e.NewBad, e.NewTotal = int(sample.bad), int(sample.total)
			e.OldBad, e.OldTotal = int(t.old[metric].bad), int(t.old[metric].total)
		}
		sum = logSum(sum, metricSum)
	}
	return sum
}

// all returns the counts of all routes since the order.
func (c *comparison) all() (all table) {
	for _, t := range c.base {
		all.add(t)
	}
	return all
}

// clear returns the evidence for a share of bad responses, and the number of independent ones.
func (c *comparison) clear(t table, metric int, share float64) (ratio, total float64) {
	sample, usual := c.sample(t, t.old, metric)
	return sample.logRatio(usual, usual+share*(1-usual)), sample.total * sample.scale
}

// clearWindow returns the evidence for the least share of bad responses in a window, if there are
// enough.
func (c *comparison) clearWindow(tables map[hitchfleet.RouteID]table) (most float64) {
	var all table
	for _, t := range tables {
		all.add(t)
	}
	if ratio, total := c.clear(all, failureMetric, badShares[0]); total >= clearSlowTotal {
		most = ratio
	}
	if ratio, total := c.clear(all, clearSlowMetric, badShares[0]); total >= clearSlowTotal {
		most = max(most, ratio-clearSlowStart)
	}
	return most
}

// sample returns the responses of the new version by a metric, and the share of bad ones that the
// old versions let expect.
func (c *comparison) sample(t table, base cells, metric int) (s sample, usual float64) {
	s.scale = 1
	for run, counts := range t.new {
		if counts[metric].total == 0 {
			continue
		}
		if run == 0 {
			s.others = s.others.plus(counts[metric])
		} else {
			s.runs = append(s.runs, counts[metric])
		}
		s.cell = s.cell.plus(counts[metric])
	}
	s.faulty = faultyChance[min(max(c.endpoints, len(s.runs), 1), len(faultyChance)-1)]
	if metric != failureMetric && len(s.runs) > 0 {
		perRun := s.total / float64(len(s.runs)) / c.seconds
		s.scale = 1 / (1 + noiseCorrelations[(metric-timeMetric)%len(slowBuckets)]*perRun*noiseEpisode.Seconds())
	}
	usual = usualShare(base[metric], metric, s.scale)
	if metric != failureMetric && t.old[metric].total < scarceOld*s.total {
		return s, min(2*usual, 0.9)
	}
	return s, max(usual, usualShare(t.old[metric], metric, s.scale))
}
