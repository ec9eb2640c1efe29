package hitchrouter

import (
	"time"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchplace"
)

// Chat is one turn of a chat with a model.
type Chat struct {
	Organisation hitchconfig.Organisation
	Route        hitchconfig.Route
	// ID is the chat's name, as its organisation gave it.
	ID   string
	Zone hitchfleet.AvailabilityZone
	// Batch marks work that may wait behind interactive work.
	Batch bool
	// PromptBytes and MaxTokens estimate the cost.
	PromptBytes int64
	MaxTokens   int64
	Call        hitchforward.Call
}

// ChatKey returns the key of a chat. Two organisations with the same name for a
// chat have different keys.
func ChatKey(organisation hitchfleet.OrganisationID, chat string) hitchfleet.Key {
	return hitchplace.ChatKey(organisation, chat)
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Organisation hitchconfig.Organisation
	Route        hitchconfig.Route
	Zone         hitchfleet.AvailabilityZone
	// Key is the caller's idempotency key, if any.
	Key  string
	Call hitchforward.Call
}

// Costs of requests.
const (
	bytesPerToken     = 4
	defaultAnswerCost = 256 // tokens
	serviceCost       = 1   // requests
)

// job is what placement and admission need to know of a request.
type job struct {
	organisation hitchfleet.OrganisationID
	shareWeight  int
	route        hitchconfig.Route
	kind         hitchfleet.EndpointKind
	key          hitchfleet.Key
	zone         hitchfleet.AvailabilityZone
	batch        bool
	cost         int64
	answerCost   int64
	deadline     time.Time
	idempotent   bool
	// entry is what the chat's home knows, once located is set.
	entry   hitchplace.Entry
	located bool
	// version is the model version that was chosen, or empty. It is fixed once the
	// caller has a part of the answer.
	version        string
	isVersionFixed bool
	// full are the versions whose engines had no room in the present search.
	full []string
	// failed are the endpoints that an attempt failed at.
	failed []hitchfleet.EndpointID
}

func (c Chat) job() *job {
	answer := c.MaxTokens
	if answer <= 0 {
		answer = defaultAnswerCost
	}
	return &job{
		organisation: c.Organisation.ID,
		shareWeight:  c.Organisation.ShareWeight,
		route:        c.Route,
		kind:         hitchfleet.KindEngine,
		key:          ChatKey(c.Organisation.ID, c.ID),
		zone:         c.Zone,
		batch:        c.Batch,
		cost:         c.PromptBytes/bytesPerToken + answer,
		answerCost:   answer,
		deadline:     c.Call.Deadline,
		idempotent:   true,
	}
}

func (c ServiceCall) job() *job {
	return &job{
		organisation: c.Organisation.ID,
		shareWeight:  c.Organisation.ShareWeight,
		route:        c.Route,
		kind:         hitchfleet.KindService,
		key:          hitchfleet.KeyOf(string(c.Organisation.ID), c.Call.Path),
		zone:         c.Zone,
		cost:         serviceCost,
		answerCost:   serviceCost,
		deadline:     c.Call.Deadline,
		idempotent:   c.Call.Idempotent,
	}
}
