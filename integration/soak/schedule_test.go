package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// kind is what a step of a schedule does.
type kind string

const (
	killGateway     kind = "kill gateway"
	killAgent       kind = "kill agent"
	pauseGateway    kind = "pause gateway"
	pauseAgent      kind = "pause agent"
	stopGateway     kind = "planned stop of gateway"
	stopAgent       kind = "planned stop of agent"
	hangup          kind = "SIGHUP to all"
	cutLink         kind = "cut agent from gateway"
	cutToGateway    kind = "cut agent to gateway one way"
	cutToAgent      kind = "cut gateway to agent one way"
	cutGateways     kind = "cut gateway from gateway"
	cutGatewayStore kind = "cut gateway from store"
	cutAgentStore   kind = "cut agent from store"
	delayLink       kind = "delay agent to gateway"
	resetLink       kind = "reset links"
	silenceLink     kind = "silence links"
	storeDown       kind = "store down"
	storeLoses      kind = "store loses answers"
	storeForgets    kind = "store drops history"
	targetCrash     kind = "target starts again under its id"
	targetReplaced  kind = "target replaced"
	targetSlow      kind = "target slow"
	targetCalls     kind = "calls to target fail"
	targetFence     kind = "target has seen a later token"
	configChange    kind = "configuration changes"
	resetCallers    kind = "reset callers"
	silenceCallers  kind = "silence callers"
	loseCallers     kind = "callers end without notice"
	burst           kind = "burst of jobs"
)

// kinds has each kind as often as it is to be drawn.
var kinds = []kind{
	killGateway, killGateway, killAgent, killAgent, pauseGateway, pauseGateway, pauseAgent, pauseAgent, stopGateway,
	stopGateway, stopAgent, stopAgent, hangup, cutLink, cutLink, cutToGateway, cutToAgent, cutGateways, cutGatewayStore,
	cutAgentStore, delayLink, resetLink, silenceLink, storeDown, storeLoses, storeForgets, targetCrash, targetCrash,
	targetReplaced, targetSlow, targetCalls, targetCalls, targetFence, configChange, configChange, resetCallers,
	silenceCallers, loseCallers, burst,
}

// step is one fault of a schedule.
type step struct {
	At, For time.Duration
	Kind    kind
	// Gateway and Agent are the indexes of those that it touches.
	Gateway, Agent int
	// X is its strength, from 0 to 1.
	X float64
}

// String describes the step for the log of a failed seed.
func (st step) String() string {
	return fmt.Sprintf("at %v for %v: %s (gateway %d, agent %d, strength %.2f)", st.At, st.For, st.Kind, st.Gateway, st.Agent, st.X)
}

const (
	// gapMax bounds the time between two steps, faultMax the length of one, so
	// that steps overlap.
	gapMax   = 900 * time.Millisecond
	faultMin = 100 * time.Millisecond
	faultMax = 4 * time.Second
	// seriesShare of the steps are series of seriesSize over different processes.
	seriesShare = 0.15
	seriesSize  = 3
	seriesGap   = 700 * time.Millisecond
)

// drawSchedule returns the steps of a seed in the order of their times.
func drawSchedule(seed uint64, length time.Duration, s *site) []step {
	r := rand.New(rand.NewPCG(seed, 0))
	var out []step
	for at := time.Duration(0); at < length; at += time.Duration(r.Int64N(int64(gapMax))) {
		st := step{
			At: at, For: faultMin + time.Duration(r.Int64N(int64(faultMax-faultMin))), Kind: kinds[r.IntN(len(kinds))],
			Gateway: r.IntN(len(s.gateways)), Agent: r.IntN(len(s.agents)), X: r.Float64(),
		}
		out = append(out, st)
		if r.Float64() >= seriesShare {
			continue
		}
		for i := 1; i < seriesSize; i++ {
			next := st
			next.At += time.Duration(i) * time.Duration(r.Int64N(int64(seriesGap)))
			next.Gateway, next.Agent = (st.Gateway+i)%len(s.gateways), (st.Agent+i)%len(s.agents)
			out = append(out, next)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}
