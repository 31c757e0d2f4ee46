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
	Complete = 0
	Reverted = 1
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
	callSpan  = 5 * time.Second
	watchRest = time.Second
)

// Register adds the subcommands to the command line.
//
// Example:
//
//	trials := rolloutcmd.Register(app, os.Stdout)
func Register(app *kingpin.Application, out io.Writer) *Command {
	c := &Command{clock: clock.Real(), client: &http.Client{Timeout: callSpan}, out: out}
	rollout := app.Command("rollout", "Brings a new version of a service in under traffic.")
	staged := app.Command("staged", "Follows or halts a staged change of lanes; ploverhitch apply --staged orders one.")
	c.control = app.Flag("core", "Control address of a core node, for rollout and staged.").PlaceHolder("HOST:PORT").String()
	start := rollout.Command("start", "Orders a version. Example: ploverhitch --core 10.1.0.42:8382 rollout start --service fees --target v2 --duration 12s")
	c.service, c.target = new(string), new(string)
	start.Flag("service", "The service.").Required().StringVar(c.service)
	start.Flag("target", "The version that is to be in force.").Required().StringVar(c.target)
	c.duration = start.Flag("duration", "The term.").Required().Duration()
	c.limit, c.name = new(time.Duration), new(string)
	for verb, text := range map[string]string{"read": "Tells how it stands.", "watch": "Follows it to its end: status 0 if complete, 1 if reverted."} {
		one := rollout.Command(verb, text)
		one.Flag("service", "The service.").Required().StringVar(c.service)
		other := staged.Command(verb, text)
		other.Flag("name", "The change's name.").Required().StringVar(c.name)
		if verb == "watch" {
			one.Flag("limit", "How long to follow it.").Default("10m").DurationVar(c.limit)
			other.Flag("limit", "How long to follow it.").Default("10m").DurationVar(c.limit)
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
	subject := "/v1/rollouts/" + url.PathEscape(*c.service)
	if strings.HasPrefix(name, "staged") {
		subject = "/v1/staged/" + url.PathEscape(*c.name)
	}
	switch verb := name[strings.LastIndexByte(name, ' ')+1:]; verb {
	case "start":
		text, _ := json.Marshal(map[string]string{"Service": *c.service, "TargetVersion": *c.target, "Duration": spanText(*c.duration)})
		_, err = c.call(http.MethodPost, "/v1/rollouts/start", text)
	case "halt":
		_, err = c.call(http.MethodPost, subject+"/halt", nil)
	case "read":
		var text []byte
		if text, err = c.call(http.MethodGet, subject+"/read", nil); err == nil {
			c.print(text)
		}
	case "watch":
		return c.watch(subject + "/read")
	}
	if err != nil {
		return 2, err
	}
	return 0, nil
}

func spanText(span time.Duration) string {
	text, _ := clock.Duration(span).MarshalText()
	return string(text)
}

// watch prints what has changed until the end.
func (c *Command) watch(path string) (status int, err error) {
	last := ""
	for waited := time.Duration(0); waited <= *c.limit; waited += watchRest {
		text, err := c.call(http.MethodGet, path, nil)
		var state struct{ State, Phase, Reason string }
		if err == nil && json.Unmarshal(text, &state) == nil {
			if line := state.Phase + string(text); line != last {
				last = line
				c.print(text)
			}
			switch state.State {
			case "complete":
				return Complete, nil
			case "reverted":
				return Reverted, nil
			}
		}
		c.clock.Sleep(watchRest)
	}
	return 2, errors.Timeoutf("watching %s", path)
}

func (c *Command) print(text []byte) {
	var out bytes.Buffer
	if json.Indent(&out, text, "", "  ") == nil {
		fmt.Fprintln(c.out, out.String())
	}
}

func (c *Command) call(method, path string, body []byte) ([]byte, error) {
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
	text, err := io.ReadAll(io.LimitReader(response.Body, 4<<20))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("%s%s answered %d: %s", *c.control, path, response.StatusCode, strings.TrimSpace(string(text)))
	}
	return text, errors.Trace(err)
}
