package registry

import (
	"bytes"
	"encoding/json"

	"ploverhitch/internal/config"
)

// formerNames are the words that older builds wrote for fields of the operators'
// interface, and the present ones.
var formerNames = map[string]string{
	"LaneType": "RouteType", "Lane": "Route", "Lanes": "Routes", "Cell": "Zone", "Cells": "Zones",
}

// renamed is an item that an older build kept, with the present names of its fields.
func migrateFieldNames(item config.Item) config.Item {
	decoder := json.NewDecoder(bytes.NewReader(item.Body))
	decoder.UseNumber()
	var body any
	if decoder.Decode(&body) != nil {
		return item
	}
	if !renameFields(body) {
		return item
	}
	if text, err := json.Marshal(body); err == nil {
		item.Body = text
	}
	return item
}

// renameFields changes former names within a value, and tells whether there were any.
func renameFields(value any) (changed bool) {
	switch inner := value.(type) {
	case []any:
		for _, entry := range inner {
			changed = renameFields(entry) || changed
		}
	case map[string]any:
		for name, entry := range inner {
			changed = renameFields(entry) || changed
			if present, former := formerNames[name]; former {
				delete(inner, name)
				inner[present] = entry
				changed = true
			}
		}
	}
	return changed
}
