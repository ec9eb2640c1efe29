package hitchfleet

import "strconv"

// RunID identifies one run of an endpoint, from its start to its end, in four bytes.
type RunID uint32

// RunIDOf returns the ID of the run of an endpoint that began at born, in Unix
// milliseconds.
func RunIDOf(id EndpointID, born int64) RunID {
	return RunID(KeyOf(string(id), strconv.FormatInt(born, 10)))
}

// Run returns the ID of the endpoint's present run.
func (e Endpoint) Run() RunID { return RunIDOf(e.ID, e.Born) }
