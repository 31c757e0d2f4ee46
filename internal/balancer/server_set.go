package balancer

import "ploverhitch/internal/feed"

// Locality is the location of this node.
type Locality struct {
	Node, Zone string
	// SubsetSize limits how many servers of a service the node uses. 0 means all.
	SubsetSize int
}

// ServerSet holds the servers of every service as seen by one node. It is immutable
// except for the state of its endpoints.
type ServerSet struct {
	locality Locality
	services map[string]*serviceEndpoints
	byID     map[string]*Endpoint
}

// NewServerSet returns an empty set.
func NewServerSet(locality Locality) *ServerSet {
	return &ServerSet{locality: locality, services: map[string]*serviceEndpoints{}, byID: map[string]*Endpoint{}}
}

// WithFleet returns the set of the fleet's servers. It keeps the state of servers that
// remain and all state of services whose servers are unchanged, and closes the
// connection pools of removed servers.
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
		case !server.IsReady || server.Admission == feed.Blocked:
		case server.Admission == feed.Canary:
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

// UpdateHealth applies the latency ratios and ejections of a fleet whose servers are
// otherwise those of the set.
func (s *ServerSet) UpdateHealth(fleet feed.Fleet) {
	for _, server := range fleet.Servers {
		if endpoint := s.byID[server.ID]; endpoint != nil {
			endpoint.updateHealth(server)
		}
	}
}

// MarkLeaving excludes servers from every later choice. The platform's list showed that
// they are leaving, which the fleet state may not contain yet.
func (s *ServerSet) MarkLeaving(ids []string) {
	for _, id := range ids {
		if endpoint := s.byID[id]; endpoint != nil {
			endpoint.leaving.Store(true)
		}
	}
}

// Find returns a listed server by its instance ID.
func (s *ServerSet) Find(id string) (endpoint *Endpoint, found bool) {
	endpoint, found = s.byID[id]
	return endpoint, found
}

// canaryName returns the name under which a service's canary version is kept.
func canaryName(service string) string { return service + "\x00trial" }

// InFlight returns the number of requests in flight to the service's version in force.
func (s *ServerSet) InFlight(service string) (count int) {
	for _, endpoint := range s.service(service).all {
		count += int(endpoint.inFlight.Load())
	}
	return count
}

// ReadyCount returns the number of servers of the service that may be chosen.
func (s *ServerSet) ReadyCount(service string) int { return len(s.service(service).all) }

var noEndpoints = &serviceEndpoints{}

func (s *ServerSet) service(name string) *serviceEndpoints {
	if known := s.services[name]; known != nil {
		return known
	}
	return noEndpoints
}

// Size returns the number of listed servers.
func (s *ServerSet) Size() int { return len(s.byID) }
