package config

import (
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"ploverhitch/internal/bounded"
	"ploverhitch/internal/clock"
)

// RouteType states how often a request on a route may run.
type RouteType string

// The types of routes.
const (
	Safe       RouteType = "safe"
	Unsafe     RouteType = "unsafe"
	Idempotent RouteType = "idempotent"
	Download   RouteType = "download"
)

// WeightedService is a service with its weight in a traffic split.
type WeightedService struct {
	Service string        `json:"Service"`
	Weight  bounded.Float `json:"Weight"`
}

// RouteSpec is a route as the operator configures it.
type RouteSpec struct {
	Name          string            `json:"Name"`
	PathPrefix    string            `json:"PathPrefix"`
	RouteType     RouteType         `json:"RouteType"`
	Timeout       clock.Duration    `json:"Timeout"`
	TargetLatency clock.Duration    `json:"TargetLatency"`
	Priority      bounded.Count     `json:"Priority"`
	Service       string            `json:"Service"`
	TrafficSplit  []WeightedService `json:"TrafficSplit"`
	// MaxAttempts is the greatest number of servers to which one attempt of a client may be
	// sent. A number below 1 means 1.
	MaxAttempts bounded.Count `json:"MaxAttempts"`
	Revision    Version       `json:"Revision"`
}

// ServiceSpec is a service as the operator configures it.
type ServiceSpec struct {
	Name       string `json:"Name"`
	HealthPath string `json:"HealthPath"`
	// MaxConnections is how many connections one server accepts from all proxies together. A number
	// below 1 means no limit.
	MaxConnections  bounded.Count `json:"MaxConnections"`
	IdempotentDedup bool          `json:"IdempotentDedup"`
	Revision        Version       `json:"Revision"`
}

// LimitsSpec limits the size and duration of client requests.
type LimitsSpec struct {
	// MaxHeaderBytes limits the request line and header; below 1 it sets no limit of its own.
	MaxHeaderBytes bounded.Bytes  `json:"MaxHeaderBytes"`
	MaxBodyBytes   bounded.Bytes  `json:"MaxBodyBytes"`
	HeaderTimeout  clock.Duration `json:"HeaderTimeout"`
	IdleTimeout    clock.Duration `json:"IdleTimeout"`
	Revision       Version        `json:"Revision"`
}

func (r *RouteSpec) check() error {
	highest := bounded.Float(0)
	for _, share := range r.TrafficSplit {
		if share.Weight < 0 {
			return validation.NewError("weight", "a weight of the traffic split is below 0")
		}
		highest = max(highest, share.Weight)
	}
	if len(r.TrafficSplit) > 0 && highest == 0 {
		return validation.NewError("weight", "the weights of the traffic split sum to 0")
	}
	return validation.ValidateStruct(r,
		validation.Field(&r.Name, validation.Required),
		validation.Field(&r.PathPrefix, validation.Required, validation.By(validPrefix)),
		validation.Field(&r.RouteType, validation.Required, validation.In(Safe, Unsafe, Idempotent, Download)),
		validation.Field(&r.Timeout, validation.Required),
		validation.Field(&r.Service, validation.When(len(r.TrafficSplit) == 0, validation.Required)),
		validation.Field(&r.Revision, validation.Required),
	)
}

func validPrefix(value any) error {
	if prefix := value.(string); !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		return validation.NewError("prefix", "must begin and end with a slash")
	}
	return nil
}

func (s *ServiceSpec) check() error {
	return validation.ValidateStruct(s,
		validation.Field(&s.Name, validation.Required),
		validation.Field(&s.Revision, validation.Required),
	)
}

func (l *LimitsSpec) check() error {
	return validation.ValidateStruct(l,
		validation.Field(&l.Revision, validation.Required),
	)
}

// Services returns the names of the services that the route may deliver to.
func (r *RouteSpec) Services() []string {
	if len(r.TrafficSplit) == 0 {
		return []string{r.Service}
	}
	out := make([]string, 0, len(r.TrafficSplit))
	for _, share := range r.TrafficSplit {
		out = append(out, share.Service)
	}
	return out
}
