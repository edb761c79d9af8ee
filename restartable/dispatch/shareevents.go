package dispatch

import (
	"github.com/rhubarbsail/rhubarbsail/common/events"
	"github.com/rhubarbsail/rhubarbsail/restartable/fairshare"
)

// SetFairShares applies the settings of fair shares.
func (d *Dispatcher) SetFairShares(s fairshare.Settings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetFairShares(s)
}

// WantsQueueUse reports whether agents are to report the use of each queue.
func (d *Dispatcher) WantsQueueUse() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.WantsQueueUse()
}

// FairShares returns the shares of all queues by service; nil while fair shares are
// switched off.
func (d *Dispatcher) FairShares() map[string][]fairshare.Share {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.FairShares(d.now())
}

func (d *Dispatcher) logShareChanges(changes []fairshare.Change) {
	for _, ch := range changes {
		event := events.ShareLimitEnded
		if ch.Limited {
			event = events.ShareLimitStarted
		}
		event.Log(d.log).Str("queue", ch.Queue).Str("service", ch.Service).Float64("weight", ch.Weight).Int64("share_cpu_millis", int64(ch.Share.Share)).
			Int64("use_cpu_millis", int64(ch.Use)).Int64("demand_cpu_millis", int64(ch.Demand)).Send()
	}
}
