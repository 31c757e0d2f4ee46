package control

import (
	"context"
	"net/http"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/messages"
)

// rolloutRequest is an operator's request to roll out a version of a service.
type rolloutRequest struct {
	Service       string         `json:"Service"`
	TargetVersion string         `json:"TargetVersion"`
	Duration      clock.Duration `json:"Duration"`
}

const (
	maxCommandBytes    = 64 << 10
	commandTimeout     = 900 * time.Millisecond
	maxRolloutDuration = 24 * time.Hour
)

func (r *rolloutRequest) check() error {
	return validation.ValidateStruct(r,
		validation.Field(&r.Service, validation.Required),
		validation.Field(&r.TargetVersion, validation.Required, validation.Length(1, 256)),
		validation.Field(&r.Duration, validation.Required, validation.Max(int64(maxRolloutDuration))),
	)
}

func decodeRollout(_ context.Context, r *http.Request) (any, error) {
	var command rolloutRequest
	err := readCommand(r, maxCommandBytes, &command)
	return command, err
}

func decodeServiceName(_ context.Context, r *http.Request) (any, error) {
	name := r.PathValue("service")
	if strings.TrimSpace(name) == "" {
		return nil, apierror.New(apierror.NotFound, "")
	}
	return name, nil
}

func (n *node) startRolloutEndpoint(ctx context.Context, request any) (any, error) {
	command := request.(rolloutRequest)
	return struct{}{}, n.callLeader(messages.KindStartRollout, httpCaller{ctx}, func(base *messages.CommandBase) any {
		return messages.StartRollout{Service: command.Service, Target: command.TargetVersion, Duration: int64(command.Duration), Base: base}
	})
}

// RolloutState is the state of a rollout in the operator API.
type RolloutState struct {
	State         string `json:"State"`
	TargetVersion string `json:"TargetVersion"`
	Phase         string `json:"Phase"`
	Reason        string `json:"Reason,omitempty"`
}

func (n *node) readRolloutEndpoint(_ context.Context, request any) (any, error) {
	state, err := n.readRollout(request.(string))
	if err != nil {
		return nil, err
	}
	return RolloutState{State: state.Status(), TargetVersion: state.TargetVersion, Phase: state.Phase.String(), Reason: state.Reason}, nil
}
