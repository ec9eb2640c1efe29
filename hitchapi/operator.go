package hitchapi

import (
	"github.com/danielgtaylor/huma/v2"

	"citronhitch.example/citronhitch/hitchrouter"
)

// Operators answers operators.
type Operators struct{}

func (o *Operators) register(huma.API) {}

// withKey hands the caller of a booking a fresh key where that helps.
func (a *API) withKey(_ hitchrouter.ServiceCall, err error) error { return err }
