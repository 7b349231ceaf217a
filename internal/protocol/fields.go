package protocol

import (
	"fmt"
	"math"
	"time"

	"github.com/tidwall/gjson"
)

// FieldError is the error for a field of a JSON document that is missing or has an invalid value.
type FieldError struct {
	Kind   string // kind of field, such as "setting"
	Field  string // path of the field in the document
	Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s %q %s", e.Kind, e.Field, e.Reason) }

// fieldReader reads the fields of a JSON object by their paths. Every read returns a value, even for an invalid field.
// Fields that are not read are ignored.
type fieldReader struct {
	root gjson.Result
	kind string // FieldError.Kind of all errors
	err  error  // error of the first invalid field that was read
}

// fail records an error for the field at path, unless an earlier read has failed.
func (r *fieldReader) fail(path, reason string) {
	if r.err == nil {
		r.err = &FieldError{Kind: r.kind, Field: path, Reason: reason}
	}
}

// get reads the field at path, which is relative to object. It records an error if the field is missing or not of the
// wanted type. For booleans the wanted type is gjson.True.
func (r *fieldReader) get(object gjson.Result, path string, want gjson.Type) gjson.Result {
	value := object.Get(path)
	isBool := value.Type == gjson.True || value.Type == gjson.False
	switch {
	case !value.Exists():
		r.fail(path, "is missing")
	case value.Type != want && !(want == gjson.True && isBool):
		r.fail(path, "is of the wrong type")
	}
	return value
}

func (r *fieldReader) number(path string) float64      { return r.get(r.root, path, gjson.Number).Num }
func (r *fieldReader) integer(path string) int         { return int(r.number(path)) }
func (r *fieldReader) boolean(path string) bool        { return r.get(r.root, path, gjson.True).Bool() }
func (r *fieldReader) text(path string) string         { return r.get(r.root, path, gjson.String).Str }
func (r *fieldReader) json(path string) gjson.Result   { return r.get(r.root, path, gjson.JSON) }
func (r *fieldReader) list(path string) []gjson.Result { return r.json(path).Array() }

// duration reads a number of milliseconds.
func (r *fieldReader) duration(path string) time.Duration { return durationFromMs(r.number(path)) }

func (r *fieldReader) numbers(path string) []float64 {
	var values []float64
	for _, value := range r.list(path) {
		values = append(values, value.Num)
	}
	return values
}

func (r *fieldReader) texts(path string) []string {
	var values []string
	for _, value := range r.list(path) {
		values = append(values, value.Str)
	}
	return values
}

// maxMs is the longest duration that is read, about 127 years. It keeps the number of nanoseconds within the range of
// time.Duration.
const maxMs = 4e12

// durationFromMs converts milliseconds to a duration of whole nanoseconds, limited to between -maxMs and maxMs.
func durationFromMs(ms float64) time.Duration {
	return time.Duration(math.Round(max(-maxMs, min(maxMs, ms)) * 1e6))
}
