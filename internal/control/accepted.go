package control

import (
	"context"
	"net/http"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
)

// classNames are the operators' words for the classes of items.
var classNames = map[config.Class]string{
	config.RouteItem: "Route", config.ServiceItem: "Service", config.LimitsItem: "Limits",
	config.SiteItem: "Site", config.PlanItem: "Plan", config.MirrorItem: "Mirror",
}

// AcceptedVersion is one version of an item that was accepted, and the hash of its
// content.
type AcceptedVersion struct {
	Revision config.Version `json:"Revision"`
	Content  string         `json:"Content"`
}

// AcceptedItem is an item with the versions that are remembered of it, the oldest
// first.
type AcceptedItem struct {
	Class    string            `json:"Class"`
	Name     string            `json:"Name"`
	Accepted []AcceptedVersion `json:"Accepted"`
}

// AcceptedPage is what this node remembers under a name; Index is that of its set.
type AcceptedPage struct {
	Index uint64         `json:"Index"`
	Items []AcceptedItem `json:"Items"`
}

func decodeItemName(_ context.Context, r *http.Request) (any, error) { return r.PathValue("name"), nil }

// acceptedPoint tells the versions that were accepted of the items of a name.
func (n *node) acceptedEndpoint(_ context.Context, request any) (any, error) {
	name, page := request.(string), AcceptedPage{Items: []AcceptedItem{}}
	n.store.read(func(t *tables) {
		page.Index = uint64(t.registry.Index)
		for class := config.RouteItem; class <= config.MirrorItem; class++ {
			history := t.registry.Accepted(config.ID{Class: class, Name: name})
			if len(history) > 0 {
				page.Items = append(page.Items, acceptedItem(class, name, history))
			}
		}
	})
	if len(page.Items) == 0 {
		return nil, apierror.New(apierror.UnknownSubject, name)
	}
	return page, nil
}

func acceptedItem(class config.Class, name string, history []registry.AcceptedVersion) AcceptedItem {
	item := AcceptedItem{Class: classNames[class], Name: name}
	for _, accepted := range history {
		item.Accepted = append(item.Accepted, AcceptedVersion{accepted.Version, accepted.Fingerprint})
	}
	return item
}
