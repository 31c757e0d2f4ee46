package config

import (
	"encoding/json"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/mirror"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/sites"
)

// extensions are the classes of items beyond the configuration protocol, with their
// label in error messages and the validation of a single item.
var extensions = map[Class]struct {
	label string
	check func(body json.RawMessage) error
}{
	SiteItem: {"site", func(body json.RawMessage) error { return json.Unmarshal(body, &sites.Site{}) }},
	PlanItem: {"plan", func(body json.RawMessage) error { return json.Unmarshal(body, &shedding.Plan{}) }},
	MirrorItem: {"mirror", func(body json.RawMessage) error {
		var mirror mirror.Mirror
		if err := json.Unmarshal(body, &mirror); err != nil {
			return err
		}
		return mirror.Check()
	}},
}

// ModifyParser returns a parser of requests that set and remove items of an extension class.
func ModifyParser(class Class) func(text []byte) ([]Item, error) {
	extension := extensions[class]
	return func(text []byte) (items []Item, err error) {
		var request struct {
			Upsert []json.RawMessage `json:"Upsert"`
			Remove []itemVersion     `json:"Remove"`
		}
		if err := json.Unmarshal(text, &request); err != nil {
			return nil, invalid("the request cannot be read", err)
		}
		for _, body := range request.Upsert {
			var version itemVersion
			if err := json.Unmarshal(body, &version); err != nil {
				return nil, invalid(extension.label+" "+version.Name, err)
			}
			if version.Name == "" || version.Revision == 0 {
				return nil, apierror.New(apierror.InvalidConfiguration, "a "+extension.label+" has no name or version")
			}
			if err := extension.check(body); err != nil {
				return nil, invalid(extension.label+" "+version.Name, err)
			}
			items = append(items, Item{ID: ID{class, version.Name}, Version: version.Revision, Body: body})
		}
		for _, removal := range request.Remove {
			if removal.Name == "" || removal.Revision == 0 {
				return nil, apierror.New(apierror.InvalidConfiguration, "a removal has no name or version")
			}
			items = append(items, Item{ID: ID{class, removal.Name}, Version: removal.Revision, Removed: true})
		}
		return items, nil
	}
}

// decodeClass decodes the items of one class. Bodies that cannot be decoded are skipped:
// validation rejects them before they are stored.
func decodeClass[T any](s ItemSet, class Class) (out []T, versions []Version) {
	for _, item := range s.Items() {
		var value T
		if item.ID.Class == class && !item.Removed && json.Unmarshal(item.Body, &value) == nil {
			out, versions = append(out, value), append(versions, item.Version)
		}
	}
	return out, versions
}

// Tree builds the site tree from the set's sites and the platform's zones.
func (s ItemSet) Tree(zones map[string]string) (*sites.Tree, error) {
	declared, _ := decodeClass[sites.Site](s, SiteItem)
	return sites.Build(zones, declared)
}

// Plan returns the operator's plan of load shedding tiers, or an empty plan.
func (s ItemSet) Plan() (plan shedding.Plan) {
	if plans, _ := decodeClass[shedding.Plan](s, PlanItem); len(plans) > 0 {
		plan = plans[0]
	}
	return plan
}

// overloadKinds maps route types to their kinds in the order of load shedding.
var overloadKinds = map[RouteType]shedding.Kind{
	Idempotent: shedding.Keyed, Unsafe: shedding.Once, Safe: shedding.Read, Download: shedding.Bulk,
}

// sheddingRoute returns the properties of the route that decide its load shedding tier.
func (r *RouteSpec) sheddingRoute(host string) shedding.Route {
	return shedding.Route{Name: r.Name, Host: host, Priority: int(r.Priority), Kind: overloadKinds[r.RouteType]}
}

func (s ItemSet) sheddingRoutes() (out []shedding.Route) {
	s.eachRoute(func(route RouteSpec, host string) { out = append(out, route.sheddingRoute(host)) })
	return out
}

func (s ItemSet) mirrorRoutes() (out []mirror.Route) {
	s.eachRoute(func(route RouteSpec, host string) {
		out = append(out, mirror.Route{Name: route.Name, Host: host, Services: route.Services()})
	})
	return out
}

func (s ItemSet) eachRoute(visit func(route RouteSpec, host string)) {
	for _, item := range s.Items() {
		var route RouteSpec
		if item.ID.Class == RouteItem && !item.Removed && json.Unmarshal(item.Body, &route) == nil {
			visit(route, item.Host)
		}
	}
}

// Mirrors returns the configured mirrors and their versions.
func (s ItemSet) Mirrors() ([]mirror.Mirror, []Version) {
	return decodeClass[mirror.Mirror](s, MirrorItem)
}

// CheckExtensions validates the extension items of an updated set against its routes and
// services. All mirrors are checked on every update, as no route may deliver to a shadow
// service; plans, and the routes that mirrors name, only where the update contains them.
func (s ItemSet) CheckExtensions(newer []Item, now time.Time) error {
	serviceExists := func(name string) bool {
		item, found := s[ID{ServiceItem, name}]
		return found && !item.Removed
	}
	mirrors, _ := s.Mirrors()
	var routes []mirror.Route
	if len(mirrors) > 0 {
		routes = s.mirrorRoutes()
		if err := mirror.CheckAll(mirrors, routes, serviceExists, now); err != nil {
			return apierror.New(apierror.InvalidConfiguration, err.Error())
		}
	}
	for _, item := range newer {
		var err error
		switch {
		case item.Removed:
		case item.ID.Class == PlanItem:
			err = s.checkPlan(item)
		case item.ID.Class == MirrorItem:
			var mirror mirror.Mirror
			if err = json.Unmarshal(item.Body, &mirror); err == nil {
				err = mirror.CheckReferences(routes)
			}
		}
		if err != nil {
			return apierror.New(apierror.InvalidConfiguration, err.Error())
		}
	}
	return nil
}

func (s ItemSet) checkPlan(item Item) error {
	var plan shedding.Plan
	if err := json.Unmarshal(item.Body, &plan); err != nil {
		return err
	}
	if plans, _ := decodeClass[shedding.Plan](s, PlanItem); len(plans) > 1 {
		return apierror.New(apierror.InvalidConfiguration, "plans "+plans[0].Name+" and "+plans[1].Name+" exist; only one plan is allowed")
	}
	return plan.Check(s.sheddingRoutes())
}
