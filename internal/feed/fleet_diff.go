package feed

import "slices"

// ChangeOf is the fleet as a change of an older one: what is new or different, and
// what has gone. Both must be whole.
//
// Example:
//
//	hub.send(fleet.ChangeOf(old))
func (f Fleet) DiffFrom(old Fleet) Fleet {
	change, since := f, old.Version()
	change.Servers, change.Base = nil, &since
	had, at := old.Servers, uint32(0)
	next := func() { had, at = had[1:], at+1 }
	for _, server := range f.Servers {
		for len(had) > 0 && had[0].ID < server.ID {
			change.Removed = append(change.Removed, had[0].ID)
			next()
		}
		if len(had) == 0 || had[0].ID != server.ID {
			change.Servers = append(change.Servers, server)
			continue
		}
		paced := had[0]
		paced.RelativeLatency = server.RelativeLatency
		switch {
		case had[0] == server:
		case paced == server && server.RelativeLatency >= 0:
			change.RelativeLatencies = append(change.RelativeLatencies, at, uint32(server.RelativeLatency))
		default:
			change.Servers = append(change.Servers, server)
		}
		next()
	}
	for _, server := range had {
		change.Removed = append(change.Removed, server.ID)
	}
	return change
}

// With is the fleet after a change of it.
//
// Example:
//
//	board.Fleet = board.Fleet.With(change)
func (f Fleet) Apply(change Fleet) Fleet {
	next, changed, old := change, change.Servers, f.Servers
	next.Base, next.Removed, next.RelativeLatencies, next.Servers = nil, nil, nil, old
	if len(change.RelativeLatencies) > 0 {
		old = slices.Clone(old)
		for i := 0; i+1 < len(change.RelativeLatencies); i += 2 {
			if at := int(change.RelativeLatencies[i]); at < len(old) {
				old[at].RelativeLatency = int(change.RelativeLatencies[i+1])
			}
		}
		next.Servers = old
	}
	if len(changed) == 0 && len(change.Removed) == 0 {
		return next
	}
	next.Servers = make([]Server, 0, len(old)+len(changed))
	gone := map[string]bool{}
	for _, id := range change.Removed {
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
func EqualIgnoringHealth(a, z []Server) bool {
	return slices.EqualFunc(a, z, func(x, y Server) bool {
		x.RelativeLatency, x.Ejected = y.RelativeLatency, y.Ejected
		return x == y
	})
}
