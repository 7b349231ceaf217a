package tuf

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"laurelring/internal/mirrorpool"
	"laurelring/internal/store"
	"laurelring/internal/verifiedmetadata"
)

//go:embed operator.schema.json
var schema []byte

// Operator is what an operator's file says. A file with a fault is rejected whole.
type OperatorConfig struct {
	Root           string   `json:"root"`
	Store          string   `json:"store"`
	Mirrors        []string `json:"mirrors"`
	Draining       []string `json:"draining"`
	RefreshEveryMs int64    `json:"refresh_every_ms"`
	RefreshMs      int64    `json:"refresh_within_ms"`
	FetchMs        int64    `json:"fetch_within_ms"`
	StandsMs       int64    `json:"stands_ms"`
	SlackMs        int64    `json:"clock_slack_ms"`
	BuildTarget    string   `json:"builds"`
	Bytes          struct {
		Root      int64 `json:"root"`
		Timestamp int64 `json:"timestamp"`
		Snapshot  int64 `json:"snapshot"`
		Targets   int64 `json:"targets"`
	} `json:"bytes"`
	Attempts int   `json:"attempts"`
	StallMs  int64 `json:"stall_ms"`
	Pace     int64 `json:"pace_bytes_per_s"`

	root []byte
}

// Fault is what is wrong with an operator's file.
type ConfigError struct {
	File, Field, Reason string
}

func (f *ConfigError) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", f.File, f.Reason)
	}
	return fmt.Sprintf("%s: field %q: %s", f.File, f.Field, f.Reason)
}

// Load reads an operator's file, with the root that it names.
func LoadOperatorConfig(file string) (*OperatorConfig, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &ConfigError{File: file, Reason: err.Error()}
	}
	o, fault := ParseOperatorConfig(text)
	if fault != nil {
		fault.File = file
		return nil, fault
	}
	at := func(path string) string {
		if path == "" || filepath.IsAbs(path) {
			return path
		}
		return filepath.Join(filepath.Dir(file), path)
	}
	o.Root, o.Store = at(o.Root), at(o.Store)
	if o.root, err = os.ReadFile(o.Root); err != nil {
		return nil, &ConfigError{file, "root", err.Error()}
	}
	return o, nil
}

// Parse checks a text against the schema and reads it.
func ParseOperatorConfig(text []byte) (*OperatorConfig, *ConfigError) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, &ConfigError{Reason: "it is not JSON: " + err.Error()}
	}
	rules, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, &ConfigError{Reason: "the schema is not JSON: " + err.Error()}
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("operator.json", rules); err != nil {
		return nil, &ConfigError{Reason: err.Error()}
	}
	s, err := c.Compile("operator.json")
	if err != nil {
		return nil, &ConfigError{Reason: err.Error()}
	}
	if err := s.Validate(doc); err != nil {
		return nil, first(err)
	}
	o := &OperatorConfig{RefreshEveryMs: 600_000, RefreshMs: 30_000, FetchMs: 300_000,
		StandsMs: verifiedmetadata.DefaultLimits.MaxStaleness.Milliseconds(), SlackMs: verifiedmetadata.DefaultLimits.ClockSlack.Milliseconds()}
	o.Bytes.Root, o.Bytes.Timestamp = verifiedmetadata.DefaultLimits.RootBytes, verifiedmetadata.DefaultLimits.TimestampBytes
	o.Bytes.Snapshot, o.Bytes.Targets = verifiedmetadata.DefaultLimits.SnapshotBytes, verifiedmetadata.DefaultLimits.TargetsBytes
	o.Attempts, o.StallMs, o.Pace = mirrorpool.DefaultLimits.MaxAttempts, mirrorpool.DefaultLimits.StallTimeout.Milliseconds(), mirrorpool.DefaultLimits.MinBytesPerSecond
	if err := json.Unmarshal(text, o); err != nil {
		return nil, &ConfigError{Reason: err.Error()}
	}
	for i, name := range o.Draining {
		if !slices.Contains(o.Mirrors, name) {
			return nil, &ConfigError{Field: fmt.Sprint("draining.", i), Reason: "is not among the mirrors"}
		}
	}
	if o.BuildTarget != "" && !verifiedmetadata.IsSafePath(o.target(1)) {
		return nil, &ConfigError{Field: "builds", Reason: "the target's path could leave its folder"}
	}
	return o, nil
}

// first words the first fault that the schema finds, with the field's place.
func first(err error) *ConfigError {
	var bad *jsonschema.ValidationError
	if !errors.As(err, &bad) {
		return &ConfigError{Reason: err.Error()}
	}
	for len(bad.Causes) > 0 {
		bad = bad.Causes[0]
	}
	field := strings.Join(bad.InstanceLocation, ".")
	switch k := bad.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		return &ConfigError{Field: strings.Join(append(bad.InstanceLocation, k.Properties[0]), "."), Reason: "is not known"}
	case *kind.Required:
		return &ConfigError{Field: strings.Join(append(bad.InstanceLocation, k.Missing[0]), "."), Reason: "is missing"}
	}
	return &ConfigError{Field: field, Reason: bad.ErrorKind.LocalizedString(message.NewPrinter(language.English))}
}

// target is the target that vouches for a build.
func (o *OperatorConfig) target(build int) string {
	return strings.ReplaceAll(o.BuildTarget, "{build}", strconv.Itoa(build))
}

// RefreshWithin is how long a refresh of the metadata may take.
func (o *OperatorConfig) RefreshWithin() time.Duration {
	return time.Duration(o.RefreshMs) * time.Millisecond
}

// FetchWithin is how long a fetch of a target may take.
func (o *OperatorConfig) FetchWithin() time.Duration {
	return time.Duration(o.FetchMs) * time.Millisecond
}

// RefreshEvery is how often an agent refreshes.
func (o *OperatorConfig) RefreshEvery() time.Duration {
	return time.Duration(o.RefreshEveryMs) * time.Millisecond
}

// Client makes a client as the file says, with its store, which the caller closes.
func (o *OperatorConfig) NewClient(seed uint64, now func() int64, watch Observer) (*Client, *store.Store, error) {
	kept := store.NewMemory()
	if o.Store != "" {
		var err error
		if kept, err = store.Open(o.Store); err != nil {
			return nil, nil, err
		}
	}
	limits := verifiedmetadata.DefaultLimits
	limits.RootBytes, limits.TimestampBytes, limits.SnapshotBytes, limits.TargetsBytes = o.Bytes.Root, o.Bytes.Timestamp, o.Bytes.Snapshot, o.Bytes.Targets
	limits.MaxStaleness, limits.ClockSlack = time.Duration(o.StandsMs)*time.Millisecond, time.Duration(o.SlackMs)*time.Millisecond
	pace := mirrorpool.DefaultLimits
	pace.MaxAttempts, pace.StallTimeout, pace.MinBytesPerSecond = o.Attempts, time.Duration(o.StallMs)*time.Millisecond, o.Pace
	c, err := NewClient(o.root, limits, mirrorpool.NewPool(o.Mirrors, seed, pace), kept, now, watch)
	if err != nil {
		kept.Close()
		return nil, nil, err
	}
	c.SetDraining(o.Draining)
	return c, kept, nil
}
