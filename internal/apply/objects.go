// Package apply reads Kubernetes-style objects as a manifest: the kinds Lane,
// Service, Limits, Site, Plan and Mirror of ploverhitch/v1. It is a small part; what it does not
// know it refuses by name.
package apply

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"sigs.k8s.io/yaml"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
)

// APIVersion is the one that the objects must name.
const APIVersion = "ploverhitch/v1"

type header struct {
	APIVersion string `json:"apiVersion"`
	Kind       string `json:"kind"`
	Metadata   struct {
		Name string `json:"name"`
		// Generation is the item's version.
		Generation uint64 `json:"generation"`
	} `json:"metadata"`
}

type laneObject struct {
	header `json:",inline"`
	Spec   struct {
		Host          string           `json:"host"`
		PathPrefix    string           `json:"pathPrefix"`
		Type          config.RouteType `json:"type"`
		Timeout       clock.Duration   `json:"timeout"`
		TargetLatency clock.Duration   `json:"targetLatency"`
		Priority      int              `json:"priority"`
		MaxAttempts   int              `json:"maxAttempts"`
		BackendRefs   []struct {
			Name   string  `json:"name"`
			Weight float64 `json:"weight"`
		} `json:"backendRefs"`
	} `json:"spec"`
}

type serviceObject struct {
	header `json:",inline"`
	Spec   struct {
		HealthPath      string `json:"healthPath"`
		MaxConnections  int    `json:"maxConnections"`
		IdempotentDedup bool   `json:"idempotentDedup"`
	} `json:"spec"`
}

type limitsObject struct {
	header `json:",inline"`
	Spec   struct {
		MaxHeaderBytes int            `json:"maxHeaderBytes"`
		MaxBodyBytes   int64          `json:"maxBodyBytes"`
		HeaderTimeout  clock.Duration `json:"headerTimeout"`
		IdleTimeout    clock.Duration `json:"idleTimeout"`
	} `json:"spec"`
}

// call is an operator's call as the control interface takes it, and beside it the
// calls for the project's own kinds, by their paths.
type call struct {
	own map[string][]any

	Upsert struct {
		Services     []config.ServiceSpec `json:"Services,omitempty"`
		Limits       *config.LimitsSpec   `json:"Limits,omitempty"`
		VirtualHosts []host               `json:"VirtualHosts,omitempty"`
	} `json:"Upsert"`
}

type host struct {
	Hostname  string             `json:"Hostname"`
	PathTable []config.RouteSpec `json:"PathTable"`
}

// readers is the table from a kind to how an object of it is taken.
var readers = map[string]func(*call, []byte) error{
	"Route": (*call).lane, "Service": (*call).service, "Limits": (*call).limits, "Site": (*call).site,
	"Plan": (*call).plan, "Mirror": (*call).mirror,
}

// Own is the call for objects of one of the project's own kinds.
type Own struct {
	Path string
	Text []byte
}

// Parse turns a file of objects, parted by lines of ---, into the text of an
// operator's call, checked as the core would check it by itself. Kinds of the
// project's own come in calls of their own, if there are any.
//
// Example:
//
//	text, own, err := apply.Parse(file)
func Parse(file []byte) (text []byte, own []Own, err error) {
	out := call{own: map[string][]any{}}
	for i, document := range strings.Split("\n"+string(file), "\n---") {
		if len(bytes.TrimSpace([]byte(document))) == 0 {
			continue
		}
		var head header
		err := yaml.Unmarshal([]byte(document), &head)
		if err == nil {
			err = out.take(head, []byte(document))
		}
		if err != nil {
			return nil, nil, errors.Annotatef(err, "object %d (%s %s)", i+1, head.Kind, head.Metadata.Name)
		}
	}
	sort.SliceStable(out.Upsert.VirtualHosts, func(i, j int) bool {
		return out.Upsert.VirtualHosts[i].Hostname < out.Upsert.VirtualHosts[j].Hostname
	})
	if text, err = json.Marshal(out); err != nil {
		return nil, nil, errors.Trace(err)
	}
	_, err = config.ParseModify(text)
	for _, path := range slices.Sorted(maps.Keys(out.own)) {
		var body []byte
		if err == nil {
			body, err = json.Marshal(map[string]any{"Upsert": out.own[path]})
		}
		if err == nil {
			_, err = config.ModifyParser(ownPaths[path])(body)
		}
		own = append(own, Own{path, body})
	}
	return text, own, errors.Trace(err)
}

func (c *call) take(head header, document []byte) error {
	read := readers[head.Kind]
	switch {
	case head.APIVersion != APIVersion:
		return errors.NotSupportedf("apiVersion %s", strconv.Quote(head.APIVersion))
	case read == nil:
		return errors.NotSupportedf("kind %s", strconv.Quote(head.Kind))
	case head.Metadata.Name == "":
		return errors.NotValidf("metadata.name, which is empty,")
	case head.Metadata.Generation == 0:
		return errors.NotValidf("metadata.generation, the item's version, which is not set,")
	}
	return read(c, document)
}

func (c *call) lane(document []byte) error {
	var o laneObject
	if err := yaml.UnmarshalStrict(document, &o); err != nil {
		return errors.Trace(err)
	}
	lane := config.RouteSpec{
		Name: o.Metadata.Name, PathPrefix: o.Spec.PathPrefix, RouteType: o.Spec.Type, Timeout: o.Spec.Timeout, TargetLatency: o.Spec.TargetLatency,
		Priority: o.Spec.Priority, MaxAttempts: o.Spec.MaxAttempts, Revision: config.Version(o.Metadata.Generation),
	}
	if len(o.Spec.BackendRefs) == 1 {
		lane.Service = o.Spec.BackendRefs[0].Name
	} else {
		for _, backend := range o.Spec.BackendRefs {
			lane.TrafficSplit = append(lane.TrafficSplit, config.WeightedService{Service: backend.Name, Weight: backend.Weight})
		}
	}
	for i := range c.Upsert.VirtualHosts {
		if c.Upsert.VirtualHosts[i].Hostname == o.Spec.Host {
			c.Upsert.VirtualHosts[i].PathTable = append(c.Upsert.VirtualHosts[i].PathTable, lane)
			return nil
		}
	}
	c.Upsert.VirtualHosts = append(c.Upsert.VirtualHosts, host{o.Spec.Host, []config.RouteSpec{lane}})
	return nil
}

func (c *call) service(document []byte) error {
	var o serviceObject
	if err := yaml.UnmarshalStrict(document, &o); err != nil {
		return errors.Trace(err)
	}
	c.Upsert.Services = append(c.Upsert.Services, config.ServiceSpec{
		Name: o.Metadata.Name, HealthPath: o.Spec.HealthPath, MaxConnections: o.Spec.MaxConnections,
		IdempotentDedup: o.Spec.IdempotentDedup, Revision: config.Version(o.Metadata.Generation),
	})
	return nil
}

func (c *call) limits(document []byte) error {
	var o limitsObject
	if err := yaml.UnmarshalStrict(document, &o); err != nil {
		return errors.Trace(err)
	}
	if c.Upsert.Limits != nil {
		return errors.AlreadyExistsf("another object of kind Limits")
	}
	c.Upsert.Limits = &config.LimitsSpec{
		MaxHeaderBytes: o.Spec.MaxHeaderBytes, MaxBodyBytes: o.Spec.MaxBodyBytes, HeaderTimeout: o.Spec.HeaderTimeout,
		IdleTimeout: o.Spec.IdleTimeout, Revision: config.Version(o.Metadata.Generation),
	}
	return nil
}
