package hitchretry

import (
	"sync"
	"time"
)

// Constants of a Patience.
const (
	// objectiveShare is the part of the latency objective after which an endpoint
	// that hasn't answered is given up while the others answer as usual.
	objectiveShare = 0.8
	// waitFactor is the multiple of the usual wait that marks an endpoint as
	// stuck rather than busy.
	waitFactor = 4
	// waitWeight is the weight of a new wait in the moving averages.
	waitWeight = 0.15
	// overdueFactor is the multiple of the usual wait after which an answer is
	// overdue.
	overdueFactor = 7
	// leastExpected is the shortest time within which an answer is expected.
	leastExpected = 100 * time.Millisecond
	// fastestRise is the part, as a divisor, by which the shortest wait for a token
	// rises with each sample, so that it follows slower endpoints.
	fastestRise = 256
	// readFactor is the multiple of the usual time to read a prompt.
	readFactor = 2
	// leastRead is the smallest part of a prompt that tells how fast prompts are
	// read, in tokens.
	leastRead = 1000
)

// Patience decides how long a request waits for the first byte of an answer
// before another endpoint is tried. One stuck endpoint is left well before the
// objective is missed. When all endpoints are slow, as at a load beyond what they
// bear, requests stay where they are: moving them would only add the work of
// reading their prompts again. The zero value is ready. Its methods are safe for
// several goroutines.
//
//	limit, ok := patience.Limit(objective, unread)
//	// ... wait for the answer for as long, or without a limit if nobody knows ...
//	patience.Observe(waited, unread)
type Patience struct {
	mu sync.Mutex
	// mean is the moving average of the waits, and perToken that of the waits for
	// each token of a prompt that had to be read.
	mean     time.Duration
	perToken time.Duration
	// fastest is the shortest wait for each token, which rises slowly.
	fastest time.Duration
}

// Observe takes in how long a request waited, whether it was answered or given
// up, and the tokens of its prompt that the endpoint had to read.
func (p *Patience) Observe(waited time.Duration, unread int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if unread < leastRead {
		p.mean = average(p.mean, waited)
		return
	}
	perToken := waited / time.Duration(unread)
	if p.perToken == 0 {
		p.perToken = perToken
	}
	p.perToken = average(p.perToken, perToken)
	p.fastest += p.fastest / fastestRise
	if p.fastest == 0 || perToken < p.fastest {
		p.fastest = perToken
	}
}

func average(mean, sample time.Duration) time.Duration {
	return mean + time.Duration(waitWeight*float64(sample-mean))
}

// Usual returns the moving average of the waits.
func (p *Patience) Usual() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mean
}

// Expected returns within what time an answer comes unless the endpoint is stuck,
// and false as long as nobody knows.
func (p *Patience) Expected(unread int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if unread < leastRead && p.mean == 0 {
		return 0, false
	}
	return p.withReading(max(leastExpected, overdueFactor*p.mean), unread)
}

// Tokens returns how many tokens of prompts an endpoint reads in a time without
// other work, and 0 if nobody knows.
func (p *Patience) Tokens(d time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fastest <= 0 {
		return 0
	}
	return int(d / p.fastest)
}

// Limit returns how long to wait for a request whose prompt has tokens that the
// endpoint must read, and false as long as nobody knows how long that takes.
func (p *Patience) Limit(objective time.Duration, unread int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.withReading(max(time.Duration(objectiveShare*float64(objective)), waitFactor*p.mean), unread)
}

// withReading adds the time to read a prompt to a limit, and returns false if it
// has to be read and nobody knows how long that takes.
func (p *Patience) withReading(limit time.Duration, unread int) (time.Duration, bool) {
	if unread < leastRead {
		return limit, true
	}
	return limit + readFactor*p.perToken*time.Duration(unread), p.perToken > 0
}
