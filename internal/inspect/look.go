package inspect

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/config"
	"ploverhitch/internal/control"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/rpc"
)

const (
	lookSpan  = 3 * time.Second
	bookBytes = 64 << 20
)

// Control is the operators' interface of one core node.
type Control struct {
	Address string
	client  *http.Client
}

// NewControl makes a client of a control address.
//
// Example:
//
//	control := inspector.NewControl("10.1.0.42:8382")
func NewControl(address string) *Control {
	return &Control{address, &http.Client{Timeout: lookSpan}}
}

func (c *Control) get(path string) ([]byte, error) {
	response, err := c.client.Get("http://" + c.Address + path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, bookBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("%s%s answered %d", c.Address, path, response.StatusCode)
	}
	return text, errors.Trace(err)
}

func (c *Control) read(path string, out any) error {
	text, err := c.get(path)
	if err == nil {
		err = json.Unmarshal(text, out)
	}
	return errors.Annotatef(err, "%s%s", c.Address, path)
}

// Book reads the manifest in force.
//
// Example:
//
//	book, err := control.Book()
func (c *Control) Book() (config.ItemSet, error) {
	text, err := c.get("/v1/config/read")
	if err != nil {
		return nil, err
	}
	items, err := config.ParseModify([]byte(`{"Upsert":` + string(text) + `}`))
	if err != nil {
		return nil, errors.Annotatef(err, "manifest of %s", c.Address)
	}
	book := config.ItemSet{}
	book.Merge(items)
	return book, nil
}

// FileItems reads a call of an operator from a file. What cannot be read is told
// with its place, in one line.
//
// Example:
//
//	items, err := inspector.FileItems("manifest.json")
func FileItems(path string) ([]config.Item, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var whole any
	if err := json.Unmarshal(text, &whole); err != nil {
		at := len(text)
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			at = min(int(syntax.Offset), len(text))
		}
		return nil, errors.Errorf("%s, line %d: %s", path, 1+strings.Count(string(text[:at]), "\n"), err)
	}
	items, err := config.ParseModify(text)
	return items, errors.Annotate(err, path)
}

// at is the operators' interface of a member, which is named by its internal
// address; on all machines the ports are alike.
func (c *Control) at(member string) (*Control, error) {
	_, port, err := net.SplitHostPort(c.Address)
	if err != nil {
		return nil, errors.Annotate(err, "control address")
	}
	host, _, err := net.SplitHostPort(member)
	if err != nil {
		return nil, errors.Annotate(err, "address of a member")
	}
	return NewControl(net.JoinHostPort(host, port)), nil
}

// Fleet asks the core nodes and the proxies what they have in force.
//
// Example:
//
//	fleet, err := control.Fleet()
func (c *Control) Fleet() (fleet Fleet, err error) {
	var first control.Status
	if err = c.read("/v1/status", &first); err != nil {
		return fleet, err
	}
	var page struct{ Servers []feed.Server }
	if err = c.read("/v1/fleet", &page); err != nil {
		return fleet, err
	}
	fleet.Servers, fleet.Cores = page.Servers, []control.Status{first}
	for member := range first.Members {
		if member == first.Node {
			continue
		}
		at, err := c.at(member)
		if err != nil {
			return fleet, err
		}
		var status control.Status
		if at.read("/v1/status", &status) != nil {
			fleet.Unheard = append(fleet.Unheard, member)
			continue
		}
		fleet.Cores = append(fleet.Cores, status)
	}
	for _, edge := range edgesOf(fleet.Cores) {
		var sight messages.ProxyStatus
		if edge.line.Call(messages.KindProxyStatus, struct{}{}, &sight, lookSpan) != nil {
			fleet.Unheard = append(fleet.Unheard, edge.name)
			continue
		}
		fleet.Edges = append(fleet.Edges, sight)
	}
	return fleet, nil
}

// edge is a proxy's machine, as the core knows it by the feed it follows.
type edge struct {
	name string
	line *rpc.Client
}

func edgesOf(cores []control.Status) (out []edge) {
	seen := map[string]bool{}
	for _, core := range cores {
		for _, follower := range core.Followers {
			name, address, isEdge := strings.Cut(follower, "@")
			if isEdge && !seen[name] {
				seen[name] = true
				out = append(out, edge{name, rpc.NewClient(address, time.Second, lookSpan)})
			}
		}
	}
	return out
}
