package hitchview

// maxChanges bounds the changes that an instance keeps for others.
const maxChanges = 512

// changes are the last messages that an instance took in, for the instances that
// follow it. The zero value has none.
type changes struct {
	// floor is the revision behind which all changes are here.
	floor    int64
	messages []Msg
}

// add takes in a batch.
func (c *changes) add(b Batch) {
	if b.IsSnapshot {
		c.floor, c.messages = b.Revision, nil
		return
	}
	c.messages = append(c.messages, b.Messages...)
	if drop := len(c.messages) - maxChanges; drop > 0 {
		c.floor = max(c.floor, revisionOf(c.messages[drop-1]))
		c.messages = append([]Msg(nil), c.messages[drop:]...)
	}
}

// after returns the messages behind a revision, only the last one of each entry,
// and false if some aren't here any more.
func (c *changes) after(revision int64) ([]Msg, bool) {
	if revision < c.floor || c.floor == 0 {
		return nil, false
	}
	last := make(map[any]int)
	for i, msg := range c.messages {
		if revisionOf(msg) > revision {
			last[entryOf(msg)] = i
		}
	}
	var out []Msg
	for i, msg := range c.messages {
		if at, ok := last[entryOf(msg)]; ok && at == i {
			out = append(out, msg)
		}
	}
	return out, true
}

// revisionOf returns the revision that made a change.
func revisionOf(msg Msg) int64 {
	switch m := msg.(type) {
	case TableMsg:
		return m.Revision
	case EndpointMsg:
		return m.Revision
	case EndpointGoneMsg:
		return m.Revision
	case InstanceMsg:
		return m.Revision
	case InstanceGoneMsg:
		return m.Revision
	case ZoneOutMsg:
		return m.Revision
	case ZoneBackMsg:
		return m.Revision
	default:
		return 0
	}
}

// entryOf returns what a change is about.
func entryOf(msg Msg) any {
	switch m := msg.(type) {
	case EndpointMsg:
		return m.Endpoint.ID
	case EndpointGoneMsg:
		return m.ID
	case InstanceMsg:
		return m.Instance.ID
	case InstanceGoneMsg:
		return m.ID
	case ZoneOutMsg:
		return m.Zone
	case ZoneBackMsg:
		return m.Zone
	default:
		return nil
	}
}
