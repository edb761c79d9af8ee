package capacity

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// Options configures Run.
type Options struct {
	// Bin is the directory that holds the binaries gateway and agent.
	Bin      string
	Gateways int
	// Agents lists the numbers of agents; each fleet is measured by itself, one
	// after another.
	Agents []int
	// Rates lists the task starts per second, summed over all gateways.
	Rates []int
	// ConfigRate is the number of configuration changes per second; 0 skips their
	// measurement.
	ConfigRate int
	// Tasks is the number of tasks of each job.
	Tasks int
	// Window is the length of each measurement.
	Window time.Duration
}

// Row holds the measurement of one role in one window.
type Row struct {
	Agents int
	Phase  string
	Role   string
	// PerSecond is the measured rate of completed tasks or of configuration
	// changes.
	PerSecond float64
	MeanUsage
}

const (
	startTimeout = 2 * time.Minute
	// settleTime is the pause in which heartbeats and timers reach their steady
	// state.
	settleTime = 3 * time.Second
	// taskRunMS is the run time of a task in milliseconds. It is short, so that few
	// slots sustain a high rate of starts.
	taskRunMS = 5
	// maxOpenRequests is the largest number of concurrent requests.
	maxOpenRequests = 2000
)

// Run measures each fleet while it is idle, under each load and during
// configuration changes. If a fleet fails, it returns the rows of the fleets before it.
func Run(ctx context.Context, o Options) ([]Row, error) {
	var out []Row
	for _, n := range o.Agents {
		rows, err := measureFleet(ctx, o, n)
		if err != nil {
			return out, errors.Wrapf(err, "fleet of %d agents", n)
		}
		out = append(out, rows...)
	}
	return out, nil
}

func measureFleet(ctx context.Context, o Options, agents int) ([]Row, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := startFleet(startCtx, o.Bin, o.Gateways, agents)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	var out []Row
	time.Sleep(settleTime)
	rows, err := f.measureWindow(agents, "idle", o.Window, func(context.Context) int { time.Sleep(o.Window); return 0 })
	if err != nil {
		return nil, err
	}
	out = append(out, rows...)
	for _, r := range o.Rates {
		rows, err := f.measureWindow(agents, fmt.Sprintf("load %d/s", r), o.Window, func(ctx context.Context) int { return f.sendLoad(ctx, r, o.Tasks, o.Window) })
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
		time.Sleep(settleTime)
	}
	if o.ConfigRate > 0 {
		rows, err := f.measureWindow(agents, fmt.Sprintf("config %d/s", o.ConfigRate), o.Window, func(ctx context.Context) int {
			return f.publishConfigs(ctx, o.ConfigRate, agents, o.Window)
		})
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
	}
	return out, nil
}

// measureWindow runs the activity and returns what gateways and agents used
// meanwhile. The activity returns how many tasks or changes it completed.
func (f *fleet) measureWindow(agents int, phase string, d time.Duration, activity func(context.Context) int) ([]Row, error) {
	roles := []struct {
		name  string
		procs []*exec.Cmd
	}{{"gateway", f.gateways}, {"agent", f.agents}}
	before := make([][]Usage, len(roles))
	for i, r := range roles {
		var err error
		if before[i], err = readUsages(r.procs); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	done := activity(context.Background())
	took := time.Since(started)
	var out []Row
	for i, r := range roles {
		after, err := readUsages(r.procs)
		if err != nil {
			return nil, err
		}
		out = append(out, Row{
			Agents: agents, Phase: phase, Role: r.name, PerSecond: float64(done) / took.Seconds(),
			MeanUsage: meanUsage(before[i], after, took),
		})
	}
	return out, nil
}

func readUsages(procs []*exec.Cmd) ([]Usage, error) {
	out := make([]Usage, len(procs))
	for i, p := range procs {
		u, err := ReadUsage(p.Process.Pid)
		if err != nil {
			return nil, err
		}
		out[i] = u
	}
	return out, nil
}

// sendLoad sends jobs at a fixed rate (open loop) and returns the number of
// completed tasks. It falls behind the rate while maxOpenRequests are open.
func (f *fleet) sendLoad(ctx context.Context, rate, tasks int, d time.Duration) int {
	payload := base64.StdEncoding.EncodeToString(fmt.Appendf(nil, `{"run_ms":%d}`, taskRunMS))
	taskList := make([]map[string]any, tasks)
	for i := range taskList {
		taskList[i] = map[string]any{"payload": payload}
	}
	interval := time.Second * time.Duration(tasks) / time.Duration(rate)
	inFlight := make(chan struct{}, maxOpenRequests)
	var wg sync.WaitGroup
	var completed atomic.Int64
	started := time.Now()
	for i := 0; time.Since(started) < d; i++ {
		time.Sleep(time.Until(started.Add(time.Duration(i) * interval)))
		inFlight <- struct{}{}
		wg.Go(func() {
			defer func() { <-inFlight }()
			body := map[string]any{
				"client": client, "key": fmt.Sprintf("%d-%d", started.UnixNano(), i), "service": service,
				"submitted_at": time.Now().UTC().Format(time.RFC3339Nano), "timeout_ms": 20000, "tasks": taskList,
			}
			var reply struct{ State string }
			err := callJSON(ctx, http.MethodPost, f.callers[i%len(f.callers)]+"/v1/jobs", body, &reply)
			if err == nil && reply.State == "complete" {
				completed.Add(int64(tasks))
			}
		})
	}
	wg.Wait()
	return int(completed.Load())
}

// publishConfigs publishes configurations at the given rate and returns how many
// were accepted.
func (f *fleet) publishConfigs(ctx context.Context, rate, agents int, d time.Duration) int {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	accepted := 0
	for started := time.Now(); time.Since(started) < d; <-tick.C {
		if f.putConfig(ctx, agents) == nil {
			accepted++
		}
	}
	return accepted
}

// Write writes the rows as a text table.
func Write(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "agents\tphase\trole\tper s\tcore %\tKB/s\tRSS MB\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%d\t%s\t%s\t%.1f\t%.2f\t%.2f\t%.1f\t\n", r.Agents, r.Phase, r.Role, r.PerSecond, r.CorePercent, r.KBPerSecond, r.ResidentMB)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return nil
}
