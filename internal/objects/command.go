package objects

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
)

// Command is the subcommand that sends objects to a core node.
type Command struct {
	file, control *string
	isDry         *bool
	out           io.Writer
}

// Register adds the subcommand to the command line.
//
// Example:
//
//	apply := objects.Register(app, os.Stdout)
func Register(app *kingpin.Application, out io.Writer) *Command {
	apply := app.Command("apply", "Sends Kubernetes-style objects as the operator. Example: ploverhitch apply --control 10.1.0.42:8382 --file objects.yaml")
	return &Command{
		file:    apply.Flag("file", "The objects, in YAML.").Short('f').Required().String(),
		control: apply.Flag("control", "Control address of a core node.").PlaceHolder("HOST:PORT").String(),
		isDry:   apply.Flag("dry-run", "Check the objects, print the call, and send nothing.").Bool(),
		out:     out,
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
	text, err := Parse(file)
	if err != nil {
		return errors.Annotate(err, *c.file)
	}
	if *c.isDry {
		fmt.Fprintln(c.out, string(text))
		return nil
	}
	if *c.control == "" {
		return errors.NotValidf("call without --control")
	}
	client := &http.Client{Timeout: applySpan}
	response, err := client.Post("http://"+*c.control+"/v1/manifest/modify", "application/json", strings.NewReader(string(text)))
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	reason, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %d: %s", *c.control, response.StatusCode, strings.TrimSpace(string(reason)))
	}
	fmt.Fprintln(c.out, "acknowledged")
	return nil
}
