package feed

import "slices"

// DiffFrom returns the difference from an older fleet: new, changed and removed servers.
// Neither fleet may be a diff.
func (f Fleet) DiffFrom(old Fleet) Fleet {
	change, base := f, old.Version()
	change.Servers, change.Base = nil, &base
	remaining, index := old.Servers, uint32(0)
	advance := func() { remaining, index = remaining[1:], index+1 }
	for _, server := range f.Servers {
		for len(remaining) > 0 && remaining[0].ID < server.ID {
			change.Removed = append(change.Removed, remaining[0].ID)
			advance()
		}
		if len(remaining) == 0 || remaining[0].ID != server.ID {
			change.Servers = append(change.Servers, server)
			continue
		}
		updated := remaining[0]
		updated.RelativeLatency = server.RelativeLatency
		switch {
		case remaining[0] == server:
		case updated == server && server.RelativeLatency >= 0:
			change.RelativeLatencies = append(change.RelativeLatencies, index, uint32(server.RelativeLatency))
		default:
			change.Servers = append(change.Servers, server)
		}
		advance()
	}
	for _, server := range remaining {
		change.Removed = append(change.Removed, server.ID)
	}
	return change
}

// Apply returns the fleet after a diff.
func (f Fleet) Apply(change Fleet) Fleet {
	next, changed, old := change, change.Servers, f.Servers
	next.Base, next.Removed, next.RelativeLatencies, next.Servers = nil, nil, nil, old
	if len(change.RelativeLatencies) > 0 {
		old = slices.Clone(old)
		for i := 0; i+1 < len(change.RelativeLatencies); i += 2 {
			if index := int(change.RelativeLatencies[i]); index < len(old) {
				old[index].RelativeLatency = int(change.RelativeLatencies[i+1])
			}
		}
		next.Servers = old
	}
	if len(changed) == 0 && len(change.Removed) == 0 {
		return next
	}
	next.Servers = make([]Server, 0, len(old)+len(changed))
	removed := map[string]bool{}
	for _, id := range change.Removed {
		removed[id] = true
	}
	for _, server := range old {
		for len(changed) > 0 && changed[0].ID < server.ID {
			next.Servers, changed = append(next.Servers, changed[0]), changed[1:]
		}
		switch {
		case len(changed) > 0 && changed[0].ID == server.ID:
			next.Servers, changed = append(next.Servers, changed[0]), changed[1:]
		case !removed[server.ID]:
			next.Servers = append(next.Servers, server)
		}
	}
	next.Servers = append(next.Servers, changed...)
	return next
}

// EqualIgnoringHealth reports whether two lists are equal apart from relative latency and
// ejection. Those are not worth a disk write: they are measured anew after a loss.
func EqualIgnoringHealth(a, b []Server) bool {
	return slices.EqualFunc(a, b, func(x, y Server) bool {
		x.RelativeLatency, x.Ejected = y.RelativeLatency, y.Ejected
		return x == y
	})
}
