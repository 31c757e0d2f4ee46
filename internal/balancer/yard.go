package balancer

import "ploverhitch/internal/feed"

// Home is the place of the node itself.
type Home struct {
	Node, Cell string
	// Set is how many servers of a service the node keeps to, if not 0.
	Set int
}

// Yard is the servers of every service as one node sees them; it never changes
// once made.
type Yard struct {
	home   Home
	stands map[string]*stand
	byID   map[string]*Siding
}

// NewYard makes an empty yard.
//
// Example:
//
//	yard := balancer.NewYard(balancer.Home{Node: "edge-1", Cell: "a", Set: 24})
func NewYard(home Home) *Yard {
	return &Yard{home: home, stands: map[string]*stand{}, byID: map[string]*Siding{}}
}

// Lay makes the yard of a fleet, keeping the sidings of servers that stay, and
// all of a service whose servers are the same.
//
// Example:
//
//	yard = yard.Lay(fleet)
func (y *Yard) Lay(fleet feed.Fleet) *Yard {
	next := NewYard(y.home)
	lists := map[string][]*Siding{}
	for _, server := range fleet.Servers {
		siding := y.byID[server.ID]
		switch {
		case siding == nil:
			siding = newSiding(server)
		case !siding.isSame(server):
			siding = siding.with(server)
		}
		siding.hear(server)
		next.byID[server.ID] = siding
		switch {
		case !server.IsReady || server.Admission == feed.Blocked:
		case server.Admission == feed.OnTrial:
			lists[trialName(server.Service)] = append(lists[trialName(server.Service)], siding)
		default:
			lists[server.Service] = append(lists[server.Service], siding)
		}
	}
	for service, list := range lists {
		next.stands[service] = y.stands[service].change(list, y.home)
	}
	for id, siding := range y.byID {
		if next.byID[id] == nil {
			siding.Rack.Close()
		}
	}
	return next
}

// Hear takes over the paces of a fleet whose servers are otherwise those of the
// yard, without laying anything anew.
//
// Example:
//
//	if feed.EqualIgnoringHealth(fleet.Servers, servers) { yard.Hear(fleet) }
func (y *Yard) Hear(fleet feed.Fleet) {
	for _, server := range fleet.Servers {
		if siding := y.byID[server.ID]; siding != nil {
			siding.hear(server)
		}
	}
}

// Leave takes the servers out of every choice for good: the platform's list showed
// that they leave, and the fleet may not say so yet.
//
// Example:
//
//	yard.Leave(news.Leaving)
func (y *Yard) Leave(ids []string) {
	for _, id := range ids {
		if siding := y.byID[id]; siding != nil {
			siding.isLeaving.Store(true)
		}
	}
}

// Find is a listed server by its instance.
//
// Example:
//
//	if siding, isThere := yard.Find(id); isThere { look(siding) }
func (y *Yard) Find(id string) (siding *Siding, isThere bool) {
	siding, isThere = y.byID[id]
	return siding, isThere
}

// trialName is the stand of a service's version on trial.
func trialName(service string) string { return service + "\x00trial" }

// AtWork is how many inquiries are under way at a service's version in force.
//
// Example:
//
//	isLeft := yard.AtWork(service) == 0
func (y *Yard) AtWork(service string) (count int) {
	for _, siding := range y.stand(service).list {
		count += int(siding.atWork.Load())
	}
	return count
}

// Ready is how many servers of the service may be chosen.
//
// Example:
//
//	if yard.Ready(service) == 0 { refuse() }
func (y *Yard) Ready(service string) int { return len(y.stand(service).list) }

var noStand = &stand{}

func (y *Yard) stand(service string) *stand {
	if known := y.stands[service]; known != nil {
		return known
	}
	return noStand
}

// Size is how many servers are listed.
//
// Example:
//
//	isKnown := yard.Size() > 0
func (y *Yard) Size() int { return len(y.byID) }
