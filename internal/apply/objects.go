// Package apply implements the command apply, which converts Kubernetes-style objects to
// configuration changes: the kinds Route, Service, Limits, Site, Plan and Mirror of
// ploverhitch/v1. It supports a small part of the format and rejects unknown kinds and
// fields by name.
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

	"ploverhitch/internal/bounded"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
)

// APIVersion is the only supported apiVersion of an object.
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

type routeObject struct {
	header `json:",inline"`
	Spec   struct {
		Host          string           `json:"host"`
		PathPrefix    string           `json:"pathPrefix"`
		Type          config.RouteType `json:"type"`
		Timeout       clock.Duration   `json:"timeout"`
		TargetLatency clock.Duration   `json:"targetLatency"`
		Priority      bounded.Count    `json:"priority"`
		MaxAttempts   bounded.Count    `json:"maxAttempts"`
		BackendRefs   []struct {
			Name   string        `json:"name"`
			Weight bounded.Float `json:"weight"`
		} `json:"backendRefs"`
	} `json:"spec"`
}

type serviceObject struct {
	header `json:",inline"`
	Spec   struct {
		HealthPath      string        `json:"healthPath"`
		MaxConnections  bounded.Count `json:"maxConnections"`
		IdempotentDedup bool          `json:"idempotentDedup"`
	} `json:"spec"`
}

type limitsObject struct {
	header `json:",inline"`
	Spec   struct {
		MaxHeaderBytes bounded.Bytes  `json:"maxHeaderBytes"`
		MaxBodyBytes   bounded.Bytes  `json:"maxBodyBytes"`
		HeaderTimeout  clock.Duration `json:"headerTimeout"`
		IdleTimeout    clock.Duration `json:"idleTimeout"`
	} `json:"spec"`
}

// modification is the body of a request to /v1/config/modify. Sites, plans and mirrors
// have their own endpoints: resources holds their specs by path.
type modification struct {
	resources map[string][]any

	Upsert struct {
		Services     []config.ServiceSpec `json:"Services,omitempty"`
		Limits       *config.LimitsSpec   `json:"Limits,omitempty"`
		VirtualHosts []virtualHost        `json:"VirtualHosts,omitempty"`
	} `json:"Upsert"`
}

type virtualHost struct {
	Hostname  string             `json:"Hostname"`
	PathTable []config.RouteSpec `json:"PathTable"`
}

// decoders maps each object kind to the method that decodes it.
var decoders = map[string]func(*modification, []byte) error{
	"Route": (*modification).route, "Service": (*modification).service, "Limits": (*modification).limits, "Site": (*modification).site,
	"Plan": (*modification).plan, "Mirror": (*modification).mirror,
}

// Request is a request to the control node: the path and the JSON body.
type Request struct {
	Path string
	Body []byte
}

// Parse converts a file of objects, separated by lines of ---, to the body of a
// configuration change, validated as the control node validates it in isolation. Sites,
// plans and mirrors are returned as one more request for each kind that the file contains.
func Parse(file []byte) (body []byte, requests []Request, err error) {
	out := modification{resources: map[string][]any{}}
	for i, document := range strings.Split("\n"+string(file), "\n---") {
		if len(bytes.TrimSpace([]byte(document))) == 0 {
			continue
		}
		var head header
		err := yaml.Unmarshal([]byte(document), &head)
		if err == nil {
			err = out.decode(head, []byte(document))
		}
		if err != nil {
			return nil, nil, errors.Annotatef(err, "object %d (%s %s)", i+1, head.Kind, head.Metadata.Name)
		}
	}
	sort.SliceStable(out.Upsert.VirtualHosts, func(i, j int) bool {
		return out.Upsert.VirtualHosts[i].Hostname < out.Upsert.VirtualHosts[j].Hostname
	})
	if body, err = json.Marshal(out); err != nil {
		return nil, nil, errors.Trace(err)
	}
	_, err = config.ParseModify(body)
	for _, path := range slices.Sorted(maps.Keys(out.resources)) {
		var requestBody []byte
		if err == nil {
			requestBody, err = json.Marshal(map[string]any{"Upsert": out.resources[path]})
		}
		if err == nil {
			_, err = config.ModifyParser(pathClasses[path])(requestBody)
		}
		requests = append(requests, Request{path, requestBody})
	}
	return body, requests, errors.Trace(err)
}

func (m *modification) decode(head header, document []byte) error {
	decodeSpec := decoders[head.Kind]
	switch {
	case head.APIVersion != APIVersion:
		return errors.NotSupportedf("apiVersion %s", strconv.Quote(head.APIVersion))
	case decodeSpec == nil:
		return errors.NotSupportedf("kind %s", strconv.Quote(head.Kind))
	case head.Metadata.Name == "":
		return errors.NotValidf("empty metadata.name")
	case head.Metadata.Generation == 0:
		return errors.NotValidf("missing metadata.generation, the version of the item,")
	}
	return decodeSpec(m, document)
}

func (m *modification) route(document []byte) error {
	var o routeObject
	if err := yaml.UnmarshalStrict(document, &o); err != nil {
		return errors.Trace(err)
	}
	route := config.RouteSpec{
		Name: o.Metadata.Name, PathPrefix: o.Spec.PathPrefix, RouteType: o.Spec.Type, Timeout: o.Spec.Timeout, TargetLatency: o.Spec.TargetLatency,
		Priority: o.Spec.Priority, MaxAttempts: o.Spec.MaxAttempts, Revision: config.Version(o.Metadata.Generation),
	}
	if len(o.Spec.BackendRefs) == 1 {
		route.Service = o.Spec.BackendRefs[0].Name
	} else {
		for _, backend := range o.Spec.BackendRefs {
			route.TrafficSplit = append(route.TrafficSplit, config.WeightedService{Service: backend.Name, Weight: backend.Weight})
		}
	}
	for i := range m.Upsert.VirtualHosts {
		if m.Upsert.VirtualHosts[i].Hostname == o.Spec.Host {
			m.Upsert.VirtualHosts[i].PathTable = append(m.Upsert.VirtualHosts[i].PathTable, route)
			return nil
		}
	}
	m.Upsert.VirtualHosts = append(m.Upsert.VirtualHosts, virtualHost{o.Spec.Host, []config.RouteSpec{route}})
	return nil
}

func (m *modification) service(document []byte) error {
	var o serviceObject
	if err := yaml.UnmarshalStrict(document, &o); err != nil {
		return errors.Trace(err)
	}
	m.Upsert.Services = append(m.Upsert.Services, config.ServiceSpec{
		Name: o.Metadata.Name, HealthPath: o.Spec.HealthPath, MaxConnections: o.Spec.MaxConnections,
		IdempotentDedup: o.Spec.IdempotentDedup, Revision: config.Version(o.Metadata.Generation),
	})
	return nil
}

func (m *modification) limits(document []byte) error {
	var o limitsObject
	if err := yaml.UnmarshalStrict(document, &o); err != nil {
		return errors.Trace(err)
	}
	if m.Upsert.Limits != nil {
		return errors.AlreadyExistsf("another object of kind Limits")
	}
	m.Upsert.Limits = &config.LimitsSpec{
		MaxHeaderBytes: o.Spec.MaxHeaderBytes, MaxBodyBytes: o.Spec.MaxBodyBytes, HeaderTimeout: o.Spec.HeaderTimeout,
		IdleTimeout: o.Spec.IdleTimeout, Revision: config.Version(o.Metadata.Generation),
	}
	return nil
}
