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

// Default values in milliseconds. All other defaults come from verifiedmetadata.DefaultLimits and
// mirrorpool.DefaultLimits.
const (
	defaultRefreshPeriodMs  = 600_000
	defaultRefreshTimeoutMs = 30_000
	defaultFetchTimeoutMs   = 300_000
)

// buildPlaceholder is replaced by the build number in OperatorConfig.BuildTarget.
const buildPlaceholder = "{build}"

// OperatorConfig holds the fields of an operator's configuration file for signed metadata. The JSON keys are those of
// operator.schema.json.
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

// ConfigError reports an invalid operator's file. Operators read its text.
type ConfigError struct {
	File   string
	Field  string // empty if the error concerns the whole file
	Reason string
}

func (e *ConfigError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: field %q: %s", e.File, e.Field, e.Reason)
}

// LoadOperatorConfig reads an operator's file and the root metadata file that it names. Relative paths in the file are
// resolved against its folder. An invalid file is rejected as a whole with a *ConfigError.
func LoadOperatorConfig(file string) (*OperatorConfig, error) {
	contents, err := os.ReadFile(file)
	if err != nil {
		return nil, &ConfigError{File: file, Reason: err.Error()}
	}
	config, configErr := ParseOperatorConfig(contents)
	if configErr != nil {
		configErr.File = file
		return nil, configErr
	}
	config.Root = resolvePath(file, config.Root)
	config.Store = resolvePath(file, config.Store)
	if config.rootContents, err = os.ReadFile(config.Root); err != nil {
		return nil, &ConfigError{File: file, Field: "root", Reason: err.Error()}
	}
	return config, nil
}

// resolvePath resolves a path from an operator's file against the file's folder. An empty path stays empty.
func resolvePath(file, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// ParseOperatorConfig validates the contents of an operator's file against the schema and parses them. It does not set
// ConfigError.File.
func ParseOperatorConfig(contents []byte) (*OperatorConfig, *ConfigError) {
	if configErr := validateSchema(contents); configErr != nil {
		return nil, configErr
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

// validateSchema validates the contents of an operator's file against operator.schema.json.
func validateSchema(contents []byte) *ConfigError {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(contents))
	if err != nil {
		return &ConfigError{Reason: "it is not JSON: " + err.Error()}
	}
	schemaDocument, err := jsonschema.UnmarshalJSON(bytes.NewReader(operatorSchema))
	if err != nil {
		return &ConfigError{Reason: "the embedded schema is not JSON: " + err.Error()}
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
		return firstSchemaError(err)
	}
	return nil
}

// firstSchemaError converts the first leaf of a schema validation error to a ConfigError with the path of the field.
func firstSchemaError(err error) *ConfigError {
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
	switch schemaErr := invalid.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		return &ConfigError{Field: fieldPath(schemaErr.Properties[0]), Reason: "is not known"}
	case *kind.Required:
		return &ConfigError{Field: fieldPath(schemaErr.Missing[0]), Reason: "is missing"}
	}
	printer := message.NewPrinter(language.English)
	return &ConfigError{Field: fieldPath(), Reason: invalid.ErrorKind.LocalizedString(printer)}
}

// buildTarget returns the path of the target that must be trusted before a build gets requests.
func (c *OperatorConfig) buildTarget(build int) string {
	return strings.ReplaceAll(c.BuildTarget, buildPlaceholder, strconv.Itoa(build))
}

// RefreshTimeout returns how long a refresh of the metadata may take.
func (c *OperatorConfig) RefreshTimeout() time.Duration { return milliseconds(c.RefreshTimeoutMs) }

// FetchTimeout returns how long a fetch of a target may take.
func (c *OperatorConfig) FetchTimeout() time.Duration { return milliseconds(c.FetchTimeoutMs) }

// RefreshPeriod returns the interval between two refreshes of an Agent.
func (c *OperatorConfig) RefreshPeriod() time.Duration { return milliseconds(c.RefreshPeriodMs) }

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// NewClient returns a client with the limits, mirrors and root of the file, and its store, which is in memory if the
// file names none. The caller closes both, the client first. An error is a *verifiedmetadata.VerificationError if the
// root cannot be used, otherwise an error of the store.
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
