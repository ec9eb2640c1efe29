package hitchserver

import "runtime/debug"

// Divisions of a process's memory.
const (
	// heapShare is the part that the heap and stacks should stay below.
	heapShare = 0.6
	// headDivisor and bodyDivisor divide the memory. The quotients are for large heads and for long bodies, of which a copy
	// may be on its way to an endpoint.
	headDivisor = 8
	bodyDivisor = 8
	// connDivisor divides the memory. The quotient is for callers' connections, of connBytes each.
	connDivisor = 4
	connBytes   = 64 << 10
	// defaultMemory is assumed for the division if it isn't known.
	defaultMemory = Memory(256 << 20)
)

// Memory is the memory of a process in bytes, of which clients may take parts; 0 if unknown.
type Memory int64

// Megabytes returns a memory of n MB.
func Megabytes(n int) Memory { return Memory(n) << 20 }

func (m Memory) orDefault() Memory {
	if m <= 0 {
		return defaultMemory
	}
	return m
}

// HeadBytes returns how many bytes large heads may take together.
func (m Memory) HeadBytes() int64 { return int64(m.orDefault() / headDivisor) }

// BodyBytes returns how many bytes long bodies may take together.
func (m Memory) BodyBytes() int64 { return int64(m.orDefault() / bodyDivisor) }

// Conns returns how many callers' connections there may be.
func (m Memory) Conns() int { return int(m.orDefault() / connDivisor / connBytes) }

// LimitHeap makes the garbage collector of this process run more often once the heap nears the memory, if that is known.
func (m Memory) LimitHeap() {
	if m > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(m)))
	}
}
