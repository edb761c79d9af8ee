package runner

import (
	"cmp"
	"slices"
)

// QueueUse is what the tasks of one queue occupy on the target: running, starting and
// queued ones.
type QueueUse struct {
	Queue     string
	CPUMillis int64
}

// queueUse sums the processors of all runs by queue. Orders of gateways of earlier
// releases name no queue and are left out.
func (c *Core) queueUse() []QueueUse {
	var all []QueueUse
	for _, r := range c.runs {
		if r.Queue == "" {
			continue
		}
		i := slices.IndexFunc(all, func(u QueueUse) bool { return u.Queue == r.Queue })
		if i < 0 {
			i = len(all)
			all = append(all, QueueUse{Queue: r.Queue})
		}
		all[i].CPUMillis += r.Needs.CPUMillis
	}
	slices.SortFunc(all, func(a, b QueueUse) int { return cmp.Compare(a.Queue, b.Queue) })
	return all
}
