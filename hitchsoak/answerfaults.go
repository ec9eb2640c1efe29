package hitchsoak

import (
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Durations of faults that concern answers.
const (
	// minSilence and maxSilence limit how long a sound endpoint is silent.
	minSilence = time.Second
	maxSilence = 2 * time.Second
	// minSeriesInterval and maxSeriesInterval limit the time between two steps of a series.
	minSeriesInterval = 100 * time.Millisecond
	maxSeriesInterval = 400 * time.Millisecond
	// startTime is how long after its start a process gets no signals of a series.
	startTime = time.Second
)

// answerKinds are the kinds of AnswerFaults. A kind that occurs twice is twice as likely.
var answerKinds = []FaultKind{
	FallSilentBeforeAnswer, FallSilentBeforeFirstEvent, FallSilentBeforeFirstEvent, FallSilentInStream, FallSilentInStream,
	SpoilAnswers, ChangeConfigs, ChangeConfigs, ReloadSeries, ReloadSeries, ReloadInstance, RevokeKey,
	ShedRequests, LeaveEndpoint, AnnounceLeave, AskForPause,
}

// silencePoints are where an endpoint falls silent in each kind of silence.
var silencePoints = map[FaultKind]hitchstandin.SilencePoint{
	FallSilentBeforeAnswer:     hitchstandin.SilentBeforeAnswer,
	FallSilentBeforeFirstEvent: hitchstandin.SilentBeforeFirstEvent,
	FallSilentInStream:         hitchstandin.SilentInStream,
}

// randomDuration returns how long a fault lasts.
func (k FaultKind) randomDuration(rng *rand.Rand) time.Duration {
	if _, ok := silencePoints[k]; ok {
		return minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence)))
	}
	return minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

// startAnswerFault starts a fault that concerns answers and returns the function that ends
// it.
func (f *fleet) startAnswerFault(fault Fault) (undo func()) {
	switch n := fault.Target; fault.Kind {
	case FallSilentBeforeAnswer, FallSilentBeforeFirstEvent, FallSilentInStream:
		f.endpoints[n].SetSilentUntil(silencePoints[fault.Kind], time.Now().Add(fault.End-fault.Begin))
	case SpoilAnswers:
		f.endpoints[n].SetSpoiling(true)
		return func() { f.endpoints[n].SetSpoiling(false) }
	case ChangeConfigs:
		end := fault.startSeries(func(rng *rand.Rand) { f.varyConfig(hitchstandin.RandomVariation(rng)) })
		return func() {
			end()
			f.varyConfig(hitchstandin.Variation{})
		}
	case ReloadSeries:
		end := fault.startSeries(func(rng *rand.Rand) { f.reload(n, rng.IntN(len(f.instances))) })
		return func() {
			end()
			f.reload(n, 0)
		}
	}
	return func() {}
}

// startSeries calls step several times a second until the returned function is called. The
// same fault gives the same steps.
func (f Fault) startSeries(step func(*rand.Rand)) (end func()) {
	rng := rand.New(rand.NewPCG(uint64(f.Begin), uint64(f.Target)))
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			step(rng)
			timer := time.NewTimer(minSeriesInterval + time.Duration(rng.Int64N(int64(maxSeriesInterval-minSeriesInterval))))
			select {
			case <-timer.C:
			case <-stopped:
				timer.Stop()
				return
			}
		}
	})
	return func() {
		close(stopped)
		wg.Wait()
	}
}

// varyConfig writes a new version of the configuration with a variation.
func (f *fleet) varyConfig(v hitchstandin.Variation) {
	f.mu.Lock()
	f.variation = v
	f.mu.Unlock()
	f.writeConfig()
}

// reload changes the settings file of an instance, so that an instance and the one after
// it are its seeds, and sends SIGHUP.
func (f *fleet) reload(n, seed int) {
	i := f.instances[n]
	next := (seed + 1) % len(f.instances)
	err := i.writeSettings([]string{hitchstandin.ControlAddr(f.instances[seed].ip), hitchstandin.ControlAddr(f.instances[next].ip)})
	if err != nil {
		f.addProcessFailure("failed to write the settings of " + i.name + ": " + err.Error())
	}
	i.signalIfStarted(syscall.SIGHUP)
}

// signalIfStarted sends a signal to the process unless it has just been started, and may
// not handle signals yet.
func (i *instance) signalIfStarted(sig syscall.Signal) {
	i.mu.Lock()
	isStarted := time.Since(i.startedAt) > startTime
	i.mu.Unlock()
	if isStarted {
		i.signal(sig)
	}
}

// writeSettings replaces the settings file at once.
func (i *instance) writeSettings(seeds []string) error {
	i.settingsMu.Lock()
	defer i.settingsMu.Unlock()
	text := hitchstandin.Settings(i.name, i.ip, i.zone, i.storeAddr, seeds)
	if err := os.WriteFile(i.settings+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(i.settings+".new", i.settings)
}
