// Package rolloutcmd implements the commands rollout and staged, with which operators
// control rollouts of service versions and staged changes of routes.
package rolloutcmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"ploverhitch/internal/clock"
)

// Exit statuses of the watch subcommands.
const (
	ExitComplete = 0
	ExitReverted = 1
)

// Command holds the flags of the commands rollout and staged.
type Command struct {
	control, service, target, name *string
	duration, limit                *time.Duration
	clock                          clock.Clock
	client                         *http.Client
	out                            io.Writer
}

const (
	requestTimeout = 5 * time.Second
	pollInterval   = time.Second
)

// Register adds the commands to app; their output goes to out.
func Register(app *kingpin.Application, out io.Writer) *Command {
	c := &Command{clock: clock.Real(), client: &http.Client{Timeout: requestTimeout}, out: out}
	rollout := app.Command("rollout", "Rolls out a new version of a service under traffic.")
	staged := app.Command("staged", "Follows or halts a staged change of routes; ploverhitch apply --staged starts one.")
	c.control = app.Flag("core", "Control address of a control node, for rollout and staged.").PlaceHolder("HOST:PORT").String()
	start := rollout.Command("start", "Starts a rollout. Example: ploverhitch --core 10.1.0.42:8382 rollout start --service fees --target v2 --duration 12s")
	c.service, c.target = new(string), new(string)
	start.Flag("service", "Name of the service.").Required().StringVar(c.service)
	start.Flag("target", "Version to roll out.").Required().StringVar(c.target)
	c.duration = start.Flag("duration", "Duration of the rollout.").Required().Duration()
	c.limit, c.name = new(time.Duration), new(string)
	for verb, help := range map[string]string{"read": "Prints the current state.", "watch": "Follows the state to the end: exit status 0 if complete, 1 if reverted."} {
		rolloutCommand := rollout.Command(verb, help)
		rolloutCommand.Flag("service", "Name of the service.").Required().StringVar(c.service)
		stagedCommand := staged.Command(verb, help)
		stagedCommand.Flag("name", "Name of the staged change.").Required().StringVar(c.name)
		if verb == "watch" {
			rolloutCommand.Flag("limit", "Maximum time to watch.").Default("10m").DurationVar(c.limit)
			stagedCommand.Flag("limit", "Maximum time to watch.").Default("10m").DurationVar(c.limit)
		}
	}
	halt := staged.Command("halt", "Halts the staged change; every node returns to the current configuration.")
	halt.Flag("name", "Name of the staged change.").Required().StringVar(c.name)
	return c
}

// Run runs the subcommand with this full name, such as "rollout watch", and returns the
// exit status.
func (c *Command) Run(name string) (status int, err error) {
	if *c.control == "" {
		return 2, errors.NotValidf("request without --core")
	}
	path := "/v1/rollouts/" + url.PathEscape(*c.service)
	if strings.HasPrefix(name, "staged") {
		path = "/v1/staged/" + url.PathEscape(*c.name)
	}
	switch verb := name[strings.LastIndexByte(name, ' ')+1:]; verb {
	case "start":
		body, _ := json.Marshal(map[string]string{"Service": *c.service, "TargetVersion": *c.target, "Duration": formatDuration(*c.duration)})
		_, err = c.do(http.MethodPost, "/v1/rollouts/start", body)
	case "halt":
		_, err = c.do(http.MethodPost, path+"/halt", nil)
	case "read":
		var body []byte
		if body, err = c.do(http.MethodGet, path+"/read", nil); err == nil {
			c.print(body)
		}
	case "watch":
		return c.watch(path + "/read")
	}
	if err != nil {
		return 2, err
	}
	return 0, nil
}

func formatDuration(duration time.Duration) string {
	text, _ := clock.Duration(duration).MarshalText()
	return string(text)
}

// watch polls the state and prints each change until the state is final or the limit expires.
func (c *Command) watch(path string) (status int, err error) {
	previous := ""
	for waited := time.Duration(0); waited <= *c.limit; waited += pollInterval {
		body, err := c.do(http.MethodGet, path, nil)
		var state struct{ State, Phase, Reason string }
		if err == nil && json.Unmarshal(body, &state) == nil {
			if line := state.Phase + string(body); line != previous {
				previous = line
				c.print(body)
			}
			switch state.State {
			case "complete":
				return ExitComplete, nil
			case "reverted":
				return ExitReverted, nil
			}
		}
		c.clock.Sleep(pollInterval)
	}
	return 2, errors.Timeoutf("watching %s", path)
}

func (c *Command) print(body []byte) {
	var out bytes.Buffer
	if json.Indent(&out, body, "", "  ") == nil {
		fmt.Fprintln(c.out, out.String())
	}
}

func (c *Command) do(method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, "http://"+*c.control+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, 4<<20))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("%s%s answered %d: %s", *c.control, path, response.StatusCode, strings.TrimSpace(string(responseBody)))
	}
	return responseBody, errors.Trace(err)
}
