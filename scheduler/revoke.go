package scheduler

import "math"

// revoke takes back tasks that wait at a target when another one would finish
// them clearly sooner. It acts only when nothing waits at the owner, since
// waiting work is cheaper to move.
func (e *engine) revoke(now float64, svc *service, out *Decisions) {
	if now < svc.nextRevoke || (svc.queue.queued > 0 && svc.ejected == 0) {
		return
	}
	svc.nextRevoke = now + wakeInterval.Seconds()
	collected := false
	for _, t := range svc.targets {
		if !t.health.ejected && (t.factor == 1 || len(t.out) <= 1) {
			continue
		}
		t.refresh(now)
		for i := len(t.out) - 1; i >= 0; i-- {
			a := t.out[i]
			if a.revoking || a.job.removed || a.start <= now+t.delay {
				continue
			}
			if !collected {
				svc.collect(now, 0, math.MaxInt)
				collected = true
			}
			if !e.worthRevoking(now, svc, t, a) {
				break
			}
			a.revoking = true
			out.Revoke = append(out.Revoke, Revocation{TaskRef{a.job.handle, a.index}, t.ID})
		}
	}
}

func (e *engine) worthRevoking(now float64, svc *service, t *target, a *attempt) bool {
	if t.health.ejected {
		return true
	}
	if t.factor == 1 {
		return false
	}
	work := a.job.tasks[a.index].work * svc.ratio.mean
	old := a.start + work*t.slow + t.delay - now
	p := placer{e: e, svc: svc, now: now + 2*t.delay}
	other, finish := p.best(a.job, work)
	if other == nil || other == t || other.room == 0 {
		return false
	}
	if d := finish - now; d*e.opts.RevokeGain > old || old-d < e.opts.RevokeMin.Seconds() {
		return false
	}
	other.room--
	return true
}
