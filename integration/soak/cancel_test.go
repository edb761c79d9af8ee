package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbsail/rhubarbsail/platform/standin"
	"github.com/rhubarbsail/rhubarbsail/restartable/queues"
)

const (
	cancellerCount = 3
	// cancelMax is the bound that users require on the time after the acknowledgment of a
	// cancellation in which tasks of the job may still start.
	cancelMax = 3 * time.Second
	// cancelAfterMin and cancelAfterMax bound the time after which a job is cancelled.
	cancelAfterMin = 200 * time.Millisecond
	cancelAfterMax = 1200 * time.Millisecond
	// cancelTimeout is how long a caller waits for the answer to a cancellation.
	cancelTimeout = 4 * time.Second
	cancelsMax    = 4
	// chainSteps and chainRunTime make up a job that goes on for much longer than cancelMax
	// if it is not cancelled.
	chainSteps   = 20
	chainRunTime = 400 * time.Millisecond
)

// chainQueue is the queue of jobs that are cancelled.
var chainQueue = queues.Queue{
	Name: "chain", Host: "h", PathPrefix: "/chain/", Service: "s", MaxAttempts: 3, Timeout: 12 * time.Second,
	TargetLatency: 2 * time.Second, StretchFactor: 2,
}

// cancelledJob is a job that its caller has cancelled.
type cancelledJob struct {
	standin.Job
	// submittedTo and cancelledAt are the gateways that got the two requests,
	// acknowledged is when the answer to the second came.
	submittedTo, cancelledAt *node
	acknowledged             time.Time
	status                   int
}

// startCancellers starts callers that submit long jobs and cancel them at any gateway.
func (c *callers) startCancellers() {
	for i := range cancellerCount * *size {
		r := rand.New(rand.NewPCG(c.seed, uint64(i)+cancelsStream))
		c.wg.Go(func() {
			for n := 0; c.ctx.Err() == nil; n++ {
				c.cancelOne(fmt.Sprintf("%08xc%d%06x", uint32(c.seed), i, n), r)
				time.Sleep(time.Duration(r.Int64N(int64(thinkMax))))
			}
		})
	}
}

// cancelOne submits a job, cancels it and records it once the cancellation is acknowledged.
func (c *callers) cancelOne(id string, r *rand.Rand) {
	j := &cancelledJob{Job: standin.Job{ID: id, Spec: fmt.Sprintf("ms=%d", chainRunTime.Milliseconds())}, submittedTo: c.chooseGateway(r)}
	for step := range chainSteps {
		st := standin.Step{Tasks: 1, Estimate: chainRunTime}
		if step > 0 {
			st.DependsOn = []int{step - 1}
		}
		j.Steps = append(j.Steps, st)
	}
	ctx, cancel := context.WithTimeout(context.Background(), chainQueue.Timeout)
	var submission sync.WaitGroup
	// A caller that cancels its job does not send it again.
	submission.Go(func() { _, _ = c.system.caller(j.submittedTo, chainQueue).Send(ctx, j.Job) })
	time.Sleep(cancelAfterMin + time.Duration(r.Int64N(int64(cancelAfterMax-cancelAfterMin))))
	for range cancelsMax {
		j.cancelledAt = c.chooseGateway(r)
		call, end := context.WithTimeout(context.Background(), cancelTimeout)
		status, err := c.system.caller(j.cancelledAt, chainQueue).Cancel(call, j.ID)
		end()
		if err == nil && (status/100 == 2 || status == http.StatusGone) {
			j.acknowledged, j.status = time.Now(), status
			c.checker.addCancelled(j)
			break
		}
		time.Sleep(resendDelay)
	}
	// The connection stays open for a while: its end would stop the job too.
	if !j.acknowledged.IsZero() {
		submitted := make(chan struct{})
		go func() {
			submission.Wait()
			close(submitted)
		}()
		select {
		case <-submitted:
		case <-time.After(cancelMax + 2*slack):
		}
	}
	cancel()
	submission.Wait()
}

func (c *checker) addCancelled(j *cancelledJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = append(c.cancelled, j)
}

// checkCancelled requires that no task of a job starts later than cancelMax after its
// cancellation was acknowledged, unless a fault near that time explains it.
func (c *checker) checkCancelled(byJob map[string][]taskRun) {
	statuses := map[int]int{}
	for _, j := range c.cancelled {
		statuses[j.status]++
		for _, r := range byJob[j.ID] {
			after := r.Started.Sub(j.acknowledged)
			if after <= cancelMax || r.Late {
				continue
			}
			explained := false
			for _, n := range []*node{r.agent, j.submittedTo, j.cancelledAt} {
				explained = explained || n.hadFault(r.Started.Add(-faultFreeTime), r.Started)
			}
			if !explained {
				c.report("job %s, submitted to %s: started %v after %s had acknowledged its cancellation with %d: %v",
					j.ID, j.submittedTo.Name, after, j.cancelledAt.Name, j.status, r)
			}
		}
	}
	c.system.t.Logf("%d cancelled jobs; cancellations by status: %v", len(c.cancelled), statuses)
}
