package config

import (
	"encoding/json"
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/timetable"
)

// RouteKind says how often a request on a route may run.
type RouteKind string

// The kinds of routes.
const (
	Safe       RouteKind = "safe"
	Unsafe     RouteKind = "unsafe"
	Idempotent RouteKind = "idempotent"
	Download   RouteKind = "download"
)

// Share is one service's part of a split.
type Share struct {
	Service string  `json:"Service"`
	Weight  float64 `json:"Weight"`
}

// RouteSpec is a route as the operator writes it.
type RouteSpec struct {
	Name          string         `json:"Name"`
	PathPrefix    string         `json:"PathPrefix"`
	RouteType     RouteKind      `json:"RouteType"`
	Timeout       timetable.Span `json:"Timeout"`
	TargetLatency timetable.Span `json:"TargetLatency"`
	Priority      int            `json:"Priority"`
	Service       string         `json:"Service"`
	TrafficSplit  []Share        `json:"TrafficSplit"`
	MaxAttempts   int            `json:"MaxAttempts"`
	Revision      Version        `json:"Revision"`
}

// ServiceSpec is a service as the operator writes it.
type ServiceSpec struct {
	Name            string  `json:"Name"`
	HealthPath      string  `json:"HealthPath"`
	MaxConnections  int     `json:"MaxConnections"`
	IdempotentDedup bool    `json:"IdempotentDedup"`
	Revision        Version `json:"Revision"`
}

// LimitsSpec bounds what a client may send.
type LimitsSpec struct {
	MaxHeaderBytes int            `json:"MaxHeaderBytes"`
	MaxBodyBytes   int64          `json:"MaxBodyBytes"`
	HeaderTimeout  timetable.Span `json:"HeaderTimeout"`
	IdleTimeout    timetable.Span `json:"IdleTimeout"`
	Revision       Version        `json:"Revision"`
}

func (l *RouteSpec) check() error {
	weights := 0.0
	for _, share := range l.TrafficSplit {
		if share.Weight < 0 {
			return validation.NewError("weight", "a weight is below 0")
		}
		weights += share.Weight
	}
	if len(l.TrafficSplit) > 0 && weights <= 0 {
		return validation.NewError("weight", "the weights sum to 0")
	}
	return validation.ValidateStruct(l,
		validation.Field(&l.Name, validation.Required),
		validation.Field(&l.PathPrefix, validation.Required, validation.By(isPrefix)),
		validation.Field(&l.RouteType, validation.Required, validation.In(Safe, Unsafe, Idempotent, Download)),
		validation.Field(&l.Timeout, validation.Required),
		validation.Field(&l.MaxAttempts, validation.Min(0)),
		validation.Field(&l.Service, validation.When(len(l.TrafficSplit) == 0, validation.Required)),
		validation.Field(&l.Revision, validation.Required),
	)
}

func isPrefix(value any) error {
	if p := value.(string); !strings.HasPrefix(p, "/") || !strings.HasSuffix(p, "/") {
		return validation.NewError("prefix", "must begin and end with a slash")
	}
	return nil
}

func (s *ServiceSpec) check() error {
	return validation.ValidateStruct(s,
		validation.Field(&s.Name, validation.Required),
		validation.Field(&s.MaxConnections, validation.Min(0)),
		validation.Field(&s.Revision, validation.Required),
	)
}

func (l *LimitsSpec) check() error {
	return validation.ValidateStruct(l,
		validation.Field(&l.MaxHeaderBytes, validation.Min(0)),
		validation.Field(&l.MaxBodyBytes, validation.Min(int64(0))),
		validation.Field(&l.Revision, validation.Required),
	)
}

// Services names the services that a route may lead to.
//
// Example:
//
//	for _, name := range route.Services() { look(name) }
func (l *RouteSpec) Services() []string {
	if len(l.TrafficSplit) == 0 {
		return []string{l.Service}
	}
	out := make([]string, 0, len(l.TrafficSplit))
	for _, share := range l.TrafficSplit {
		out = append(out, share.Service)
	}
	return out
}

// Check looks at a whole book: every route leads to known services, and no two
// routes share host and prefix. The error names the item.
//
// Example:
//
//	err := trial.Check()
func (b Book) Check() error { return b.CheckRoutes(b.Items()) }

// CheckRoutes checks the routes among the items against the book's services and
// against each other.
//
// Example:
//
//	err := book.CheckRoutes(call.Items)
func (b Book) CheckRoutes(items []Item) error {
	places := map[string]string{}
	for _, item := range items {
		if item.ID.Class != RouteItem || item.Dropped {
			continue
		}
		var lane RouteSpec
		if err := json.Unmarshal(item.Body, &lane); err != nil {
			return apierror.New(apierror.InvalidManifest, "lane "+item.ID.Name+": "+err.Error())
		}
		for _, name := range lane.Services() {
			if service, isKnown := b[ID{ServiceItem, name}]; !isKnown || service.Dropped {
				return apierror.New(apierror.InvalidManifest, "lane "+lane.Name+" names the unknown service "+name)
			}
		}
		place := item.Host + lane.PathPrefix
		if other, isTaken := places[place]; isTaken {
			return apierror.New(apierror.InvalidManifest, "lanes "+other+" and "+lane.Name+" share host and prefix")
		}
		places[place] = lane.Name
	}
	return nil
}

// Accept checks an operator's call against the book: the whole that it would
// make, and the call by itself, whose routes must be valid even where a higher
// version holds. It returns the items that have an effect, and the whole.
//
// Example:
//
//	newer, whole, err := book.Accept(items)
func (b Book) Accept(items []Item) (newer []Item, whole Book, err error) {
	newer, whole = b.Newer(items), b.Clone()
	whole.Merge(newer)
	if err = whole.Check(); err == nil {
		err = whole.CheckRoutes(items)
	}
	return newer, whole, err
}
