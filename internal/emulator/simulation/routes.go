package simulation

import (
	"encoding/json"
	"fmt"

	"ploverhitch/internal/config"
)

// routeBody is the part of a route that the simulation's checks read.
type routeBody struct {
	Name       string `json:"Name"`
	PathPrefix string `json:"PathPrefix"`
	Content    int    `json:"Content"`
}

// routeItem is one version of a route.
func routeItem(name string, version config.Version, place, content int) config.Item {
	body, err := json.Marshal(routeBody{name, fmt.Sprintf("/p%d/", place), content})
	if err != nil {
		panic(err)
	}
	return config.Item{ID: config.ID{Class: config.RouteItem, Name: name}, Version: version, Host: "h.example", Body: body}
}

// placeOf is the host and prefix that a route holds; a dropped one holds none.
func placeOf(item config.Item) (place string, holds bool) {
	var body routeBody
	if item.Removed || json.Unmarshal(item.Body, &body) != nil {
		return "", false
	}
	return item.Host + body.PathPrefix, true
}

// checkRoutes refuses a set in which two routes share host and prefix.
func checkRoutes(whole config.ItemSet, _, _ []config.Item) error {
	holders := map[string]bool{}
	for _, item := range whole {
		place, holds := placeOf(item)
		if holds && holders[place] {
			return errTaken
		}
		holders[place] = holds || holders[place]
	}
	return nil
}
