package control

import (
	"context"
	"net/http"
	"strings"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/timetable"
)

// rollout is an operator's order for a service's version.
type rollout struct {
	Service       string         `json:"Service"`
	TargetVersion string         `json:"TargetVersion"`
	Duration      timetable.Span `json:"Duration"`
}

const (
	orderBytes  = 64 << 10
	orderSpan   = 900 * time.Millisecond
	termLongest = 24 * time.Hour
)

func (r *rollout) check() error {
	return validation.ValidateStruct(r,
		validation.Field(&r.Service, validation.Required),
		validation.Field(&r.TargetVersion, validation.Required, validation.Length(1, 256)),
		validation.Field(&r.Duration, validation.Required, validation.Max(int64(termLongest))),
	)
}

func decodeRollout(_ context.Context, r *http.Request) (any, error) {
	var order rollout
	err := readCommand(r, orderBytes, &order)
	return order, err
}

func decodeSubject(_ context.Context, r *http.Request) (any, error) {
	name := r.PathValue("service")
	if strings.TrimSpace(name) == "" {
		return nil, apierror.New(apierror.NotFound, "")
	}
	return name, nil
}

func (n *node) startPoint(_ context.Context, request any) (any, error) {
	order := request.(rollout)
	in := messages.StartRollout{Service: order.Service, Target: order.TargetVersion, Duration: int64(order.Duration)}
	return struct{}{}, n.callLeader(messages.KindStartRollout, in)
}

// RolloutState is how a rollout stands.
type RolloutState struct {
	State         string `json:"State"`
	TargetVersion string `json:"TargetVersion"`
	Phase         string `json:"Phase"`
	Reason        string `json:"Reason,omitempty"`
}

func (n *node) rolloutPoint(_ context.Context, request any) (any, error) {
	state, err := n.readTrial(request.(string))
	if err != nil {
		return nil, err
	}
	return RolloutState{State: state.Answer(), TargetVersion: state.Target, Phase: state.Phase.String(), Reason: state.Reason}, nil
}
