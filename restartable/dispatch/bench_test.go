package dispatch

import (
	"fmt"
	"testing"

	"github.com/rhubarbsail/rhubarbsail/restartable/task"
)

// BenchmarkJob measures the core's time for one job of four tasks, from its
// arrival to its answer.
func BenchmarkJob(b *testing.B) {
	for _, agents := range []int{11, 69, 300} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			r := newRig(nil)
			for i := range agents {
				r.addAgent(fmt.Sprintf("t%d", i), 32_000)
			}
			for n := 0; b.Loop(); n++ {
				r.now += ms
				id := fmt.Sprint(n)
				r.orders = r.orders[:0]
				r.submit(newSubmission(id, 4, 100*ms))
				for _, o := range r.orders {
					r.core.byLink[o.Link].reportedAt = r.now
					for _, t := range o.Tasks {
						r.core.Report(r.now, o.Link, nil, []AttemptEvent{newEvent(id, t.Index, t.Number, task.Done, "")})
					}
				}
				for _, a := range r.core.agents {
					a.reportedAt, a.unacked = r.now, a.unacked[:0]
				}
				r.collect()
				delete(r.answers, id)
			}
		})
	}
}
