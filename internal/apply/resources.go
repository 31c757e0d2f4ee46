package apply

import (
	"time"

	"github.com/juju/errors"
	"sigs.k8s.io/yaml"

	"ploverhitch/internal/config"
	"ploverhitch/internal/mirror"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/sites"
)

const (
	sitesPath   = "/v1/sites/modify"
	plansPath   = "/v1/plans/modify"
	mirrorsPath = "/v1/mirrors/modify"
)

// pathClasses maps the path of a request to the class of its items.
var pathClasses = map[string]config.Class{
	sitesPath: config.SiteItem, plansPath: config.PlanItem, mirrorsPath: config.MirrorItem,
}

type siteObject struct {
	header `json:",inline"`
	Spec   struct {
		Parent   string         `json:"parent"`
		Zones    []string       `json:"cells"`
		Servers  []string       `json:"servers"`
		Capacity map[string]int `json:"capacity"`
	} `json:"spec"`
}

type planObject struct {
	header `json:",inline"`
	Spec   struct {
		Conversation string `json:"conversation"`
		Tiers        []struct {
			Name   string   `json:"name"`
			Order  int      `json:"order"`
			Hosts  []string `json:"hosts"`
			Routes []string `json:"lanes"`
		} `json:"tiers"`
	} `json:"spec"`
}

type mirrorObject struct {
	header `json:",inline"`
	Spec   struct {
		Routes       []string `json:"lanes"`
		Hosts        []string `json:"hosts"`
		Shadow       string   `json:"shadow"`
		Share        float64  `json:"share"`
		Conversation struct {
			Header string `json:"header"`
			Cookie string `json:"cookie"`
		} `json:"conversation"`
		Until time.Time `json:"until"`
	} `json:"spec"`
}

// JSON forms of sites, plans and mirrors in requests to the control node.
type (
	siteSpec struct {
		sites.Site
		Revision config.Version `json:"Revision"`
	}
	planSpec struct {
		shedding.Plan
		Revision config.Version `json:"Revision"`
	}
	mirrorSpec struct {
		mirror.Mirror
		Revision config.Version `json:"Revision"`
	}
)

func (m *modification) site(document []byte) error {
	var o siteObject
	if err := yaml.UnmarshalStrict(document, &o); err != nil {
		return errors.Trace(err)
	}
	site := sites.Site{Name: o.Metadata.Name, Parent: o.Spec.Parent, Zones: o.Spec.Zones, Servers: o.Spec.Servers, Capacity: o.Spec.Capacity}
	m.resources[sitesPath] = append(m.resources[sitesPath], siteSpec{site, config.Version(o.Metadata.Generation)})
	return nil
}

func (m *modification) plan(document []byte) error {
	var o planObject
	if err := yaml.UnmarshalStrict(document, &o); err != nil {
		return errors.Trace(err)
	}
	plan := shedding.Plan{Name: o.Metadata.Name, Conversation: o.Spec.Conversation}
	for _, tier := range o.Spec.Tiers {
		plan.Tiers = append(plan.Tiers, shedding.PlanTier(tier))
	}
	m.resources[plansPath] = append(m.resources[plansPath], planSpec{plan, config.Version(o.Metadata.Generation)})
	return nil
}

func (m *modification) mirror(document []byte) error {
	var o mirrorObject
	if err := yaml.UnmarshalStrict(document, &o); err != nil {
		return errors.Trace(err)
	}
	mirror := mirror.Mirror{
		Name: o.Metadata.Name, Routes: o.Spec.Routes, Hosts: o.Spec.Hosts, Shadow: o.Spec.Shadow, Share: o.Spec.Share,
		Header: o.Spec.Conversation.Header, Cookie: o.Spec.Conversation.Cookie, Until: o.Spec.Until,
	}
	if err := mirror.Check(); err != nil {
		return errors.Trace(err)
	}
	m.resources[mirrorsPath] = append(m.resources[mirrorsPath], mirrorSpec{mirror, config.Version(o.Metadata.Generation)})
	return nil
}
