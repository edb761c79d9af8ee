package integration

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/common/settings"
	"github.com/rhubarbsail/rhubarbsail/integration/harness"
	"github.com/rhubarbsail/rhubarbsail/standin/target"
)

// maxJobTasks is the number of tasks in a job of the largest size.
const maxJobTasks = 1300

// Guarantee G2: an answer never contains a part of a job's results. Guards against
// a job that is answered or reported as complete while only some of its tasks are
// done, because of a large answer, a cancellation or a killed process.
func TestPartOfAJobIsNeverAnswered(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Fast: true, AdjustGateway: func(s *settings.Gateway) {
		// The 1,300 results of about 70 bytes fit. They do not with longKeySuffix.
		s.Limits.AnswerBytes = 128 << 10
	}})
	for _, row := range []struct {
		name      string
		keySuffix string
		inject    func(t *testing.T, j harness.Job)
		want      model.Reason
	}{
		{"no fault", "", func(*testing.T, harness.Job) {}, ""},
		{"answer too large", longKeySuffix, func(*testing.T, harness.Job) {}, model.ReasonAnswerTooLarge},
		{"cancel", "", func(t *testing.T, j harness.Job) { check(t, c.Cancel(2, j)) }, model.ReasonCancelled},
		{"agent killed", "", func(t *testing.T, _ harness.Job) {
			c.Agents[0].Kill()
			check(t, c.Agents[0].Start())
		}, model.ReasonOutcomeLost},
		{"target killed", "", func(t *testing.T, _ harness.Job) {
			c.KillTarget(1)
			check(t, c.Targets[1].Start())
		}, model.ReasonTaskFailed},
	} {
		t.Run(row.name, func(t *testing.T) {
			check(t, c.AwaitReady())
			j := harness.NewJob(maxJobTasks, taskTime)
			j.Key += row.keySuffix
			first, second := c.SubmitAsync(0, j), c.SubmitAsync(1, j)
			c.AwaitDone(j, 100)
			row.inject(t, j)
			for _, r := range []harness.Reply{<-first, <-second} {
				if r.Complete() != (row.want == "") || r.Answer.Reason != row.want || !r.Complete() && r.Answer.RunState != "may_have_run" {
					t.Errorf("want %q, got %v", row.want, r)
				}
			}
		})
	}
	check(t, c.AwaitReady())
	awaitJobsComplete(t, c)
	c.Judge()
}

// longKeySuffix makes each result longer, as results contain the key.
const longKeySuffix = "-a-key-that-makes-the-sum-of-all-results-exceed-the-bound-of-one-answer-at-this-gateway"

// Guarantee G3: each caller gets the answer to its own request. Guards against
// mixed-up answers when answers are delayed and reordered, two clients use the
// same keys, and a gateway restarts on its address while answers to earlier
// requests are still in transit.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	t.Parallel()
	c := harness.Start(t, harness.Options{Fast: true})
	c.Net.Delay("agent-1", "gateway-0", 300*time.Millisecond)
	c.Net.Delay("agent-2", "gateway-1", 150*time.Millisecond)
	c.Net.Delay("gateway-1", "gateway-0", 200*time.Millisecond)
	c.SetTargetMode(3, target.ModeChange{Mode: target.ModeStraggle, Factor: 4})
	small := smallJobs(true)
	withOtherClient := func(j harness.Job) harness.Job {
		j.Client = harness.OtherClient
		return j
	}
	stop := c.StartLoad(harness.Load{Callers: 12, Copies: 2, Resubmit: 5, Job: small})
	for range 30 {
		j := small()
		a, b, again := c.SubmitAsync(0, j), c.SubmitAsync(1, withOtherClient(j)), c.SubmitAsync(2, j)
		for _, r := range []harness.Reply{<-a, <-b, <-again} {
			if !r.Complete() {
				t.Errorf("job not completed although no process failed: %v", r)
			}
		}
	}
	other := harness.NewJob(3, taskTime)
	changed := other
	changed.Tasks = 2
	if r := c.Submit(0, other); !r.Complete() {
		t.Error(r)
	}
	if r := c.Submit(1, changed); r.Answer.Reason != model.ReasonConflict || !r.NotRun() {
		t.Errorf("job with a used key and a different body was not refused: %v", r)
	}
	c.Gateways[0].Kill()
	check(t, c.Gateways[0].Start())
	check(t, c.AwaitReady())
	time.Sleep(time.Second)
	stop()
	c.Net.HealAll()
	awaitJobsComplete(t, c)
	c.Judge()
}

// Guarantee G4: an answer says not_run only if no task ran. Guards against such an
// answer when a refusal races with starts of the same job.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	for _, row := range []struct {
		name   string
		load   harness.Load
		inject func(t *testing.T, c *harness.Cluster)
		// wantRefusals requires that some requests are refused.
		wantRefusals bool
	}{
		{"overload", harness.Load{Callers: 80, Job: func() harness.Job {
			j := harness.NewJob(40, 100*time.Millisecond)
			j.Timeout = 2 * time.Second
			return j
		}}, func(*testing.T, *harness.Cluster) { time.Sleep(2 * faultDuration) }, true},
		{"unknown service", harness.Load{Callers: 12, Job: func() harness.Job {
			j := smallJobs(true)()
			if j.Tasks%2 == 0 {
				j.Service = "unknown"
			}
			return j
		}}, func(*testing.T, *harness.Cluster) { time.Sleep(faultDuration) }, true},
		{"shutdown of all gateways", harness.Load{Callers: 12, Copies: 3, Job: smallJobs(true)},
			func(t *testing.T, c *harness.Cluster) {
				time.Sleep(time.Second)
				ended := make(chan error, len(c.Gateways))
				for _, g := range c.Gateways {
					go func() { ended <- g.Terminate() }()
				}
				for range c.Gateways {
					check(t, <-ended)
				}
				for _, g := range c.Gateways {
					check(t, g.Start())
				}
			}, false},
		{"connection lost around the start", harness.Load{Callers: 12, Copies: 2, Job: smallJobs(false)},
			func(_ *testing.T, c *harness.Cluster) {
				for i := range 40 {
					g, a := c.Gateways[i%3].Name, c.Agents[i%4].Name
					// Frames held back by the delay or the cut are lost when the
					// connection is closed.
					switch i % 3 {
					case 0:
						c.Net.Delay(g, a, 50*time.Millisecond)
					case 1:
						c.Net.Cut(g, a)
					}
					time.Sleep(80 * time.Millisecond)
					c.Net.Break(g, a)
					c.Net.HealAll()
				}
			}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			c := harness.Start(t, harness.Options{Fast: true})
			stop := c.StartLoad(row.load)
			row.inject(t, c)
			stop()
			check(t, c.AwaitReady())
			awaitJobsComplete(t, c)
			if _, notRun, _ := c.Judge(); notRun == 0 && row.wantRefusals {
				t.Error(errors.New("no request was refused"))
			}
		})
	}
}
