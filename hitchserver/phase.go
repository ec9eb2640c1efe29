package hitchserver

import "fmt"

// Phase is what a connection is doing.
type Phase uint8

// The phases of a connection.
const (
	// PhaseNew means that no byte of a request has been read yet.
	PhaseNew Phase = iota
	// PhaseReading means that a part of a request, or all of it, has been read and its
	// handler hasn't started.
	PhaseReading
	// PhaseHandling means that the handler runs.
	PhaseHandling
	// PhaseWriting means that the handler has returned and the end of the response isn't
	// written yet.
	PhaseWriting
	// PhaseIdle means that the connection waits for its next request.
	PhaseIdle
	phaseCount
)

// String returns the phase's name in logs.
func (p Phase) String() string {
	return [phaseCount]string{"New", "Reading", "Handling", "Writing", "Idle"}[p]
}

// ConnCounts holds the numbers of open connections by phase.
type ConnCounts struct {
	New, Reading, Handling, Writing, Idle int
}

// String returns the counts as they are logged.
func (c ConnCounts) String() string {
	return fmt.Sprintf("New:%d,Reading:%d,Handling:%d,Writing:%d,Idle:%d", c.New, c.Reading, c.Handling, c.Writing, c.Idle)
}

// Total returns the number of connections.
func (c ConnCounts) Total() int { return c.New + c.Reading + c.Handling + c.Writing + c.Idle }

// add returns the counts with one more connection in a phase.
func (c ConnCounts) add(p Phase) ConnCounts {
	switch p {
	case PhaseNew:
		c.New++
	case PhaseReading:
		c.Reading++
	case PhaseHandling:
		c.Handling++
	case PhaseWriting:
		c.Writing++
	case PhaseIdle:
		c.Idle++
	}
	return c
}
