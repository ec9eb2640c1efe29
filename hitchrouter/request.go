package hitchrouter

import (
	"time"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchplace"
	"citronhitch.example/citronhitch/hitchquarantine"
)

// ChatRequest is the request for one turn of a chat with a model.
type ChatRequest struct {
	Organisation hitchconfig.Organisation
	Route        hitchconfig.Route
	// ID is the name that the organisation gave the chat.
	ID   string
	Zone hitchfleet.AvailabilityZone
	// Batch marks a request that may wait behind interactive ones.
	Batch bool
	// PromptBytes and MaxTokens are used to estimate the cost.
	PromptBytes int64
	MaxTokens   int64
	Call        hitchforward.Call
	// Parts are the messages of the chat.
	Parts []hitchfleet.PartID
}

// ChatKey returns the placement key of a chat. Chats of two organisations have
// different keys even if their names are the same.
func ChatKey(organisation hitchfleet.OrganisationID, chat string) hitchfleet.Key {
	return hitchplace.ChatKey(organisation, chat)
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Organisation hitchconfig.Organisation
	Route        hitchconfig.Route
	Zone         hitchfleet.AvailabilityZone
	// Key is the idempotency key that the caller sent, if any.
	Key  string
	Call hitchforward.Call
}

// Costs of requests.
const (
	bytesPerToken       = 4
	defaultResponseCost = 256 // tokens
	serviceCost         = 1   // requests
)

// proxyRequest is a request with the data that placement and admission use.
type proxyRequest struct {
	organisation hitchfleet.OrganisationID
	shareWeight  int
	route        hitchconfig.Route
	kind         hitchfleet.EndpointKind
	key          hitchfleet.Key
	zone         hitchfleet.AvailabilityZone
	isBatch      bool
	cost         int64
	responseCost int64
	deadline     time.Time
	isIdempotent bool
	// lastServed is the directory entry for the endpoint that served the chat last, as
	// the chat's home router has it. It is valid once isLocated is set.
	lastServed hitchplace.Entry
	isLocated  bool
	// version is the chosen model version, or empty. It can't change once the caller
	// has received a part of the response.
	version        string
	isVersionFixed bool
	// fullVersions are the versions whose engines had no free slot in the current
	// search.
	fullVersions []string
	// failedEndpoints are the endpoints at which an attempt failed.
	failedEndpoints []hitchfleet.EndpointID
	// parts are the messages of the chat, identity is that of the request when it comes again,
	// and traitList has both, once they are needed.
	parts     []hitchfleet.PartID
	identity  hitchquarantine.Identity
	traitList []hitchquarantine.Trait
	// relay is the request as another router sends it; nil if that one relays it already.
	relay *relayRequest
	// maxAttempts is how many attempts this router may make; 0 means maxAttempts.
	maxAttempts int
	// hasTurn is set while the request may be sent although it may have crashed an endpoint,
	// and hasAnswer once the endpoint of the current attempt has begun its answer.
	hasTurn, hasAnswer bool
}

func (chat ChatRequest) proxyRequest() *proxyRequest {
	responseCost := chat.MaxTokens
	if responseCost <= 0 {
		responseCost = defaultResponseCost
	}
	return &proxyRequest{
		organisation: chat.Organisation.ID,
		shareWeight:  chat.Organisation.ShareWeight,
		route:        chat.Route,
		kind:         hitchfleet.KindEngine,
		key:          ChatKey(chat.Organisation.ID, chat.ID),
		zone:         chat.Zone,
		isBatch:      chat.Batch,
		cost:         chat.PromptBytes/bytesPerToken + responseCost,
		responseCost: responseCost,
		deadline:     chat.Call.Deadline,
		isIdempotent: true,
		parts:        chat.Parts,
		identity:     identityOf(chat.Organisation.ID, chat.Route.ID, chat.Call),
		relay: &relayRequest{
			Organisation: chat.Organisation.ID, Route: chat.Route.ID, IsChat: true, Chat: chat.ID, Zone: chat.Zone,
			IsBatch: chat.Batch, PromptBytes: chat.PromptBytes, MaxTokens: chat.MaxTokens, Parts: chat.Parts, Call: chat.Call,
		},
	}
}

func (c ServiceCall) proxyRequest() *proxyRequest {
	return &proxyRequest{
		organisation: c.Organisation.ID,
		shareWeight:  c.Organisation.ShareWeight,
		route:        c.Route,
		kind:         hitchfleet.KindService,
		key:          hitchfleet.KeyOf(string(c.Organisation.ID), c.Call.Path),
		zone:         c.Zone,
		cost:         serviceCost,
		responseCost: serviceCost,
		deadline:     c.Call.Deadline,
		isIdempotent: c.Call.Idempotent,
		identity:     identityOf(c.Organisation.ID, c.Route.ID, c.Call),
		relay:        &relayRequest{Organisation: c.Organisation.ID, Route: c.Route.ID, Zone: c.Zone, Call: c.Call},
	}
}
