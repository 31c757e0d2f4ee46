package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
)

const maxRequestBytes = 32 << 20

// operation is one operation of the operator API: its endpoint and the decoder of its
// request.
type operation struct {
	endpoint endpoint.Endpoint
	decode   kithttp.DecodeRequestFunc
}

// operations maps route patterns to the operations of the operator API, which
// api/control.yaml specifies.
func (n *node) operations() map[string]operation {
	return map[string]operation{
		"POST /v1/config/modify":          {n.modifyEndpoint, decodeItems(config.ParseModify)},
		"GET /v1/config/read":             {n.readEndpoint, kithttp.NopRequestDecoder},
		"GET /v1/config/accepted/{name}":  {n.acceptedEndpoint, decodeItemName},
		"POST /v1/rollouts/start":         {n.startRolloutEndpoint, decodeRollout},
		"GET /v1/rollouts/{service}/read": {n.readRolloutEndpoint, decodeServiceName},
		"POST /v1/sites/modify":           {n.modifyEndpoint, decodeItems(config.ModifyParser(config.SiteItem))},
		"GET /v1/sites":                   {n.requireQuorumContact(n.sitesEndpoint), kithttp.NopRequestDecoder},
		"POST /v1/plans/modify":           {n.modifyEndpoint, decodeItems(config.ModifyParser(config.PlanItem))},
		"GET /v1/load":                    {n.requireQuorumContact(n.loadEndpoint), kithttp.NopRequestDecoder},
		"POST /v1/mirrors/modify":         {n.modifyEndpoint, decodeItems(config.ModifyParser(config.MirrorItem))},
		"GET /v1/mirrors":                 {n.requireQuorumContact(n.mirrorsEndpoint), kithttp.NopRequestDecoder},
		"POST /v1/staged/start":           {n.startStagedEndpoint, decodeStaged},
		"GET /v1/staged/{name}/read":      {n.readStagedEndpoint, decodeStagedName},
		"POST /v1/staged/{name}/halt":     {n.haltStagedEndpoint, decodeStagedName},
		"GET /v1/status":                  {n.statusEndpoint, kithttp.NopRequestDecoder},
		"GET /v1/fleet":                   {n.requireQuorumContact(n.fleetEndpoint), kithttp.NopRequestDecoder},
	}
}

func (n *node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	for pattern, op := range n.operations() {
		mux.Handle(pattern, kithttp.NewServer(op.endpoint, op.decode, writeJSON, kithttp.ServerErrorEncoder(writeError)))
	}
	return mux
}

// decodeItems returns a decoder for requests that contain configuration items.
func decodeItems(parse func([]byte) ([]config.Item, error)) kithttp.DecodeRequestFunc {
	return func(_ context.Context, r *http.Request) (any, error) {
		body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxRequestBytes))
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, apierror.New(apierror.BodyTooLarge, err.Error())
		}
		if err != nil {
			return nil, apierror.New(apierror.InvalidConfiguration, err.Error())
		}
		return parse(body)
	}
}

// readCommand decodes an operator's command from the request body and validates it.
func readCommand(r *http.Request, limit int64, command interface{ check() error }) error {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	if err == nil {
		err = json.Unmarshal(body, command)
	}
	if err == nil {
		err = command.check()
	}
	if err != nil {
		return apierror.New(apierror.InvalidOrder, err.Error())
	}
	return nil
}

func (n *node) modifyEndpoint(ctx context.Context, request any) (any, error) {
	return json.RawMessage("{}"), n.modify(request.([]config.Item), httpCaller{ctx})
}

func (n *node) readEndpoint(context.Context, any) (any, error) {
	configuration, err := n.readConfig()
	if err != nil {
		return nil, err
	}
	body, err := configuration.Render()
	return json.RawMessage(body), err
}

func writeJSON(_ context.Context, w http.ResponseWriter, reply any) error {
	body, err := json.Marshal(reply)
	if err != nil {
		return errors.Trace(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err = w.Write(body)
	return err
}

// writeError writes an error response with the status and headers of the error's kind.
func writeError(_ context.Context, err error, w http.ResponseWriter) {
	kind := apierror.ControlPlaneUnavailable
	var known *apierror.Error
	if errors.As(err, &known) {
		kind = known.Kind
	}
	body, _ := json.Marshal(map[string]string{"Error": err.Error()})
	response := apierror.ResponseFor(kind)
	w.Header().Set("Content-Type", "application/json")
	if response.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', -1, 64))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(body)
}
