package hitchforward

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

var (
	errDiverged = errors.New("the replayed stream differs from the delivered events")
	errNoChunk  = errors.New("the event isn't a chat completion chunk")
)

// maxProgressBytes is the maximum memory of the events that the caller has received, each
// with eventOverheadBytes besides its text.
const (
	maxProgressBytes   = 4 << 20
	eventOverheadBytes = 32
)

// Progress is the part of a streamed response that the caller has received. A
// replay at another engine must repeat it token by token before new events are
// delivered.
type Progress struct {
	// Delivered is the number of events that the caller has received.
	Delivered int
	// contents holds the text of each delivered event, and contentBytes is its size.
	contents     [][]byte
	contentBytes int
	// replayed is the number of events received in the current attempt.
	replayed int
	// lastID is the endpoint's ID of the last numbered event of the current
	// attempt, and resumeAt the number of events up to it. Events without an ID,
	// such as the one with the usage, are sent again when a stream is resumed.
	lastID   int
	resumeAt int
}

// chunk is the part of a streamed chat completion that a replay must repeat
// (chat.completion.chunk of the OpenAI API).
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// startReplay begins an attempt that starts with the first event.
func (p *Progress) startReplay() { p.replayed, p.lastID, p.resumeAt = 0, 0, 0 }

// startResume continues the current attempt after its last numbered event, whose ID
// it returns.
func (p *Progress) startResume() (lastID int) {
	p.replayed = p.resumeAt
	return p.lastID
}

// Add processes the next event of the current attempt. It returns the event to
// deliver to the caller, or false if the caller already has it.
func (p *Progress) Add(event Event) (_ Event, isNew bool, err error) {
	content, err := contentOf(event)
	if err != nil {
		return Event{}, false, err
	}
	p.replayed++
	if event.ID > 0 {
		p.lastID, p.resumeAt = event.ID, p.replayed
	}
	if p.replayed <= p.Delivered {
		if !bytes.Equal(p.contents[p.replayed-1], content) {
			return Event{}, false, fmt.Errorf("%w: event %d", errDiverged, p.replayed)
		}
		return Event{}, false, nil
	}
	if event.Done() {
		return event, true, nil
	}
	if p.contentBytes += len(content) + eventOverheadBytes; p.contentBytes > maxProgressBytes {
		return Event{}, false, errTooLarge
	}
	p.Delivered++
	p.contents = append(p.contents, content)
	return Event{ID: p.Delivered, Data: event.Data}, true, nil
}

// contentOf returns the text of an event.
func contentOf(event Event) ([]byte, error) {
	if event.Done() {
		return []byte(doneData), nil
	}
	var c chunk
	if err := json.Unmarshal(event.Data, &c); err != nil {
		return nil, fmt.Errorf("%w: event %d: %w", errNoChunk, event.ID, err)
	}
	var content []byte
	for _, choice := range c.Choices {
		content = append(content, choice.Delta.Content...)
	}
	return content, nil
}
