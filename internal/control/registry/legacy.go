package registry

import (
	"bytes"
	"encoding/json"

	"ploverhitch/internal/config"
)

// formerNames maps the names that older builds stored for fields of the operator
// API to the present names.
var formerNames = map[string]string{
	"LaneType": "RouteType", "Lane": "Route", "Lanes": "Routes", "Cell": "Zone", "Cells": "Zones",
}

// migrateFieldNames returns an item stored by an older build with the present names
// of its fields.
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

// renameFields replaces former names within a value and reports whether there were any.
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
