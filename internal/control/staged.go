package control

import (
	"context"
	"encoding/json"
	"net/http"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/trial"
)

// staged is an operator's order for a staged change.
type staged struct {
	Name     string          `json:"Name"`
	First    string          `json:"First"`
	Duration timetable.Span  `json:"Duration"`
	Change   json.RawMessage `json:"Change"`
}

func (s *staged) check() error {
	return validation.ValidateStruct(s,
		validation.Field(&s.Name, validation.Required, validation.Length(1, 128)),
		validation.Field(&s.Duration, validation.Required, validation.Max(int64(termLongest))),
		validation.Field(&s.Change, validation.Required),
	)
}

func decodeStaged(_ context.Context, r *http.Request) (any, error) {
	var order staged
	if err := readCommand(r, maxRequestBytes, &order); err != nil {
		return nil, err
	}
	items, err := config.ParseModify(order.Change)
	if err == nil && len(items) == 0 {
		err = apierror.New(apierror.InvalidOrder, "the change has no items")
	}
	return messages.StagedChange{Name: order.Name, First: order.First, Duration: int64(order.Duration), Items: items}, err
}

func decodeName(_ context.Context, r *http.Request) (any, error) { return r.PathValue("name"), nil }

func (n *node) stagePoint(_ context.Context, request any) (any, error) {
	return struct{}{}, n.callLeader(messages.KindStagedChange, request)
}

func (n *node) haltPoint(_ context.Context, request any) (any, error) {
	return struct{}{}, n.callLeader(messages.KindStagedChange, messages.StagedChange{Name: request.(string), Halt: true})
}

// StagedState is how a staged change stands. Evidence is there where the holder
// of the duty could be asked.
type StagedState struct {
	State    string             `json:"State"`
	Phase    string             `json:"Phase"`
	Wave     int                `json:"Wave"`
	Waves    [][]string         `json:"Waves"`
	Reason   string             `json:"Reason,omitempty"`
	Evidence []outlier.Evidence `json:"Evidence"`
}

func (n *node) stagedPoint(_ context.Context, request any) (any, error) {
	subject := trial.StagePrefix + request.(string)
	state, err := n.readTrial(subject)
	if err != nil {
		return nil, err
	}
	return StagedState{
		State: state.Answer(), Phase: state.Phase.String(), Wave: state.Wave, Waves: state.Waves, Reason: state.Reason, Evidence: n.evidence(subject),
	}, nil
}

// evidence asks the holder of the duty what it knows of a trial.
func (n *node) evidence(subject string) []outlier.Evidence {
	told := messages.RolloutEvidence{}
	_ = n.call(n.leader(), messages.KindRolloutEvidence, messages.RolloutEvidence{Subject: subject}, &told, callTimeout)
	return append([]outlier.Evidence{}, told.Routes...)
}

func (n *node) onEvidence(in messages.RolloutEvidence, answer func(messages.RolloutEvidence)) {
	c := n.coordinator
	c.loop.Offer(func() {
		if d := c.drives[in.Subject]; d != nil && c.isMaster() {
			in.Routes = d.finding.Evidence
		}
		answer(in)
	})
}
