package hitchview

import "errors"

// ErrCompacted means that the store has compacted the requested revisions.
var ErrCompacted = errors.New("hitchview: the store has compacted the requested revisions")

func isCompacted(err error) bool { return errors.Is(err, ErrCompacted) }
