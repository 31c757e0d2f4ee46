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

const callBytes = 32 << 20

// call is one call of the operators' interface: what it does, and how its
// request is read.
type call struct {
	point  endpoint.Endpoint
	decode kithttp.DecodeRequestFunc
}

// table is the operators' interface, as api/control.yaml lays it down.
func (n *node) table() map[string]call {
	return map[string]call{
		"POST /v1/config/modify":          {n.modifyPoint, decoding(config.ParseModify)},
		"GET /v1/config/read":             {n.readPoint, kithttp.NopRequestDecoder},
		"GET /v1/config/accepted/{name}":  {n.acceptedPoint, decodeItemName},
		"POST /v1/rollouts/start":         {n.startPoint, decodeRollout},
		"GET /v1/rollouts/{service}/read": {n.rolloutPoint, decodeSubject},
		"POST /v1/sites/modify":           {n.modifyPoint, decoding(config.Parser(config.SiteItem))},
		"GET /v1/sites":                   {n.requireQuorumContact(n.sitesPoint), kithttp.NopRequestDecoder},
		"POST /v1/plans/modify":           {n.modifyPoint, decoding(config.Parser(config.PlanItem))},
		"GET /v1/load":                    {n.requireQuorumContact(n.loadPoint), kithttp.NopRequestDecoder},
		"POST /v1/mirrors/modify":         {n.modifyPoint, decoding(config.Parser(config.MirrorItem))},
		"GET /v1/mirrors":                 {n.requireQuorumContact(n.mirrorsPoint), kithttp.NopRequestDecoder},
		"POST /v1/staged/start":           {n.stagePoint, decodeStaged},
		"GET /v1/staged/{name}/read":      {n.stagedPoint, decodeName},
		"POST /v1/staged/{name}/halt":     {n.haltPoint, decodeName},
		"GET /v1/status":                  {n.statusPoint, kithttp.NopRequestDecoder},
		"GET /v1/fleet":                   {n.requireQuorumContact(n.fleetPoint), kithttp.NopRequestDecoder},
	}
}

func (n *node) control() http.Handler {
	mux := http.NewServeMux()
	for pattern, c := range n.table() {
		mux.Handle(pattern, kithttp.NewServer(c.point, c.decode, writeJSON, kithttp.ServerErrorEncoder(writeError)))
	}
	return mux
}

// decoding reads a call that brings items.
func decoding(parse func([]byte) ([]config.Item, error)) kithttp.DecodeRequestFunc {
	return func(_ context.Context, r *http.Request) (any, error) {
		text, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, callBytes))
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, apierror.New(apierror.TooLarge, err.Error())
		}
		if err != nil {
			return nil, apierror.New(apierror.BadManifest, err.Error())
		}
		return parse(text)
	}
}

// readOrder reads an order whole and checks it by itself.
func readOrder(r *http.Request, limit int64, order interface{ check() error }) error {
	text, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	if err == nil {
		err = json.Unmarshal(text, order)
	}
	if err == nil {
		err = order.check()
	}
	if err != nil {
		return apierror.New(apierror.BadOrder, err.Error())
	}
	return nil
}

func (n *node) modifyPoint(_ context.Context, request any) (any, error) {
	return json.RawMessage("{}"), n.modify(request.([]config.Item))
}

func (n *node) readPoint(context.Context, any) (any, error) {
	book, err := n.readConfig()
	if err != nil {
		return nil, err
	}
	text, err := book.Render()
	return json.RawMessage(text), err
}

func writeJSON(_ context.Context, w http.ResponseWriter, reply any) error {
	text, err := json.Marshal(reply)
	if err != nil {
		return errors.Trace(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, err = w.Write(text)
	return err
}

// writeError answers by the table of kinds.
func writeError(_ context.Context, err error, w http.ResponseWriter) {
	kind := apierror.Gone
	var known *apierror.Error
	if errors.As(err, &known) {
		kind = known.Kind
	}
	text, _ := json.Marshal(map[string]string{"Error": err.Error()})
	answer := apierror.AnswerOf(kind)
	w.Header().Set("Content-Type", "application/json")
	if answer.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', -1, 64))
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(text)
}
