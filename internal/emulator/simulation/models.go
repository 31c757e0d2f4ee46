package simulation

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"ploverhitch/internal/config"
)

// checkSpan bounds, in real time, the check of one history.
const checkSpan = 20 * time.Second

// configState is the specification's state: of every route and version the
// content that was accepted, 0 for none. The highest version is in force.
type configState [routeCount][highestVersion + 1]uint8

// inForce is what a reading shows of one route.
type inForce struct {
	version config.Version
	content uint8
}

// contents is what a reading shows.
type contents [routeCount]inForce

// encode numbers a route's place and content.
func encode(item config.Item) (route int, content uint8) {
	var body routeBody
	if err := json.Unmarshal(item.Body, &body); err != nil {
		panic(err)
	}
	route = int(body.Name[len(body.Name)-1] - '0')
	place := int(body.PathPrefix[2] - '0')
	return route, uint8(1 + place*2 + body.Content)
}

func contentsOf(book config.ItemSet) (out contents) {
	for _, item := range book {
		route, content := encode(item)
		out[route] = inForce{item.Version, content}
	}
	return out
}

func (s configState) contents() (out contents) {
	for route, versions := range s {
		for version, content := range versions {
			if content != 0 {
				out[route] = inForce{config.Version(version), content}
			}
		}
	}
	return out
}

func (s configState) isValid() bool {
	var taken [placeCount]bool
	for _, route := range s.contents() {
		if route.content == 0 {
			continue
		}
		place := (route.content - 1) / 2
		if taken[place] {
			return false
		}
		taken[place] = true
	}
	return true
}

// take is the state after an order, and the verdict that it must get. An order
// that is both invalid and in conflict is told that it is invalid.
func (s configState) take(items []config.Item) (configState, Verdict) {
	next, isConflict := s, false
	for _, item := range items {
		route, content := encode(item)
		if accepted := s[route][item.Version]; accepted != 0 && accepted != content {
			isConflict = true
			continue
		}
		next[route][item.Version] = content
	}
	switch {
	case !next.isValid():
		return s, Invalid
	case isConflict:
		return s, Conflicting
	}
	return next, Acknowledged
}

func stepConfig(state, input, output any) (isAllowed bool, next any) {
	s := state.(configState)
	switch in := input.(type) {
	case readInput:
		return output == nil || output.(contents) == s.contents(), s
	case orderInput:
		after, verdict := s.take(in.items)
		return output == nil || output.(Verdict) == verdict, after
	}
	return false, s
}

func stepKey(state, input, output any) (isAllowed bool, next any) {
	runner, in := state.(string), input.(keyInput)
	if output == nil {
		if runner == "" {
			return true, in.attempt
		}
		return true, runner
	}
	answer := output.(keyAnswer)
	if runner == "" {
		return answer.attempt == in.attempt, in.attempt
	}
	return answer.attempt == runner && in.attempt != runner, runner
}

var (
	configModel = porcupine.Model{
		Init: func() any { return configState{} },
		Step: stepConfig,
	}
	keyModel = porcupine.Model{
		Partition: partitionByKey,
		Init:      func() any { return "" },
		Step:      stepKey,
	}
)

func partitionByKey(operations []porcupine.Operation) (parts [][]porcupine.Operation) {
	byKey := map[string][]porcupine.Operation{}
	var keys []string
	for _, o := range operations {
		key := o.Input.(keyInput).key
		if byKey[key] == nil {
			keys = append(keys, key)
		}
		byKey[key] = append(byKey[key], o)
	}
	slices.Sort(keys)
	for _, key := range keys {
		parts = append(parts, byKey[key])
	}
	return parts
}

// check looks for an order of the operations that the specification allows; it
// names the model for which there is none.
func (h *history) check() (detail string) {
	var ofConfig, ofKeys []porcupine.Operation
	for _, o := range h.operations {
		_, isKeyed := o.input.(keyInput)
		_, isRead := o.input.(readInput)
		if o.isDropped || isRead && !o.isAnswered {
			continue
		}
		made := porcupine.Operation{ClientId: o.client, Input: o.input, Call: int64(o.call), Output: o.output, Return: o.returned()}
		if isKeyed {
			ofKeys = append(ofKeys, made)
		} else {
			ofConfig = append(ofConfig, made)
		}
	}
	for _, part := range []struct {
		name       string
		model      porcupine.Model
		operations []porcupine.Operation
	}{{"configuration", configModel, ofConfig}, {"keyed operations", keyModel, ofKeys}} {
		switch porcupine.CheckOperationsTimeout(part.model, part.operations, checkSpan) {
		case porcupine.Illegal:
			return part.name + ": no order of the operations explains the answers"
		case porcupine.Unknown:
			h.isUndetermined = true
		}
	}
	return ""
}
