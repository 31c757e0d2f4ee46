package config

import (
	"bytes"
	"encoding/json"
	"io"

	"ploverhitch/internal/apierror"
)

type upsert struct {
	Services     []json.RawMessage `json:"Services,omitempty"`
	Limits       json.RawMessage   `json:"Limits,omitempty"`
	VirtualHosts []virtualHost     `json:"VirtualHosts,omitempty"`
}

type virtualHost struct {
	Hostname  string            `json:"Hostname"`
	PathTable []json.RawMessage `json:"PathTable"`
}

type itemVersion struct {
	Name     string  `json:"Name"`
	Revision Version `json:"Revision"`
}

type modifyRequest struct {
	Upsert *upsert `json:"Upsert"`
	Remove struct {
		Routes   []itemVersion `json:"Routes"`
		Services []itemVersion `json:"Services"`
	} `json:"Remove"`
}

func invalid(what string, err error) error {
	return apierror.New(apierror.InvalidConfiguration, what+": "+err.Error())
}

// ParseModify decodes an operator's request and validates each item by itself.
func ParseModify(text []byte) ([]Item, error) {
	var request modifyRequest
	decoder := json.NewDecoder(bytes.NewReader(text))
	if err := decoder.Decode(&request); err != nil {
		return nil, invalid("the request cannot be read", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, apierror.New(apierror.InvalidConfiguration, "the request does not end after its JSON value")
	}
	var items []Item
	if request.Upsert != nil {
		var err error
		if items, err = request.Upsert.items(); err != nil {
			return nil, err
		}
	}
	for class, removals := range map[Class][]itemVersion{RouteItem: request.Remove.Routes, ServiceItem: request.Remove.Services} {
		for _, removal := range removals {
			if removal.Name == "" || removal.Revision == 0 {
				return nil, apierror.New(apierror.InvalidConfiguration, "a removal has no name or version")
			}
			items = append(items, Item{ID: ID{class, removal.Name}, Version: removal.Revision, Removed: true})
		}
	}
	return items, nil
}

type checker interface{ check() error }

func (u *upsert) items() (items []Item, err error) {
	read := func(what string, text json.RawMessage, out checker) (err error) {
		if err = json.Unmarshal(text, out); err == nil {
			err = out.check()
		}
		if err != nil {
			err = invalid(what, err)
		}
		return err
	}
	for _, text := range u.Services {
		var service ServiceSpec
		if err = read("service "+service.Name, text, &service); err != nil {
			return nil, err
		}
		items = append(items, Item{ID: ID{ServiceItem, service.Name}, Version: service.Revision, Body: text})
	}
	if len(u.Limits) > 0 && string(u.Limits) != "null" {
		var limits LimitsSpec
		if err = read("limits", u.Limits, &limits); err != nil {
			return nil, err
		}
		items = append(items, Item{ID: ID{Class: LimitsItem}, Version: limits.Revision, Body: u.Limits})
	}
	for _, host := range u.VirtualHosts {
		for _, text := range host.PathTable {
			var route RouteSpec
			if err = read("route of host "+host.Hostname, text, &route); err != nil {
				return nil, err
			}
			items = append(items, Item{ID: ID{RouteItem, route.Name}, Version: route.Revision, Host: host.Hostname, Body: text})
		}
	}
	return items, nil
}

// Render encodes all present items in the format of a modify request.
func (s ItemSet) Render() ([]byte, error) {
	out := upsert{Services: []json.RawMessage{}, VirtualHosts: []virtualHost{}}
	hostIndexes := map[string]int{}
	for _, item := range s.Items() {
		switch {
		case item.Removed:
		case item.ID.Class == ServiceItem:
			out.Services = append(out.Services, item.Body)
		case item.ID.Class == LimitsItem:
			out.Limits = item.Body
		case item.ID.Class == RouteItem:
			index, found := hostIndexes[item.Host]
			if !found {
				index = len(out.VirtualHosts)
				hostIndexes[item.Host] = index
				out.VirtualHosts = append(out.VirtualHosts, virtualHost{Hostname: item.Host})
			}
			table := &out.VirtualHosts[index].PathTable
			*table = append(*table, item.Body)
		}
	}
	return json.Marshal(out)
}
