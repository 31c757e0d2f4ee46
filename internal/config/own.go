package config

import (
	"encoding/json"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/loopline"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/sites"
)

// ownItems are the kinds of items of the project's own, apart from the protocol's
// calls: the word for one, and how it is checked by itself.
var ownItems = map[Class]struct {
	word  string
	check func(body json.RawMessage) error
}{
	SiteItem: {"site", func(body json.RawMessage) error { return json.Unmarshal(body, &sites.Site{}) }},
	PlanItem: {"plan", func(body json.RawMessage) error { return json.Unmarshal(body, &shedding.Plan{}) }},
	MirrorItem: {"mirror", func(body json.RawMessage) error {
		var mirror loopline.Mirror
		if err := json.Unmarshal(body, &mirror); err != nil {
			return err
		}
		return mirror.Check()
	}},
}

// Parser reads an operator's call that sets and removes items of a class of the
// project's own.
//
// Example:
//
//	items, err := config.Parser(config.SiteItem)(body)
func Parser(class Class) func(text []byte) ([]Item, error) {
	own := ownItems[class]
	return func(text []byte) (items []Item, err error) {
		var call struct {
			Upsert []json.RawMessage `json:"Upsert"`
			Remove []mark            `json:"Remove"`
		}
		if err := json.Unmarshal(text, &call); err != nil {
			return nil, bad("the call cannot be read", err)
		}
		for _, body := range call.Upsert {
			var head mark
			if err := json.Unmarshal(body, &head); err != nil {
				return nil, bad(own.word+" "+head.Name, err)
			}
			if head.Name == "" || head.Revision == 0 {
				return nil, apierror.New(apierror.BadManifest, "a "+own.word+" lacks its name or version")
			}
			if err := own.check(body); err != nil {
				return nil, bad(own.word+" "+head.Name, err)
			}
			items = append(items, Item{ID: ID{class, head.Name}, Version: head.Revision, Body: body})
		}
		for _, m := range call.Remove {
			if m.Name == "" || m.Revision == 0 {
				return nil, apierror.New(apierror.BadManifest, "a removal lacks its name or version")
			}
			items = append(items, Item{ID: ID{class, m.Name}, Version: m.Revision, Dropped: true})
		}
		return items, nil
	}
}

// own reads the book's items of one class; what cannot be read was never kept.
func own[T any](b Book, class Class) (out []T, versions []Version) {
	for _, item := range b.Items() {
		var one T
		if item.ID.Class == class && !item.Dropped && json.Unmarshal(item.Body, &one) == nil {
			out, versions = append(out, one), append(versions, item.Version)
		}
	}
	return out, versions
}

// Tree lays the site tree of the book over the platform's cells.
//
// Example:
//
//	tree, err := book.Tree(map[string]string{"tvm-a": "tvm"})
func (b Book) Tree(cells map[string]string) (*sites.Tree, error) {
	declared, _ := own[sites.Site](b, SiteItem)
	return sites.Build(cells, declared)
}

// Plan is the operator's plan tiers, or the empty plan.
//
// Example:
//
//	order := shedding.NewOrder(book.Plan(), routes)
func (b Book) Plan() (plan shedding.Plan) {
	if plans, _ := own[shedding.Plan](b, PlanItem); len(plans) > 0 {
		plan = plans[0]
	}
	return plan
}

// gaugeKinds is the table from a route's type to its kind in the order of tiers.
var gaugeKinds = map[RouteKind]shedding.Kind{
	Idempotent: shedding.Keyed, Unsafe: shedding.Once, Safe: shedding.Read, Download: shedding.Bulk,
}

// gaugeLane is what the order of tiers knows of a route.
func (l *RouteSpec) gaugeLane(host string) shedding.Route {
	return shedding.Route{Name: l.Name, Host: host, Priority: l.Priority, Kind: gaugeKinds[l.RouteType]}
}

func (b Book) gaugeLanes() (out []shedding.Route) {
	b.eachLane(func(lane RouteSpec, host string) { out = append(out, lane.gaugeLane(host)) })
	return out
}

func (b Book) mirrorLanes() (out []loopline.Lane) {
	b.eachLane(func(lane RouteSpec, host string) {
		out = append(out, loopline.Lane{Name: lane.Name, Host: host, Services: lane.Services()})
	})
	return out
}

func (b Book) eachLane(visit func(lane RouteSpec, host string)) {
	for _, item := range b.Items() {
		var lane RouteSpec
		if item.ID.Class == RouteItem && !item.Dropped && json.Unmarshal(item.Body, &lane) == nil {
			visit(lane, item.Host)
		}
	}
}

// Mirrors are the orders to copy, with their versions.
//
// Example:
//
//	mirrors, versions := book.Mirrors()
func (b Book) Mirrors() ([]loopline.Mirror, []Version) { return own[loopline.Mirror](b, MirrorItem) }

// CheckOwn holds a changed book's own items against its routes and services: the
// mirrors always, as no route may come to deliver to a shadow; plans and names of
// routes where the change brings them.
//
// Example:
//
//	err := whole.CheckOwn(newer, time.Now())
func (b Book) CheckOwn(newer []Item, now time.Time) error {
	isService := func(name string) bool {
		item, isThere := b[ID{ServiceItem, name}]
		return isThere && !item.Dropped
	}
	mirrors, _ := b.Mirrors()
	var lanes []loopline.Lane
	if len(mirrors) > 0 {
		lanes = b.mirrorLanes()
		if err := loopline.CheckAll(mirrors, lanes, isService, now); err != nil {
			return apierror.New(apierror.BadManifest, err.Error())
		}
	}
	for _, item := range newer {
		var err error
		switch {
		case item.Dropped:
		case item.ID.Class == PlanItem:
			err = b.checkPlan(item)
		case item.ID.Class == MirrorItem:
			var mirror loopline.Mirror
			if err = json.Unmarshal(item.Body, &mirror); err == nil {
				err = mirror.CheckNamed(lanes)
			}
		}
		if err != nil {
			return apierror.New(apierror.BadManifest, err.Error())
		}
	}
	return nil
}

func (b Book) checkPlan(item Item) error {
	var plan shedding.Plan
	if err := json.Unmarshal(item.Body, &plan); err != nil {
		return err
	}
	if plans, _ := own[shedding.Plan](b, PlanItem); len(plans) > 1 {
		return apierror.New(apierror.BadManifest, "plan "+plans[0].Name+" stands beside plan "+plans[1].Name+"; there is one")
	}
	return plan.Check(b.gaugeLanes())
}
