package hitchstore

import "context"

// Range is a key, or all keys with a prefix.
type Range struct {
	start string
	end   string
}

// Key returns the range of one key.
func Key(key string) Range { return Range{start: key} }

// Prefix returns the range of all keys with a prefix. The empty prefix matches all
// keys.
func Prefix(prefix string) Range {
	if prefix == "" {
		return Range{start: "\x00", end: "\x00"}
	}
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return Range{start: prefix, end: string(end[:i+1])}
		}
	}
	return Range{start: prefix, end: "\x00"}
}

func (r Range) request() wireRange {
	return wireRange{Key: []byte(r.start), RangeEnd: []byte(r.end)}
}

// Get reads a key. If the key doesn't exist, the entry has Exists false and Revision 0,
// and the error is nil. Errors are of type *UnavailableError.
func (c *Client) Get(ctx context.Context, key string) (entry Entry, err error) {
	entries, _, err := c.read(ctx, Key(key))
	if err != nil {
		return Entry{}, err
	}
	if len(entries) == 0 {
		return Entry{Key: key}, nil
	}
	return entries[0], nil
}

// List reads all keys with a prefix, sorted by key. Errors are of type
// *UnavailableError.
func (c *Client) List(ctx context.Context, prefix string) (entries []Entry, err error) {
	entries, _, err = c.read(ctx, Prefix(prefix))
	return entries, err
}

// read returns the entries of a range and the revision of the store.
func (c *Client) read(ctx context.Context, r Range) (entries []Entry, at Revision, err error) {
	defer func() {
		if err != nil {
			err = &UnavailableError{Key: r.start, Err: err}
		}
	}()
	var response wireRangeResponse
	if err := c.retry(ctx, pathRange, r.request(), &response); err != nil {
		return nil, 0, err
	}
	for _, kv := range response.KVs {
		entries = append(entries, decodeEntry(kv))
	}
	return entries, Revision(response.Header.Revision), nil
}
