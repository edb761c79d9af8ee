package settings

import (
	"path/filepath"
	"strings"
	"testing"
)

// Guards against invalid examples: users start from copies of them.
func TestExamplesAreValid(t *testing.T) {
	for _, d := range All() {
		files, err := filepath.Glob("../../examples/" + d.Name + "*.json")
		if err != nil || len(files) == 0 {
			t.Errorf("no example for %s (%v)", d.Name, err)
		}
		for _, f := range files {
			if err := Load(f, d.settings); err != nil {
				t.Errorf("%s: %v", strings.TrimPrefix(f, "../../"), err)
			}
		}
	}
}
