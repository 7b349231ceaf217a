package tuf

import (
	"testing"
)

// Arbitrary contents of an operator's file are either rejected with a reason or parsed to values within the bounds of
// the schema.
func FuzzParseOperatorConfig(f *testing.F) {
	f.Add([]byte(`{"root":"r","mirrors":["http://127.0.0.1:1/"],"builds":"b/{build}"}`))
	f.Add([]byte(`{"root":"r","mirrors":[],"bytes":{"root":-1}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		config, configErr := ParseOperatorConfig(text)
		if configErr != nil && configErr.Reason == "" {
			t.Error("rejected without a reason")
		}
		if config != nil && (config.Root == "" || len(config.Mirrors) == 0 || config.MaxBytes.Root < 1024 || config.RefreshTimeout() <= 0 || config.MaxAttempts < 1) {
			t.Errorf("accepted invalid contents %q", text)
		}
	})
}
