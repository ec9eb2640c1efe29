package hitchmeasure

import (
	"encoding/json"

	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchforward"
)

// collector reads the events of a streamed answer.
type collector struct {
	prompt int
	cached int
}

// take returns an event's text, and keeps the counts of the last event.
func (c *collector) take(event hitchforward.Event) (string, error) {
	if event.Done() {
		return "", nil
	}
	var answer hitchfake.ChatResponse
	if err := json.Unmarshal(event.Data, &answer); err != nil {
		return "", err
	}
	if answer.Usage != nil {
		c.prompt, c.cached = answer.Usage.PromptTokens, answer.Usage.PromptTokensDetails.CachedTokens
	}
	text := ""
	for _, choice := range answer.Choices {
		if choice.Delta != nil {
			text += choice.Delta.Content
		}
	}
	return text, nil
}
