package feed

import "slices"

// ChangeOf is the fleet as a change of an older one: what is new or different, and
// what has gone. Both must be whole.
//
// Example:
//
//	hub.send(fleet.ChangeOf(old))
func (f Fleet) ChangeOf(old Fleet) Fleet {
	change, since := f, old.Reading()
	change.Servers, change.Since = nil, &since
	had, at := old.Servers, uint32(0)
	next := func() { had, at = had[1:], at+1 }
	for _, server := range f.Servers {
		for len(had) > 0 && had[0].ID < server.ID {
			change.Gone = append(change.Gone, had[0].ID)
			next()
		}
		if len(had) == 0 || had[0].ID != server.ID {
			change.Servers = append(change.Servers, server)
			continue
		}
		paced := had[0]
		paced.Pace = server.Pace
		switch {
		case had[0] == server:
		case paced == server && server.Pace >= 0:
			change.Paces = append(change.Paces, at, uint32(server.Pace))
		default:
			change.Servers = append(change.Servers, server)
		}
		next()
	}
	for _, server := range had {
		change.Gone = append(change.Gone, server.ID)
	}
	return change
}

// With is the fleet after a change of it.
//
// Example:
//
//	board.Fleet = board.Fleet.With(change)
func (f Fleet) With(change Fleet) Fleet {
	next, changed, old := change, change.Servers, f.Servers
	next.Since, next.Gone, next.Paces, next.Servers = nil, nil, nil, old
	if len(change.Paces) > 0 {
		old = slices.Clone(old)
		for i := 0; i+1 < len(change.Paces); i += 2 {
			if at := int(change.Paces[i]); at < len(old) {
				old[at].Pace = int(change.Paces[i+1])
			}
		}
		next.Servers = old
	}
	if len(changed) == 0 && len(change.Gone) == 0 {
		return next
	}
	next.Servers = make([]Server, 0, len(old)+len(changed))
	gone := map[string]bool{}
	for _, id := range change.Gone {
		gone[id] = true
	}
	for _, server := range old {
		for len(changed) > 0 && changed[0].ID < server.ID {
			next.Servers, changed = append(next.Servers, changed[0]), changed[1:]
		}
		switch {
		case len(changed) > 0 && changed[0].ID == server.ID:
			next.Servers, changed = append(next.Servers, changed[0]), changed[1:]
		case !gone[server.ID]:
			next.Servers = append(next.Servers, server)
		}
	}
	next.Servers = append(next.Servers, changed...)
	return next
}

// IsKeptAs tells whether two lists are the same in what is worth a writing on
// disk: paces and what is set aside are found anew after a loss.
//
// Example:
//
//	if !feed.IsKeptAs(fleet.Servers, held.Servers) { write(fleet) }
func IsKeptAs(a, z []Server) bool {
	return slices.EqualFunc(a, z, func(x, y Server) bool {
		x.Pace, x.IsAside = y.Pace, y.IsAside
		return x == y
	})
}
