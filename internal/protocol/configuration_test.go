package protocol

import (
	"errors"
	"strings"
	"testing"
)

func TestConfigurationErrorNamesFirstFaultyField(t *testing.T) {
	for text, want := range map[string]string{"": "not a JSON object", "[]": "not a JSON object", "{}": `"name" is missing`,
		`{"name":"g"}`:                    `"listen" is missing`,
		`{"name":"g","listen":5}`:         `"listen" is of the wrong type`,
		`{"name":"g","listen":"nowhere"}`: `"listen" is not an IP address and port`} {
		_, err := ParseGatewayConfiguration([]byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want %q", text, err, want)
		}
		if fieldError := (*FieldError)(nil); strings.HasPrefix(want, `"`) && !errors.As(err, &fieldError) {
			t.Errorf("%q: got error %v, want a FieldError", text, err)
		}
	}
}

func TestParseAddressesIgnoresOtherFields(t *testing.T) {
	text := `{"discovery":"127.0.0.1:1","pipeline":{"address":"127.0.0.1:2"},"listen":5}`
	addresses, err := ParseAddresses([]byte(text))
	if want := (Addresses{Discovery: "127.0.0.1:1", RolloutController: "127.0.0.1:2"}); err != nil || addresses != want {
		t.Errorf("got %+v and error %v, want %+v", addresses, err, want)
	}
	if _, err := ParseAddresses([]byte(`{"discovery":"127.0.0.1:1"}`)); err == nil {
		t.Error("got no error for a missing address")
	}
}
