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
var operatorSchema []byte

// Defaults of fields that have none in the limits of other packages, in milliseconds.
const (
	defaultRefreshPeriodMs  = 600_000
	defaultRefreshTimeoutMs = 30_000
	defaultFetchTimeoutMs   = 300_000
)

// buildPlaceholder stands for a build's number in BuildTarget.
const buildPlaceholder = "{build}"

// OperatorConfig is the contents of an operator's file. Its JSON keys are those of operator.schema.json.
type OperatorConfig struct {
	Root             string   `json:"root"`
	Store            string   `json:"store"`
	Mirrors          []string `json:"mirrors"`
	Draining         []string `json:"draining"`
	RefreshPeriodMs  int64    `json:"refresh_every_ms"`
	RefreshTimeoutMs int64    `json:"refresh_within_ms"`
	FetchTimeoutMs   int64    `json:"fetch_within_ms"`
	MaxStalenessMs   int64    `json:"stands_ms"`
	ClockSlackMs     int64    `json:"clock_slack_ms"`
	BuildTarget      string   `json:"builds"`
	MaxBytes         struct {
		Root      int64 `json:"root"`
		Timestamp int64 `json:"timestamp"`
		Snapshot  int64 `json:"snapshot"`
		Targets   int64 `json:"targets"`
	} `json:"bytes"`
	MaxAttempts       int   `json:"attempts"`
	StallTimeoutMs    int64 `json:"stall_ms"`
	MinBytesPerSecond int64 `json:"pace_bytes_per_s"`

	rootContents []byte
}

// ConfigError is a fault of an operator's file. Its text is what operators read.
type ConfigError struct {
	File   string
	Field  string // empty for a fault of the whole file
	Reason string
}

func (e *ConfigError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: field %q: %s", e.File, e.Field, e.Reason)
}

// LoadOperatorConfig reads an operator's file, and the root that it names. Relative paths in it are relative to its
// folder. A file with a fault is rejected as a whole, with a *ConfigError.
func LoadOperatorConfig(file string) (*OperatorConfig, error) {
	contents, err := os.ReadFile(file)
	if err != nil {
		return nil, &ConfigError{File: file, Reason: err.Error()}
	}
	config, fault := ParseOperatorConfig(contents)
	if fault != nil {
		fault.File = file
		return nil, fault
	}
	config.Root = resolvePath(file, config.Root)
	config.Store = resolvePath(file, config.Store)
	if config.rootContents, err = os.ReadFile(config.Root); err != nil {
		return nil, &ConfigError{File: file, Field: "root", Reason: err.Error()}
	}
	return config, nil
}

