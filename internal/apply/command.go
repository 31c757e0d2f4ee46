package apply

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"ploverhitch/internal/clock"
)

// Command is the subcommand apply, which sends objects to a control node.
type Command struct {
	file, control *string
	dryRun        *bool
	staged, first *string
	duration      *time.Duration
	out           io.Writer
}

// Register adds the subcommand to app; its output goes to out.
func Register(app *kingpin.Application, out io.Writer) *Command {
	apply := app.Command("apply", "Sends Kubernetes-style objects as the operator. Example: ploverhitch apply --control 10.1.0.42:8382 --file objects.yaml")
	return &Command{
		file:     apply.Flag("file", "File with the objects, in YAML.").Short('f').Required().String(),
		control:  apply.Flag("control", "Control address of a control node.").PlaceHolder("HOST:PORT").String(),
		dryRun:   apply.Flag("dry-run", "Validate the objects and print the request without sending it.").Bool(),
		staged:   apply.Flag("staged", "Roll the change out node by node under this name; follow it with ploverhitch staged watch.").PlaceHolder("NAME").String(),
		first:    apply.Flag("first", "Node that receives a staged change first.").PlaceHolder("NODE").String(),
		duration: apply.Flag("duration", "Duration of a staged change.").Default("5m").Duration(),
		out:      out,
	}
}

const requestTimeout = 10 * time.Second

// Run reads and validates the objects and sends them to the control node.
func (c *Command) Run() error {
	contents, err := os.ReadFile(*c.file)
	if err != nil {
		return errors.Trace(err)
	}
	body, requests, err := Parse(contents)
	if err != nil {
		return errors.Annotate(err, *c.file)
	}
	path := "/v1/config/modify"
	if *c.staged != "" {
		rollout := map[string]any{"Name": *c.staged, "First": *c.first, "Duration": clock.Duration(*c.duration), "Change": json.RawMessage(body)}
		if path = "/v1/staged/start"; len(requests) > 0 {
			return errors.NotSupportedf("object for %s in a staged change", requests[0].Path)
		}
		if body, err = json.Marshal(rollout); err != nil {
			return errors.Trace(err)
		}
	}
	if *c.dryRun {
		fmt.Fprintln(c.out, string(body))
		for _, request := range requests {
			fmt.Fprintln(c.out, string(request.Body))
		}
		return nil
	}
	if *c.control == "" {
		return errors.NotValidf("request without --control")
	}
	// Plans and mirrors refer to routes, so the routes are sent first.
	for _, request := range append([]Request{{path, body}}, requests...) {
		if err := c.send(request.Path, request.Body); err != nil {
			return err
		}
	}
	fmt.Fprintln(c.out, "acknowledged")
	return nil
}

func (c *Command) send(path string, body []byte) error {
	client := &http.Client{Timeout: requestTimeout}
	response, err := client.Post("http://"+*c.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	message, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %d: %s", *c.control, response.StatusCode, strings.TrimSpace(string(message)))
	}
	return nil
}
