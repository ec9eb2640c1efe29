package hitchforward

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

var errDiverged = errors.New("the replay differs from what the caller has")

// Progress is what a caller has of a streamed answer. A replay at another
// engine must repeat it token by token before it goes on.
type Progress struct {
	// Delivered counts the events that the caller has.
	Delivered int
	// contents holds the text of each delivered event.
	contents [][]byte
	// replayed counts the events of the present attempt.
	replayed int
	// lastID is the endpoint's number of the last numbered event of the present
	// attempt, and resumeAt the count of events up to it. Events without a number,
	// such as the one with the usage, come again when a stream is resumed.
	lastID   int
	resumeAt int
}

// chunk is the part of a streamed chat completion that a replay must repeat
// (the OpenAI API's chat.completion.chunk).
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// replay begins an attempt that starts from the first event.
func (p *Progress) replay() { p.replayed, p.lastID, p.resumeAt = 0, 0, 0 }

// resume goes on with the present attempt behind its last numbered event, whose
// number it returns.
func (p *Progress) resume() (lastID int) {
	p.replayed = p.resumeAt
	return p.lastID
}

// Take adds an event of the present attempt. It returns the event as the caller
// must see it, and false if the caller has it already.
func (p *Progress) Take(event Event) (_ Event, fresh bool, err error) {
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
		return nil, fmt.Errorf("event %d is no chunk of a chat completion: %w", event.ID, err)
	}
	var content []byte
	for _, choice := range c.Choices {
		content = append(content, choice.Delta.Content...)
	}
	return content, nil
}
