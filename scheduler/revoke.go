package scheduler

import "math"

// revoke takes back tasks that have not started from ejected targets, and from
// targets with overdue tasks if another target would finish them clearly sooner.
// While tasks are queued at this gateway, it does so only if some target is
// ejected, since queued tasks are cheaper to move than sent ones.
func (e *engine) revoke(now float64, svc *service, out *Decisions) {
	if now < svc.nextRevoke || (svc.queue.queued > 0 && svc.ejected == 0) {
		return
	}
	svc.nextRevoke = now + wakeInterval.Seconds()
	collected := false
	for _, t := range svc.targets {
		if !t.health.ejected && (t.overdueSlowdown == 1 || len(t.outstanding) <= 1) {
			continue
		}
		t.refresh(now)
		for i := len(t.outstanding) - 1; i >= 0; i-- {
			a := t.outstanding[i]
			if a.revoking || a.job.removed || a.start <= now+t.delay {
				continue
			}
			if !collected {
				svc.collectUsable(now, 0, math.MaxInt)
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

// worthRevoking reports whether attempt a should be revoked from t. Unless t is
// ejected, it then reserves a place at the target that would run the task instead.
func (e *engine) worthRevoking(now float64, svc *service, t *target, a *attempt) bool {
	if t.health.ejected {
		return true
	}
	if t.overdueSlowdown == 1 {
		return false
	}
	work := a.job.tasks[a.index].work * svc.runRatio.mean
	remaining := a.start + work*t.slowness + t.delay - now
	p := placer{e: e, svc: svc, now: now + 2*t.delay}
	other, finish := p.earliestFinish(a.job, work)
	if other == nil || other == t || other.available == 0 {
		return false
	}
	if otherRemaining := finish - now; otherRemaining*e.opts.RevokeGain > remaining || remaining-otherRemaining < e.opts.RevokeMin.Seconds() {
		return false
	}
	other.available--
	return true
}
