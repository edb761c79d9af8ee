package gateway

import (
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbsail/rhubarbsail/common/model"
	"github.com/rhubarbsail/rhubarbsail/inventory"
	"github.com/rhubarbsail/rhubarbsail/ownership"
	"github.com/rhubarbsail/rhubarbsail/state"
)

// checkSubmissionTime refuses a job whose submission time is too far in the future
// or past, before it is routed to its owner. The second result is true if the job is
// refused.
func checkSubmissionTime(now time.Time, s ownership.Settings, j *model.Job) (model.Answer, bool) {
	if j.SubmittedAt.Sub(now) > s.CallerSkew {
		return model.Failed(model.RunNotRun, model.ReasonClock, "submitted_at is too far ahead of the gateway's clock"), true
	}
	if s.TooOld(now, j.SubmittedAt) {
		return model.Failed(model.RunMayHaveRun, model.ReasonTooOld, "submitted_at is older than the time for which starts are remembered"), true
	}
	return model.Answer{}, false
}

// checkRules refuses a new job that the configuration does not allow. The second
// result is true if the job is refused. The owner must look up the key first: a job
// that already ran under an earlier configuration must not be answered not_run.
func (e *engine) checkRules(now time.Time, j *model.Job) (model.Answer, bool) {
	client, ok := e.snapshot.Config.Client(j.Key.Client)
	if !ok {
		return model.Failed(model.RunNotRun, model.ReasonUnknownClient, fmt.Sprintf("client %q is not in the rules", j.Key.Client)), true
	}
	service, ok := e.snapshot.Config.Service(j.Service)
	if !ok {
		return model.Failed(model.RunNotRun, model.ReasonUnknownService, fmt.Sprintf("service %q is not in the rules", j.Service)), true
	}
	if msg := limitViolation(service, now, j); msg != "" {
		return model.Failed(model.RunNotRun, model.ReasonInvalid, msg), true
	}
	if wait := e.quotas.take(now, client, gatewayCount(e.snapshot), len(j.Tasks)); wait > 0 {
		a := model.Failed(model.RunNotRun, model.ReasonQuota, "the client's quota of tasks per second is used up")
		a.RetryAfter = wait
		return a, true
	}
	return model.Answer{}, false
}

// limitViolation describes the limit of the service that the job exceeds, or
// returns "".
func limitViolation(s inventory.Service, now time.Time, j *model.Job) string {
	if s.MaxTasks > 0 && len(j.Tasks) > s.MaxTasks {
		return fmt.Sprintf("the job has %d tasks, service %q allows %d", len(j.Tasks), s.ID, s.MaxTasks)
	}
	limit := time.Duration(s.MaxTimeoutMS) * time.Millisecond
	if s.MaxTimeoutMS > 0 && j.Deadline.Sub(now) > limit {
		return fmt.Sprintf("the timeout is longer than the %v that service %q allows", limit, s.ID)
	}
	return ""
}

// gatewayCount returns the number of gateways that have not left.
func gatewayCount(v *state.Snapshot) int {
	n := 0
	for _, g := range v.Gateways {
		if !g.Left {
			n++
		}
	}
	return n
}

// quotas holds a rate limiter for the tasks of each client. A quota applies to all
// gateways together. Hashing spreads a client's keys evenly over the gateways, so
// each gateway grants an equal part. Only the engine goroutine accesses it.
type quotas map[string]*rate.Limiter

// minQuotaBurst is the minimum burst of a quota, in tasks. It is the size of the
// largest job, which a smaller burst would never admit.
const minQuotaBurst = 1300

// take takes n tasks from the client's quota and returns 0. If fewer are available,
// it takes none and returns the time until n are.
func (q quotas) take(now time.Time, c inventory.Client, gateways, n int) time.Duration {
	if c.TasksPerSecond <= 0 {
		return 0
	}
	perGateway := rate.Limit(c.TasksPerSecond / float64(max(gateways, 1)))
	burst := max(int(perGateway), minQuotaBurst)
	l, ok := q[c.ID]
	if !ok {
		l = rate.NewLimiter(perGateway, burst)
		q[c.ID] = l
	}
	if l.Limit() != perGateway {
		l.SetLimitAt(now, perGateway)
		l.SetBurstAt(now, burst)
	}
	r := l.ReserveN(now, n)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return wait
	}
	return 0
}
