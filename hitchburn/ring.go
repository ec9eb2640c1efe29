package hitchburn

// Ring is the history of a series at one resolution: one number per bucket,
// oldest first, ending at the bucket numbered Newest since the Unix epoch. The
// oldest buckets are left out as long as they are empty, and Bad is left out
// while it is zero throughout.
type Ring struct {
	Newest int64
	Total  []uint64
	Bad    []uint64 `json:",omitempty"`
}

// Count is the number of events and of those that are bad.
type Count struct {
	Total uint64
	Bad   uint64
}

// Plus returns the sum of two counts.
func (c Count) Plus(d Count) Count { return Count{c.Total + d.Total, c.Bad + d.Bad} }

// BadShare returns the share of bad events, or 0 if there are none.
func (c Count) BadShare() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total)
}

// with appends the next bucket.
func (r Ring) with(b bucket) Ring {
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

// at returns the count of a bucket.
func (r Ring) at(slot int64) (c Count) {
	i := slot - r.Newest + int64(len(r.Total)) - 1
	if i < 0 || i >= int64(len(r.Total)) {
		return c
	}
	c.Total = r.Total[i]
	if i < int64(len(r.Bad)) {
		c.Bad = r.Bad[i]
	}
	return c
}

// sum counts the bucket that is being filled and the n whole ones before it.
func (r Ring) sum(slot int64, n int) (c Count) {
	for s := slot - int64(n); s <= slot; s++ {
		c = c.Plus(r.at(s))
	}
	return c
}

// plus returns the sum of two rings, bucket by bucket, of at most n buckets.
func (r Ring) plus(o Ring, n int) Ring {
	newest := max(r.Newest, o.Newest)
	oldest := newest - int64(n) + 1
	out := Ring{Newest: newest}
	for s := oldest; s <= newest; s++ {
		out = out.withCount(r.at(s).Plus(o.at(s)))
	}
	return out
}

// withCount appends the next bucket.
func (r Ring) withCount(c Count) Ring {
	if c.Total == 0 && len(r.Total) == 0 {
		return r
	}
	r.Total = append(r.Total, c.Total)
	r.Bad = append(r.Bad, c.Bad)
	return r
}
