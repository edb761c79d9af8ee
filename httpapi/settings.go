package httpapi

import "github.com/rhubarbsail/rhubarbsail/common/settings"

// LimitsFromSettings returns the limits of a gateway's settings.
func LimitsFromSettings(g settings.Gateway) Limits {
	l := DefaultLimits()
	l.TasksPerJob = int(g.Limits.TasksPerJob)
	l.BodyBytes = g.Limits.BodyBytes
	l.BodyBytesTotal = g.Limits.BodyTotalBytes
	l.PayloadBytes = int(g.Limits.PayloadBytes)
	l.TimeoutMin = g.Limits.TimeoutMin.Duration()
	l.TimeoutDefault = g.Limits.TimeoutDefault.Duration()
	l.TimeoutMax = g.Limits.TimeoutMax.Duration()
	l.CallerSkew = g.Timing.CallerSkew.Duration()
	l.Retention = g.Timing.Retention.Duration()
	return l
}

// ServerLimitsFromSettings returns the connection limits of a gateway's settings.
func ServerLimitsFromSettings(g settings.Gateway) ServerLimits {
	h := g.HTTP
	return ServerLimits{
		HeaderBytes:   int(h.HeaderBytes),
		HeaderTimeout: h.HeaderTimeout.Duration(),
		ReadTimeout:   h.ReadTimeout.Duration(),
		IdleTimeout:   h.IdleTimeout.Duration(),
		WriteTimeout:  h.WriteTimeout.Duration(),
		Connections:   int(h.Connections),
		HeldBytes:     g.HeldBytes(),
	}
}
