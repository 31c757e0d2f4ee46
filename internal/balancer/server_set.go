package balancer

import "ploverhitch/internal/feed"

// Home is the place of the node itself.
type Locality struct {
	Node, Zone string
	// Set is how many servers of a service the node keeps to, if not 0.
	SubsetSize int
}

// Yard is the servers of every service as one node sees them; it never changes
// once made.
type ServerSet struct {
	locality Locality
	services map[string]*serviceEndpoints
	byID     map[string]*Endpoint
}

// NewYard makes an empty yard.
//
// Example:
//
//	yard := balancer.NewYard(balancer.Home{Node: "edge-1", Cell: "a", Set: 24})
func NewServerSet(locality Locality) *ServerSet {
	return &ServerSet{locality: locality, services: map[string]*serviceEndpoints{}, byID: map[string]*Endpoint{}}
}

// Lay makes the yard of a fleet, keeping the sidings of servers that stay, and
// all of a service whose servers are the same.
//
// Example:
//
//	yard = yard.Lay(fleet)
func (s *ServerSet) WithFleet(fleet feed.Fleet) *ServerSet {
	next := NewServerSet(s.locality)
	byService := map[string][]*Endpoint{}
	for _, server := range fleet.Servers {
		endpoint := s.byID[server.ID]
		switch {
		case endpoint == nil:
			endpoint = newEndpoint(server)
		case !endpoint.sameListing(server):
			endpoint = endpoint.withListing(server)
		}
		endpoint.updateHealth(server)
		next.byID[server.ID] = endpoint
		switch {
		case !server.IsReady || server.Grade == feed.Shut:
		case server.Grade == feed.OnTrial:
			byService[canaryName(server.Service)] = append(byService[canaryName(server.Service)], endpoint)
		default:
			byService[server.Service] = append(byService[server.Service], endpoint)
		}
	}
	for service, endpoints := range byService {
		next.services[service] = s.services[service].withEndpoints(endpoints, s.locality)
	}
	for id, endpoint := range s.byID {
		if next.byID[id] == nil {
			endpoint.Pool.Close()
		}
	}
	return next
}

// Hear takes over the paces of a fleet whose servers are otherwise those of the
// yard, without laying anything anew.
//
// Example:
//
//	if feed.IsKeptAs(fleet.Servers, servers) { yard.Hear(fleet) }
func (s *ServerSet) UpdateHealth(fleet feed.Fleet) {
	for _, server := range fleet.Servers {
		if endpoint := s.byID[server.ID]; endpoint != nil {
			endpoint.updateHealth(server)
		}
	}
}

// Leave takes the servers out of every choice for good: the platform's list showed
// that they leave, and the fleet may not say so yet.
//
// Example:
//
//	yard.Leave(news.Leaving)
func (s *ServerSet) MarkLeaving(ids []string) {
	for _, id := range ids {
		if endpoint := s.byID[id]; endpoint != nil {
			endpoint.leaving.Store(true)
		}
	}
}

// Find is a listed server by its instance.
//
// Example:
//
//	if siding, isThere := yard.Find(id); isThere { look(siding) }
func (s *ServerSet) Find(id string) (endpoint *Endpoint, found bool) {
	endpoint, found = s.byID[id]
	return endpoint, found
}

// trialName is the stand of a service's version on trial.
func canaryName(service string) string { return service + "\x00trial" }

// AtWork is how many inquiries are under way at a service's version in force.
//
// Example:
//
//	isLeft := yard.AtWork(service) == 0
func (s *ServerSet) InFlight(service string) (count int) {
	for _, endpoint := range s.service(service).all {
		count += int(endpoint.inFlight.Load())
	}
	return count
}

// Ready is how many servers of the service may be chosen.
//
// Example:
//
//	if yard.Ready(service) == 0 { refuse() }
func (s *ServerSet) ReadyCount(service string) int { return len(s.service(service).all) }

var noEndpoints = &serviceEndpoints{}

func (s *ServerSet) service(name string) *serviceEndpoints {
	if known := s.services[name]; known != nil {
		return known
	}
	return noEndpoints
}

// Size is how many servers are listed.
//
// Example:
//
//	isKnown := yard.Size() > 0
func (s *ServerSet) Size() int { return len(s.byID) }
