package runner

import "time"

// RenewGatewayLease renews a gateway's lease from a stamp that was issued on this
// core's clock and returned by the gateway.
func (c *Core) RenewGatewayLease(gateway string, stamp time.Duration) {
	c.leaseExpiry[gateway] = max(c.leaseExpiry[gateway], stamp+c.opts.GatewayLease)
}

// LimitLease returns the time up to which a call may extend the target's lease: until, or
// what its runs allow if that is earlier. It returns false if the lease must not be
// extended: an unreachable target gets none, so that its runs end.
func (c *Core) LimitLease(now, until time.Duration) (time.Duration, bool) {
	until = min(until, c.leaseLimit(now))
	return until, c.reachable && until > now
}

// LeaseGranted records that a call may extend the target's lease up to until.
func (c *Core) LeaseGranted(until time.Duration) { c.leaseGranted = max(c.leaseGranted, until) }

// leaseLimit returns the time beyond which the target's lease must not be renewed, given
// the runs that may be on the target. A target has one lease for all of its runs, so the
// run that has to end first decides. Runs of a predecessor get no renewal.
func (c *Core) leaseLimit(now time.Duration) time.Duration {
	if len(c.foreignRuns) > 0 {
		return now
	}
	limit := now + c.opts.GatewayLease
	for _, r := range c.runs {
		if r.state != queued {
			limit = min(limit, c.endBy(r))
		}
	}
	return limit
}

// endBy returns the time by which a run must have ended, since its task may be started
// elsewhere from then on: RunLimit after its gateway was last in contact, or after the
// run was revoked.
func (c *Core) endBy(r *run) time.Duration {
	limit := r.revokedEndBy
	if until, linked := c.leaseExpiry[r.gateway]; linked {
		limit = until - c.opts.GatewayLease + c.opts.RunLimit
	}
	if r.revoked {
		limit = min(limit, r.revokedEndBy)
	}
	return limit
}

// Reachable reports whether the target answers.
func (c *Core) Reachable() bool { return c.reachable }

// Resync makes the core wait for a list of the target that is requested from now on.
func (c *Core) Resync(now time.Duration) { c.synced, c.syncAfter = false, now }

// Synced reports whether the target has listed its runs since contact to it was lost.
func (c *Core) Synced() bool { return c.synced }
