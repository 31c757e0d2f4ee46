package idempotency

// rememberedReleases is the number of released attempts that a voter remembers.
const rememberedReleases = 8192

// releasedAttempts remembers the attempts that were released last, so that a vote request
// or record of theirs that is read late, from a connection that was given up or from a
// member that missed the release, doesn't reserve their key again. That would not let a
// key run twice, but would block it until its window ends. The memory isn't persisted: the
// connections that a restarted member had are closed.
type releasedAttempts struct {
	known map[Attempt]bool
	// ring holds the known attempts; once it is full, next is the oldest.
	ring []Attempt
	next int
}

func (r *releasedAttempts) contains(attempt Attempt) bool { return r.known[attempt] }

func (r *releasedAttempts) add(attempt Attempt) {
	if r.known[attempt] {
		return
	}
	if r.known == nil {
		r.known = map[Attempt]bool{}
	}
	r.known[attempt] = true
	if len(r.ring) < rememberedReleases {
		r.ring = append(r.ring, attempt)
		return
	}
	delete(r.known, r.ring[r.next])
	r.ring[r.next] = attempt
	r.next = (r.next + 1) % rememberedReleases
}
