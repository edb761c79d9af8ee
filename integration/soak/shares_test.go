package soak

import "github.com/rhubarbsail/rhubarbsail/restartable/fairshare"

const (
	// One seed of fairSharesInterval has fair shares switched on: those with the remainder
	// fairSharesRemainder, which none of the regressions has.
	fairSharesInterval  = 5
	fairSharesRemainder = 2
)

// fairSharesOf returns the settings of fair shares of a gateway under a seed. One gateway
// of three has them switched off, as while settings are rolled out. The weights let the
// jobs of chainQueue go first.
func fairSharesOf(seed uint64, gateway int) fairshare.Settings {
	if seed%fairSharesInterval != fairSharesRemainder || gateway%3 == 2 {
		return fairshare.Settings{}
	}
	return fairshare.Settings{Enabled: true, DefaultWeight: 1, Weights: map[string]float64{chainQueue.Name: 2}}
}
