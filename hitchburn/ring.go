package hitchburn

// Ring is the history of a series at one resolution: one number per bucket, oldest
// first. Newest is the index of the last bucket, counted from the Unix epoch.
// Leading empty buckets are omitted, and Bad is omitted if it is all zeros.
type Ring struct {
	Newest int64
	Total  []uint64
	Bad    []uint64 `json:",omitempty"`
}

// Count is a number of events and how many of them are bad.
type Count struct {
	Total uint64
	Bad   uint64
}

// Plus returns the sum of two counts.
func (c Count) Plus(d Count) Count { return Count{c.Total + d.Total, c.Bad + d.Bad} }

// BadRatio returns the ratio of bad events to all events, or 0 without events.
func (c Count) BadRatio() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total)
}

// appendBucket appends the next bucket. It allocates Bad at the first bad event.
func (r Ring) appendBucket(b bucket) Ring {
	if b.total == 0 && len(r.Total) == 0 {
		return r
	}
	r.Total = append(r.Total, uint64(b.total))
	if b.bad > 0 && r.Bad == nil {
		r.Bad = make([]uint64, len(r.Total)-1, cap(r.Total))
	}
	if r.Bad != nil {
		r.Bad = append(r.Bad, uint64(b.bad))
	}
	return r
}

// countAt returns the count of the bucket with an absolute index.
func (r Ring) countAt(index int64) (c Count) {
	i := index - r.Newest + int64(len(r.Total)) - 1
	if i < 0 || i >= int64(len(r.Total)) {
		return c
	}
	c.Total = r.Total[i]
	if i < int64(len(r.Bad)) {
		c.Bad = r.Bad[i]
	}
	return c
}

// sumLast sums the current bucket and the n complete ones before it.
func (r Ring) sumLast(index int64, n int) (c Count) {
	for s := index - int64(n); s <= index; s++ {
		c = c.Plus(r.countAt(s))
	}
	return c
}

// merge returns the sum of two rings, bucket by bucket, for the newest n buckets.
func (r Ring) merge(o Ring, n int) Ring {
	newest := max(r.Newest, o.Newest)
	oldest := newest - int64(n) + 1
	out := Ring{Newest: newest}
	for s := oldest; s <= newest; s++ {
		out = out.appendCount(r.countAt(s).Plus(o.countAt(s)))
	}
	return out
}

// appendCount appends the count of the next bucket.
func (r Ring) appendCount(c Count) Ring {
	if c.Total == 0 && len(r.Total) == 0 {
		return r
	}
	r.Total = append(r.Total, c.Total)
	r.Bad = append(r.Bad, c.Bad)
	return r
}
