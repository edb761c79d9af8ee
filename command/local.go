package command

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/rhubarbsail/rhubarbsail/common/telemetry"
	"github.com/rhubarbsail/rhubarbsail/httpapi"
)

const localExamples = `  rhubarbsail local
  rhubarbsail local --gateways 3 --targets 11 --tasks 100
  rhubarbsail local --keep

Gateways, agents, and stand-ins of the platform and of targets run in this
process and listen on loopback. The job's answer, its history and its trace are
printed. With --keep the deployment stays up for the other subcommands until the
process is interrupted.`

// LocalOptions configures a single-process deployment.
type LocalOptions struct {
	Gateways, Targets int
	// Client and Service are the client and the service that the embedded
	// inventory and rules define.
	Client, Service string
	// FixedPorts makes the first gateway listen on the default addresses of
	// --callers and --operators.
	FixedPorts bool
	// Spans receives the spans of all components of the deployment.
	Spans *telemetry.Recorder
	// LogLevel is the minimum level of the log lines, which go to stderr.
	LogLevel string
}

// Deployment is a running single-process deployment that is ready for jobs.
type Deployment struct {
	// Callers and Operators are the URLs of each gateway.
	Callers, Operators []string
	// Flush exports the spans that have ended to LocalOptions.Spans.
	Flush func(ctx context.Context) error
	// Stop shuts the deployment down.
	Stop func(ctx context.Context) error
}

// The client and the service that the embedded configuration defines.
const (
	localClient  = "demo"
	localService = "echo"
)

// localStopTimeout is the timeout of the shutdown at the end of the subcommand.
const localStopTimeout = 20 * time.Second

type localCommand struct {
	app      *App
	Gateways int    `long:"gateways" default:"2" description:"number of gateways"`
	Targets  int    `long:"targets" default:"4" description:"number of targets, each with an agent and a worker"`
	Tasks    int    `long:"tasks" default:"8" description:"number of tasks of the job"`
	Keep     bool   `long:"keep" description:"keep the deployment on the default addresses until interrupted"`
	LogLevel string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"error" description:"least level of the log lines on stderr"`
}

// Limits that keep a single-process deployment within the resources of a small
// machine.
const (
	maxLocalGateways = 9
	maxLocalTargets  = 64
	maxLocalTasks    = 1300
)

// validate checks the options and arguments.
func (c *localCommand) validate(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	for _, b := range []struct {
		name           string
		value, maximum int
	}{{"gateways", c.Gateways, maxLocalGateways}, {"targets", c.Targets, maxLocalTargets}, {"tasks", c.Tasks, maxLocalTasks}} {
		if b.value < 1 || b.value > b.maximum {
			return exitf(ExitInvalid, "--%s %d is out of bounds; want 1 to %d", b.name, b.value, b.maximum)
		}
	}
	if c.app.StartLocal == nil {
		return errors.New("this build has no single-process mode")
	}
	return nil
}

// Execute starts the deployment, submits a job and prints its answer, history and
// trace.
func (c *localCommand) Execute(args []string) (err error) {
	if err := c.validate(args); err != nil {
		return err
	}
	spans := &telemetry.Recorder{}
	d, err := c.app.StartLocal(c.app.ctx, LocalOptions{
		Gateways: c.Gateways, Targets: c.Targets, Client: localClient, Service: localService,
		FixedPorts: c.Keep, Spans: spans, LogLevel: c.LogLevel,
	})
	if err != nil {
		return errors.Wrap(err, "start the deployment")
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(c.app.ctx), localStopTimeout)
		defer cancel()
		if stopErr := d.Stop(ctx); err == nil && stopErr != nil {
			err = errors.Wrap(stopErr, "stop the deployment")
		}
	}()
	c.app.global.Callers, c.app.global.Operators = d.Callers[0], d.Operators[0]
	if err := c.runJob(d, spans); err != nil {
		return err
	}
	if c.Keep {
		fmt.Fprintf(c.app.Stderr, "callers' API %s, operators' API %s; interrupt to stop\n", d.Callers[0], d.Operators[0])
		<-c.app.ctx.Done()
	}
	return nil
}

// localResult is the output of the subcommand with --output json.
type localResult struct {
	Answer      httpapi.AnswerBody  `json:"answer"`
	Explanation httpapi.Explanation `json:"explanation"`
	Trace       []string            `json:"trace"`
}

// runJob submits a job and prints its answer, history and trace.
func (c *localCommand) runJob(d *Deployment, spans *telemetry.Recorder) error {
	j := jobBody{
		Client: localClient, Service: localService, Key: "first", Repeatable: true,
		SubmittedAt: time.Now().UTC().Format(time.RFC3339Nano), TimeoutMS: defaultJobTimeout.Milliseconds(),
	}
	for i := range c.Tasks {
		j.Tasks = append(j.Tasks, taskBody{fmt.Appendf(nil, "task %d", i)})
	}
	body, err := json.Marshal(j)
	if err != nil {
		return errors.Wrap(err, "encode the job")
	}
	tracer := telemetry.NewTracerWith(telemetry.TraceConfig{Ratio: 1, Process: "rhubarbsail"}, spans)
	ctx, span := tracer.Tracer("").Start(c.app.ctx, "submit")
	s, err := c.app.submit(ctx, body, j, 0)
	span.End()
	if err != nil {
		return err
	}
	var out localResult
	if err := json.Unmarshal(s.reply.body, &out.Answer); err != nil {
		return errors.Wrap(err, "decode the answer")
	}
	if _, err := c.app.call("GET", c.app.jobAddress(j.Client, j.Key, "explain"), nil, &out.Explanation); err != nil {
		return err
	}
	if err := errors.Join(tracer.Shutdown(c.app.ctx), d.Flush(c.app.ctx)); err != nil {
		return errors.Wrap(err, "collect the trace")
	}
	if err := c.print(out, spans, span.SpanContext().TraceID()); err != nil {
		return err
	}
	return s.answerError(j, out.Answer)
}

func (c *localCommand) print(out localResult, spans *telemetry.Recorder, id trace.TraceID) error {
	tree := telemetry.Tree(spans.Trace(id))
	out.Trace = tree
	return c.app.printValue(out, func(t *table) {
		answerTable(t, out.Answer)
		t.row()
		explanationTable(t, out.Explanation)
		t.row()
		for _, line := range tree {
			t.row(line)
		}
	})
}

// The default addresses of --callers and --operators. The first gateway of
// `local --keep` listens on them.
const (
	DefaultCallersAddress   = "127.0.0.1:7000"
	DefaultOperatorsAddress = "127.0.0.1:7001"
)