// resolvePath returns a path of an operator's file, empty where it is not set.
func resolvePath(file, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// ParseOperatorConfig validates the contents of an operator's file against the schema and reads them.
func ParseOperatorConfig(contents []byte) (*OperatorConfig, *ConfigError) {
	if fault := validate(contents); fault != nil {
		return nil, fault
	}
	config := defaultOperatorConfig()
	if err := json.Unmarshal(contents, config); err != nil {
		return nil, &ConfigError{Reason: err.Error()}
	}
	for i, mirror := range config.Draining {
		if !slices.Contains(config.Mirrors, mirror) {
			return nil, &ConfigError{Field: fmt.Sprint("draining.", i), Reason: "is not among the mirrors"}
		}
	}
	if config.BuildTarget != "" && !verifiedmetadata.IsSafePath(config.buildTarget(1)) {
		return nil, &ConfigError{Field: "builds", Reason: "the target's path could leave its folder"}
	}
	return config, nil
}

func defaultOperatorConfig() *OperatorConfig {
	metadataLimits, mirrorLimits := verifiedmetadata.DefaultLimits, mirrorpool.DefaultLimits
	config := &OperatorConfig{
		RefreshPeriodMs:   defaultRefreshPeriodMs,
		RefreshTimeoutMs:  defaultRefreshTimeoutMs,
		FetchTimeoutMs:    defaultFetchTimeoutMs,
		MaxStalenessMs:    metadataLimits.MaxStaleness.Milliseconds(),
		ClockSlackMs:      metadataLimits.ClockSlack.Milliseconds(),
		MaxAttempts:       mirrorLimits.MaxAttempts,
		StallTimeoutMs:    mirrorLimits.StallTimeout.Milliseconds(),
		MinBytesPerSecond: mirrorLimits.MinBytesPerSecond,
	}
	config.MaxBytes.Root, config.MaxBytes.Timestamp = metadataLimits.RootBytes, metadataLimits.TimestampBytes
	config.MaxBytes.Snapshot, config.MaxBytes.Targets = metadataLimits.SnapshotBytes, metadataLimits.TargetsBytes
	return config
}

// validate checks the contents of an operator's file against the schema.
func validate(contents []byte) *ConfigError {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(contents))
	if err != nil {
		return &ConfigError{Reason: "it is not JSON: " + err.Error()}
	}
	schemaDocument, err := jsonschema.UnmarshalJSON(bytes.NewReader(operatorSchema))
	if err != nil {
		return &ConfigError{Reason: "the schema is not JSON: " + err.Error()}
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("operator.json", schemaDocument); err != nil {
		return &ConfigError{Reason: err.Error()}
	}
	schema, err := compiler.Compile("operator.json")
	if err != nil {
		return &ConfigError{Reason: err.Error()}
	}
	if err := schema.Validate(document); err != nil {
		return firstFault(err)
	}
	return nil
}

// firstFault converts the first fault that the schema finds, with the path of its field.
func firstFault(err error) *ConfigError {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return &ConfigError{Reason: err.Error()}
	}
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	fieldPath := func(names ...string) string {
		return strings.Join(slices.Concat(invalid.InstanceLocation, names), ".")
	}
	switch fault := invalid.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		return &ConfigError{Field: fieldPath(fault.Properties[0]), Reason: "is not known"}
	case *kind.Required:
		return &ConfigError{Field: fieldPath(fault.Missing[0]), Reason: "is missing"}
	}
	printer := message.NewPrinter(language.English)
	return &ConfigError{Field: fieldPath(), Reason: invalid.ErrorKind.LocalizedString(printer)}
}

// buildTarget returns the path of the target that has to be trusted before a build gets requests.
func (c *OperatorConfig) buildTarget(build int) string {
	return strings.ReplaceAll(c.BuildTarget, buildPlaceholder, strconv.Itoa(build))
}

// RefreshTimeout returns how long a refresh of the metadata may take.
func (c *OperatorConfig) RefreshTimeout() time.Duration { return milliseconds(c.RefreshTimeoutMs) }

// FetchTimeout returns how long a fetch of a target may take.
func (c *OperatorConfig) FetchTimeout() time.Duration { return milliseconds(c.FetchTimeoutMs) }

// RefreshPeriod returns the period of an agent's refreshes.
func (c *OperatorConfig) RefreshPeriod() time.Duration { return milliseconds(c.RefreshPeriodMs) }

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// NewClient returns a client as the file says, with its store. The caller closes both, the client first. Errors that
// are no *verifiedmetadata.VerificationError are the store's.
func (c *OperatorConfig) NewClient(seed uint64, now func() int64, observer Observer) (*Client, *store.Store, error) {
	opened := store.NewMemory()
	if c.Store != "" {
		var err error
		if opened, err = store.Open(c.Store); err != nil {
			return nil, nil, err
		}
	}
	client, err := NewClient(ClientConfig{
		Root:     c.rootContents,
		Limits:   c.metadataLimits(),
		Mirrors:  mirrorpool.NewPool(c.Mirrors, seed, c.mirrorLimits()),
		Store:    opened,
		Now:      now,
		Observer: observer,
	})
	if err != nil {
		opened.Close()
		return nil, nil, err
	}
	client.SetDraining(c.Draining)
	return client, opened, nil
}

func (c *OperatorConfig) metadataLimits() verifiedmetadata.Limits {
	limits := verifiedmetadata.DefaultLimits
	limits.RootBytes, limits.TimestampBytes = c.MaxBytes.Root, c.MaxBytes.Timestamp
	limits.SnapshotBytes, limits.TargetsBytes = c.MaxBytes.Snapshot, c.MaxBytes.Targets
	limits.MaxStaleness, limits.ClockSlack = milliseconds(c.MaxStalenessMs), milliseconds(c.ClockSlackMs)
	return limits
}

func (c *OperatorConfig) mirrorLimits() mirrorpool.Limits {
	limits := mirrorpool.DefaultLimits
	limits.MaxAttempts, limits.StallTimeout = c.MaxAttempts, milliseconds(c.StallTimeoutMs)
	limits.MinBytesPerSecond = c.MinBytesPerSecond
	return limits
}
