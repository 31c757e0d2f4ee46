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

// Command is the subcommand that sends objects to a core node.
type Command struct {
	file, control *string
	isDry         *bool
	staged, first *string
	duration      *time.Duration
	out           io.Writer
}

// Register adds the subcommand to the command line.
//
// Example:
//
//	apply := apply.Register(app, os.Stdout)
func Register(app *kingpin.Application, out io.Writer) *Command {
	apply := app.Command("apply", "Sends Kubernetes-style objects as the operator. Example: ploverhitch apply --control 10.1.0.42:8382 --file objects.yaml")
	return &Command{
		file:     apply.Flag("file", "The objects, in YAML.").Short('f').Required().String(),
		control:  apply.Flag("control", "Control address of a core node.").PlaceHolder("HOST:PORT").String(),
		isDry:    apply.Flag("dry-run", "Check the objects, print the call, and send nothing.").Bool(),
		staged:   apply.Flag("staged", "Bring the change in node by node under this name: ploverhitch staged watch follows it.").PlaceHolder("NAME").String(),
		first:    apply.Flag("first", "The node that a staged change reaches first.").PlaceHolder("NODE").String(),
		duration: apply.Flag("duration", "The term of a staged change.").Default("5m").Duration(),
		out:      out,
	}
}

const applySpan = 10 * time.Second

// Run reads, checks and sends the objects.
//
// Example:
//
//	err := apply.Run()
func (c *Command) Run() error {
	file, err := os.ReadFile(*c.file)
	if err != nil {
		return errors.Trace(err)
	}
	text, own, err := Parse(file)
	if err != nil {
		return errors.Annotate(err, *c.file)
	}
	path := "/v1/config/modify"
	if *c.staged != "" {
		order := map[string]any{"Name": *c.staged, "First": *c.first, "Duration": clock.Duration(*c.duration), "Change": json.RawMessage(text)}
		if path = "/v1/staged/start"; len(own) > 0 {
			return errors.NotSupportedf("an object for %s in a staged change", own[0].Path)
		}
		if text, err = json.Marshal(order); err != nil {
			return errors.Trace(err)
		}
	}
	if *c.isDry {
		fmt.Fprintln(c.out, string(text))
		for _, one := range own {
			fmt.Fprintln(c.out, string(one.Text))
		}
		return nil
	}
	if *c.control == "" {
		return errors.NotValidf("call without --control")
	}
	// Plans and mirrors name lanes, so these come first.
	for _, one := range append([]Own{{path, text}}, own...) {
		if err := c.send(one.Path, one.Text); err != nil {
			return err
		}
	}
	fmt.Fprintln(c.out, "acknowledged")
	return nil
}

func (c *Command) send(path string, text []byte) error {
	client := &http.Client{Timeout: applySpan}
	response, err := client.Post("http://"+*c.control+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	reason, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %d: %s", *c.control, response.StatusCode, strings.TrimSpace(string(reason)))
	}
	return nil
}
