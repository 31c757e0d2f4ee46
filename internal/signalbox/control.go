package signalbox

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/juju/errors"

	"ploverhitch/internal/derail"
	"ploverhitch/internal/manifest"
)

const callBytes = 32 << 20

// control is the operators' interface, as api/control.yaml lays it down.
func (b *box) control() http.Handler {
	mux := http.NewServeMux()
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(writeError)}
	handle := func(pattern string, point endpoint.Endpoint, decode kithttp.DecodeRequestFunc) {
		mux.Handle(pattern, kithttp.NewServer(point, decode, writeJSON, options...))
	}
	handle("POST /v1/manifest/modify", b.modifyPoint, decodeModify)
	handle("GET /v1/manifest/read", b.readPoint, kithttp.NopRequestDecoder)
	handle("GET /v1/status", b.statusPoint, kithttp.NopRequestDecoder)
	return mux
}

func decodeModify(_ context.Context, r *http.Request) (any, error) {
	text, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, callBytes))
	if err != nil {
		return nil, derail.New(derail.BadManifest, err.Error())
	}
	return manifest.ParseModify(text)
}

func (b *box) modifyPoint(_ context.Context, request any) (any, error) {
	return json.RawMessage("{}"), b.modify(request.([]manifest.Item))
}

func (b *box) readPoint(context.Context, any) (any, error) {
	book, err := b.read()
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
	kind := derail.Gone
	var known *derail.Error
	if errors.As(err, &known) {
		kind = known.Kind
	}
	text, _ := json.Marshal(map[string]string{"Error": err.Error()})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(derail.AnswerOf(kind).Status)
	_, _ = w.Write(text)
}

// status is what an operator sees of one node.
type status struct {
	Node      string            `json:"Node"`
	Epoch     uint64            `json:"Epoch"`
	Members   map[string]bool   `json:"Members"`
	IsTrusted bool              `json:"IsTrusted"`
	Term      uint64            `json:"Term"`
	Holder    string            `json:"Holder"`
	Items     int               `json:"Items"`
	Digest    string            `json:"Digest"`
	Servers   int               `json:"Servers"`
	Followers []string          `json:"Followers"`
	Intents   map[string]int    `json:"Intents"`
	OldestMs  int64             `json:"OldestOpenMs"`
	Versions  map[string]string `json:"Versions"`
}

func (b *box) statusPoint(context.Context, any) (any, error) {
	out := status{Node: b.self, Followers: b.hub.Followers(), Members: map[string]bool{}, Versions: map[string]string{}}
	b.keeper.read(func(t *tables) {
		out.Epoch, out.IsTrusted, out.Term, out.Holder = uint64(t.view.Epoch), t.isTrusted, t.term.Number, t.term.Holder
		out.Items, out.Digest = len(t.book), t.bookDigest()
		for _, item := range t.book.Items() {
			if text, err := item.Version.MarshalText(); err == nil {
				out.Versions[item.ID.Name] = string(text)
			}
		}
		counts, oldest := t.voter.Count(b.clock.Wall())
		out.Intents, out.OldestMs = counts, oldest.Milliseconds()
		for _, member := range t.view.Members {
			out.Members[member] = member == b.self
		}
	})
	b.onRoll(func() {
		for member := range out.Members {
			out.Members[member] = out.Members[member] || b.watch.IsLive(member)
		}
	})
	out.Servers = len(b.fleet().Servers)
	return out, nil
}
