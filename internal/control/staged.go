package control

import (
	"context"
	"encoding/json"
	"net/http"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/rollout"
)

// stagedRequest is an operator's request for a staged configuration change.
type stagedRequest struct {
	Name     string          `json:"Name"`
	First    string          `json:"First"`
	Duration clock.Duration  `json:"Duration"`
	Change   json.RawMessage `json:"Change"`
}

func (s *stagedRequest) check() error {
	return validation.ValidateStruct(s,
		validation.Field(&s.Name, validation.Required, validation.Length(1, 128)),
		validation.Field(&s.Duration, validation.Required, validation.Max(int64(maxRolloutDuration))),
		validation.Field(&s.Change, validation.Required),
	)
}

func decodeStaged(_ context.Context, r *http.Request) (any, error) {
	var command stagedRequest
	if err := readCommand(r, maxRequestBytes, &command); err != nil {
		return nil, err
	}
	items, err := config.ParseModify(command.Change)
	if err == nil && len(items) == 0 {
		err = apierror.New(apierror.InvalidOrder, "the change has no items")
	}
	return messages.StagedChange{Name: command.Name, First: command.First, Duration: int64(command.Duration), Items: items}, err
}

func decodeStagedName(_ context.Context, r *http.Request) (any, error) {
	return r.PathValue("name"), nil
}

func (n *node) startStagedEndpoint(ctx context.Context, request any) (any, error) {
	return struct{}{}, n.callStaged(ctx, request.(messages.StagedChange))
}

func (n *node) haltStagedEndpoint(ctx context.Context, request any) (any, error) {
	return struct{}{}, n.callStaged(ctx, messages.StagedChange{Name: request.(string), Halt: true})
}

// callStaged forwards an operator's command for a staged change to the leader.
func (n *node) callStaged(ctx context.Context, command messages.StagedChange) error {
	return n.callLeader(messages.KindStagedChange, httpCaller{ctx}, func(base *messages.CommandBase) any {
		command.Base = base
		return command
	})
}

// StagedState is the state of a staged change in the operator API. Evidence is empty if
// the leader did not answer.
type StagedState struct {
	State    string             `json:"State"`
	Phase    string             `json:"Phase"`
	Wave     int                `json:"Wave"`
	Waves    [][]string         `json:"Waves"`
	Reason   string             `json:"Reason,omitempty"`
	Evidence []outlier.Evidence `json:"Evidence"`
}

func (n *node) readStagedEndpoint(_ context.Context, request any) (any, error) {
	subject := rollout.StagedPrefix + request.(string)
	state, err := n.readRollout(subject)
	if err != nil {
		return nil, err
	}
	return StagedState{
		State: state.Status(), Phase: state.Phase.String(), Wave: state.Wave, Waves: state.Waves, Reason: state.Reason, Evidence: n.evidence(subject),
	}, nil
}

// evidence asks the leader for its evidence about a staged change.
func (n *node) evidence(subject string) []outlier.Evidence {
	reply := messages.RolloutEvidence{}
	_ = n.call(n.leader(), messages.KindRolloutEvidence, messages.RolloutEvidence{Subject: subject}, &reply, callTimeout)
	return append([]outlier.Evidence{}, reply.Routes...)
}

func (n *node) onEvidence(in messages.RolloutEvidence, reply func(messages.RolloutEvidence)) {
	c := n.coordinator
	c.loop.Offer(func() {
		if progress := c.progress[in.Subject]; progress != nil && c.ensureLeading() {
			in.Routes = progress.finding.Evidence
		}
		reply(in)
	})
}
