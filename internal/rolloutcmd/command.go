// Package rolloutcmd is the operators' command line for what is brought in under
// traffic: rollouts of versions and staged changes of lanes.
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

// The exit statuses of a watched trial.
const (
	ExitComplete = 0
	ExitReverted = 1
)

// Command is the subcommands rollout and staged.
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

// Register adds the subcommands to the command line.
//
// Example:
//
//	trials := rolloutcmd.Register(app, os.Stdout)
func Register(app *kingpin.Application, out io.Writer) *Command {
	c := &Command{clock: clock.Real(), client: &http.Client{Timeout: requestTimeout}, out: out}
	rollout := app.Command("rollout", "Brings a new version of a service in under traffic.")
	staged := app.Command("staged", "Follows or halts a staged change of lanes; ploverhitch apply --staged orders one.")
	c.control = app.Flag("core", "Control address of a core node, for rollout and staged.").PlaceHolder("HOST:PORT").String()
	start := rollout.Command("start", "Orders a version. Example: ploverhitch --core 10.1.0.42:8382 rollout start --service fees --target v2 --duration 12s")
	c.service, c.target = new(string), new(string)
	start.Flag("service", "The service.").Required().StringVar(c.service)
	start.Flag("target", "The version that is to be in force.").Required().StringVar(c.target)
	c.duration = start.Flag("duration", "The term.").Required().Duration()
	c.limit, c.name = new(time.Duration), new(string)
	for verb, help := range map[string]string{"read": "Tells how it stands.", "watch": "Follows it to its end: status 0 if complete, 1 if reverted."} {
		rolloutCommand := rollout.Command(verb, help)
		rolloutCommand.Flag("service", "The service.").Required().StringVar(c.service)
		stagedCommand := staged.Command(verb, help)
		stagedCommand.Flag("name", "The change's name.").Required().StringVar(c.name)
		if verb == "watch" {
			rolloutCommand.Flag("limit", "How long to follow it.").Default("10m").DurationVar(c.limit)
			stagedCommand.Flag("limit", "How long to follow it.").Default("10m").DurationVar(c.limit)
		}
	}
	halt := staged.Command("halt", "Halts it; every node goes back to the manifest.")
	halt.Flag("name", "The change's name.").Required().StringVar(c.name)
	return c
}

// Run runs the subcommand of that name and returns the exit status.
//
// Example:
//
//	status, err := trials.Run("rollout watch")
func (c *Command) Run(name string) (status int, err error) {
	if *c.control == "" {
		return 2, errors.NotValidf("call without --core")
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

// watch prints what has changed until the end.
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
