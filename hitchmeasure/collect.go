package hitchmeasure

import (
	"encoding/json"

	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchforward"
)

// usageCollector parses the events of a streamed response and keeps its token usage.
type usageCollector struct {
	prompt int
	cached int
}

// parseEvent returns an event's text, and stores the token counts if it has any.
func (c *usageCollector) parseEvent(event hitchforward.Event) (string, error) {
	if event.Done() {
		return "", nil
	}
	var chunk hitchfake.ChatResponse
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return "", err
	}
	if chunk.Usage != nil {
		c.prompt, c.cached = chunk.Usage.PromptTokens, chunk.Usage.PromptTokensDetails.CachedTokens
	}
	text := ""
	for _, choice := range chunk.Choices {
		if choice.Delta != nil {
			text += choice.Delta.Content
		}
	}
	return text, nil
}
