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

// Options describe a run.
type Options struct {
	// Bin is the directory of the binaries gateway and agent.
	Bin      string
	Gateways int
	// Agents are the sizes of the fleets, measured one after another.
	Agents []int
	// Rates are task starts a second over all gateways.
	Rates []int
	// ConfigRate is the number of configuration changes a second.
	ConfigRate int
	// Tasks is the number of tasks of each job.
	Tasks  int
	Window time.Duration
}

// Row is the use of one role in one window.
type Row struct {
	Agents int
	Phase  string
	Role   string
	// PerSecond is the rate of starts or changes that was reached.
	PerSecond float64
	Rate
}

const (
	startTimeout = 2 * time.Minute
	// settle lets heartbeats and timers reach their steady state.
	settle = 3 * time.Second
	// taskMS is the run time of a task: short, so that few slots carry a high rate.
	taskMS = 5
	// maxOpen bounds the open requests.
	maxOpen = 2000
)

// Run measures all windows.
func Run(ctx context.Context, o Options) ([]Row, error) {
	var out []Row
	for _, n := range o.Agents {
		rows, err := runFleet(ctx, o, n)
		if err != nil {
			return out, errors.Wrapf(err, "fleet of %d agents", n)
		}
		out = append(out, rows...)
	}
	return out, nil
}

func runFleet(ctx context.Context, o Options, agents int) ([]Row, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f, err := startFleet(startCtx, o.Bin, o.Gateways, agents)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	var out []Row
	time.Sleep(settle)
	rows, err := f.window(agents, "idle", o.Window, func(context.Context) int { time.Sleep(o.Window); return 0 })
	if err != nil {
		return nil, err
	}
	out = append(out, rows...)
	for _, r := range o.Rates {
		rows, err := f.window(agents, fmt.Sprintf("load %d/s", r), o.Window, func(ctx context.Context) int { return f.load(ctx, r, o.Tasks, o.Window) })
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
		time.Sleep(settle)
	}
	if o.ConfigRate > 0 {
		rows, err := f.window(agents, fmt.Sprintf("config %d/s", o.ConfigRate), o.Window, func(ctx context.Context) int {
			return f.changeConfig(ctx, o.ConfigRate, agents, o.Window)
		})
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
	}
	return out, nil
}

// window measures both roles while work runs.
func (f *fleet) window(agents int, phase string, d time.Duration, work func(context.Context) int) ([]Row, error) {
	roles := []struct {
		name  string
		procs []*exec.Cmd
	}{{"gateway", f.gateways}, {"agent", f.agents}}
	before := make([][]Usage, len(roles))
	for i, r := range roles {
		var err error
		if before[i], err = usages(r.procs); err != nil {
			return nil, err
		}
	}
	started := time.Now()
	done := work(context.Background())
	took := time.Since(started)
	var out []Row
	for i, r := range roles {
		after, err := usages(r.procs)
		if err != nil {
			return nil, err
		}
		out = append(out, Row{
			Agents: agents, Phase: phase, Role: r.name, PerSecond: float64(done) / took.Seconds(),
			Rate: rates(before[i], after, took),
		})
	}
	return out, nil
}

func usages(procs []*exec.Cmd) ([]Usage, error) {
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

// load sends jobs in an open loop and returns the number of tasks that
// completed.
func (f *fleet) load(ctx context.Context, rate, tasks int, d time.Duration) int {
	payload := base64.StdEncoding.EncodeToString(fmt.Appendf(nil, `{"run_ms":%d}`, taskMS))
	list := make([]map[string]any, tasks)
	for i := range list {
		list[i] = map[string]any{"payload": payload}
	}
	interval := time.Second * time.Duration(tasks) / time.Duration(rate)
	open := make(chan struct{}, maxOpen)
	var wg sync.WaitGroup
	var completed atomic.Int64
	started := time.Now()
	for i := 0; time.Since(started) < d; i++ {
		time.Sleep(time.Until(started.Add(time.Duration(i) * interval)))
		open <- struct{}{}
		wg.Go(func() {
			defer func() { <-open }()
			body := map[string]any{
				"client": client, "key": fmt.Sprintf("%d-%d", started.UnixNano(), i), "service": service,
				"submitted_at": time.Now().UTC().Format(time.RFC3339Nano), "timeout_ms": 20000, "tasks": list,
			}
			var reply struct{ State string }
			err := call(ctx, http.MethodPost, f.callers[i%len(f.callers)]+"/v1/jobs", body, &reply)
			if err == nil && reply.State == "complete" {
				completed.Add(int64(tasks))
			}
		})
	}
	wg.Wait()
	return int(completed.Load())
}

// changeConfig publishes configurations and returns how many were accepted.
func (f *fleet) changeConfig(ctx context.Context, rate, agents int, d time.Duration) int {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	n := 0
	for started := time.Now(); time.Since(started) < d; <-tick.C {
		if f.putConfig(ctx, agents) == nil {
			n++
		}
	}
	return n
}

// Write prints the rows as a table.
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
