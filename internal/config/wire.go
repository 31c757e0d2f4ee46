package config

import (
	"bytes"
	"encoding/json"
	"io"

	"ploverhitch/internal/apierror"
)

type set struct {
	Services     []json.RawMessage `json:"Services,omitempty"`
	Limits       json.RawMessage   `json:"Limits,omitempty"`
	VirtualHosts []virtualHost     `json:"VirtualHosts,omitempty"`
}

type virtualHost struct {
	Hostname  string            `json:"Hostname"`
	PathTable []json.RawMessage `json:"PathTable"`
}

type mark struct {
	Name     string  `json:"Name"`
	Revision Version `json:"Revision"`
}

type modify struct {
	Upsert *set `json:"Upsert"`
	Remove struct {
		Lanes    []mark `json:"Routes"`
		Services []mark `json:"Services"`
	} `json:"Remove"`
}

func bad(what string, err error) error {
	return apierror.New(apierror.InvalidManifest, what+": "+err.Error())
}

// ParseModify reads an operator's call whole and checks each item by itself.
//
// Example:
//
//	items, err := config.ParseModify(body)
func ParseModify(text []byte) ([]Item, error) {
	var call modify
	decoder := json.NewDecoder(bytes.NewReader(text))
	if err := decoder.Decode(&call); err != nil {
		return nil, bad("the call cannot be read", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, apierror.New(apierror.InvalidManifest, "the call does not end where it should")
	}
	var items []Item
	if call.Upsert != nil {
		var err error
		if items, err = call.Upsert.items(); err != nil {
			return nil, err
		}
	}
	for class, marks := range map[Class][]mark{RouteItem: call.Remove.Lanes, ServiceItem: call.Remove.Services} {
		for _, m := range marks {
			if m.Name == "" || m.Revision == 0 {
				return nil, apierror.New(apierror.InvalidManifest, "a removal lacks its name or version")
			}
			items = append(items, Item{ID: ID{class, m.Name}, Version: m.Revision, Dropped: true})
		}
	}
	return items, nil
}

type spec interface{ check() error }

func (s *set) items() (items []Item, err error) {
	read := func(what string, text json.RawMessage, out spec) (err error) {
		if err = json.Unmarshal(text, out); err == nil {
			err = out.check()
		}
		if err != nil {
			err = bad(what, err)
		}
		return err
	}
	for _, text := range s.Services {
		var service ServiceSpec
		if err = read("service "+service.Name, text, &service); err != nil {
			return nil, err
		}
		items = append(items, Item{ID: ID{ServiceItem, service.Name}, Version: service.Revision, Body: text})
	}
	if len(s.Limits) > 0 && string(s.Limits) != "null" {
		var limits LimitsSpec
		if err = read("limits", s.Limits, &limits); err != nil {
			return nil, err
		}
		items = append(items, Item{ID: ID{Class: LimitsItem}, Version: limits.Revision, Body: s.Limits})
	}
	for _, host := range s.VirtualHosts {
		for _, text := range host.PathTable {
			var lane RouteSpec
			if err = read("lane at "+host.Hostname, text, &lane); err != nil {
				return nil, err
			}
			items = append(items, Item{ID: ID{RouteItem, lane.Name}, Version: lane.Revision, Host: host.Hostname, Body: text})
		}
	}
	return items, nil
}

// Render writes all items that stand, laid out as an operator's first call.
//
// Example:
//
//	text, err := book.Render()
func (b Book) Render() ([]byte, error) {
	out := set{Services: []json.RawMessage{}, VirtualHosts: []virtualHost{}}
	at := map[string]int{}
	for _, item := range b.Items() {
		switch {
		case item.Dropped:
		case item.ID.Class == ServiceItem:
			out.Services = append(out.Services, item.Body)
		case item.ID.Class == LimitsItem:
			out.Limits = item.Body
		case item.ID.Class == RouteItem:
			index, isThere := at[item.Host]
			if !isThere {
				index = len(out.VirtualHosts)
				at[item.Host] = index
				out.VirtualHosts = append(out.VirtualHosts, virtualHost{Hostname: item.Host})
			}
			table := &out.VirtualHosts[index].PathTable
			*table = append(*table, item.Body)
		}
	}
	return json.Marshal(out)
}
