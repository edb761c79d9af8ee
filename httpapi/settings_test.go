package httpapi

import (
	"testing"

	"github.com/rhubarbsail/rhubarbsail/common/settings"
)

// The defaults of this package and of the settings file are documented as the same
// values. Guards against a change of only one of them.
func TestDefaultsMatchSettings(t *testing.T) {
	var g settings.Gateway
	settings.SetDefaults(&g)
	if got := LimitsFromSettings(g); got != DefaultLimits() {
		t.Errorf("limits are %+v, want %+v", got, DefaultLimits())
	}
	if got := ServerLimitsFromSettings(g); got != DefaultServerLimits() {
		t.Errorf("server limits are %+v, want %+v", got, DefaultServerLimits())
	}
}
