package control

import (
	"context"
	"net/http"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
)

// classNames are the names of the item classes in the operator API.
var classNames = map[config.Class]string{
	config.RouteItem: "Route", config.ServiceItem: "Service", config.LimitsItem: "Limits",
	config.SiteItem: "Site", config.PlanItem: "Plan", config.MirrorItem: "Mirror",
}

// AcceptedVersion is an accepted version of an item with the hash of its content.
type AcceptedVersion struct {
	Revision config.Version `json:"Revision"`
	Content  string         `json:"Content"`
}

// AcceptedItem is an item with its retained accepted versions, oldest first.
type AcceptedItem struct {
	Class    string            `json:"Class"`
	Name     string            `json:"Name"`
	Accepted []AcceptedVersion `json:"Accepted"`
}

// AcceptedPage lists the items of a name that this node retains; Index is the index of
// its item set.
type AcceptedPage struct {
	Index uint64         `json:"Index"`
	Items []AcceptedItem `json:"Items"`
}

func decodeItemName(_ context.Context, r *http.Request) (any, error) { return r.PathValue("name"), nil }

// acceptedEndpoint returns the accepted versions of the items with a name.
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
		return nil, apierror.New(apierror.NotFound, name)
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
