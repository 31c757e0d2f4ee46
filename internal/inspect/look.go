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
	requestTimeout   = 3 * time.Second
	maxResponseBytes = 64 << 20
)

// Control is a client of the operator API of one control plane member.
type Control struct {
	Address string
	client  *http.Client
}

// NewControl returns a client for a control address.
func NewControl(address string) *Control {
	return &Control{address, &http.Client{Timeout: requestTimeout}}
}

func (c *Control) get(path string) ([]byte, error) {
	response, err := c.client.Get("http://" + c.Address + path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
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

// ItemSet reads the current configuration.
func (c *Control) ItemSet() (config.ItemSet, error) {
	text, err := c.get("/v1/config/read")
	if err != nil {
		return nil, err
	}
	items, err := config.ParseModify([]byte(`{"Upsert":` + string(text) + `}`))
	if err != nil {
		return nil, errors.Annotatef(err, "configuration of %s", c.Address)
	}
	itemSet := config.ItemSet{}
	itemSet.Merge(items)
	return itemSet, nil
}

// FileItems reads the items of a configuration request from a file. The error for
// invalid JSON is a single line with the line number.
func FileItems(path string) ([]config.Item, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var document any
	if err := json.Unmarshal(text, &document); err != nil {
		offset := len(text)
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			offset = min(int(syntax.Offset), len(text))
		}
		return nil, errors.Errorf("%s, line %d: %s", path, 1+strings.Count(string(text[:offset]), "\n"), err)
	}
	items, err := config.ParseModify(text)
	return items, errors.Annotate(err, path)
}

// memberControl returns a client for the operator API of the member with the given
// internal address. The control port is the same on all machines.
func (c *Control) memberControl(member string) (*Control, error) {
	_, port, err := net.SplitHostPort(c.Address)
	if err != nil {
		return nil, errors.Annotate(err, "control address")
	}
	host, _, err := net.SplitHostPort(member)
	if err != nil {
		return nil, errors.Annotate(err, "member address")
	}
	return NewControl(net.JoinHostPort(host, port)), nil
}

// Fleet queries the status of the control plane members and of the proxies.
func (c *Control) Fleet() (fleet Fleet, err error) {
	var first control.Status
	if err = c.read("/v1/status", &first); err != nil {
		return fleet, err
	}
	var page struct{ Servers []feed.Server }
	if err = c.read("/v1/fleet", &page); err != nil {
		return fleet, err
	}
	fleet.Servers, fleet.Members = page.Servers, []control.Status{first}
	for member := range first.Members {
		if member == first.Node {
			continue
		}
		memberControl, err := c.memberControl(member)
		if err != nil {
			return fleet, err
		}
		var status control.Status
		if memberControl.read("/v1/status", &status) != nil {
			fleet.Unreachable = append(fleet.Unreachable, member)
			continue
		}
		fleet.Members = append(fleet.Members, status)
	}
	for _, proxy := range proxyClients(fleet.Members) {
		var status messages.ProxyStatus
		if proxy.client.Call(messages.KindProxyStatus, struct{}{}, &status, requestTimeout) != nil {
			fleet.Unreachable = append(fleet.Unreachable, proxy.name)
			continue
		}
		fleet.Proxies = append(fleet.Proxies, status)
	}
	return fleet, nil
}

// proxyClient is a connection to a proxy that follows a member's feed.
type proxyClient struct {
	name   string
	client *rpc.Client
}

func proxyClients(members []control.Status) (out []proxyClient) {
	seen := map[string]bool{}
	for _, member := range members {
		for _, follower := range member.Followers {
			name, address, isProxy := strings.Cut(follower, "@")
			if isProxy && !seen[name] {
				seen[name] = true
				out = append(out, proxyClient{name, rpc.NewClient(address, time.Second, requestTimeout)})
			}
		}
	}
	return out
}
