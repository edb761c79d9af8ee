package httpapi

import (
	"testing"

	"github.com/rhubarbsail/rhubarbsail/common/settings"
)

// The library's defaults and those of a settings file are both documented as
// the values of section 10 of the design and must not drift apart.
func TestDefaultsMatchSettings(t *testing.T) {
	var g settings.Gateway
	settings.SetDefaults(&g)
	if got := LimitsFromSettings(g); got != DefaultLimits() {
		t.Errorf("limits are %+v, want %+v", got, DefaultLimits())
	}
	if got := ServerLimitsFromSettings(g.HTTP); got != DefaultServerLimits() {
		t.Errorf("server limits are %+v, want %+v", got, DefaultServerLimits())
	}
}
