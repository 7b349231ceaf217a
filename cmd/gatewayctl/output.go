package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"laurelring/internal/mirrorpool"
	"laurelring/internal/tuf"
	"laurelring/internal/verifiedmetadata"
)

// output prints results as text, or as JSON for programs.
type output struct {
	out      io.Writer
	errorOut io.Writer
	json     bool
}

// result is the result of a command. Operators' programs read its JSON form, whose keys are in alphabetical order.
type result interface {
	printText(out io.Writer)
}

func (o output) print(r result) error {
	if o.json {
		return json.NewEncoder(o.out).Encode(r)
	}
	r.printText(o.out)
	return nil
}

// errorResult is the JSON form of an error.
type errorResult struct {
	Error  string `json:"error"`
	OK     bool   `json:"ok"`
	Reason string `json:"reason"` // reason of a verification error, otherwise empty
	Status int    `json:"status"`
}

// printError prints an error and returns its exit status.
func (o output) printError(err error) int {
	status := statusOf(err)
	if !o.json {
		fmt.Fprintln(o.errorOut, "gatewayctl:", err)
		return status
	}
	printed := errorResult{Error: err.Error(), Status: status}
	var verification *verifiedmetadata.VerificationError
	if errors.As(err, &verification) {
		printed.Reason = verification.Reason.String()
	}
	json.NewEncoder(o.out).Encode(printed)
	return status
}

type refreshResult struct {
	OK    bool                           `json:"ok"`
	Roles []verifiedmetadata.TrustedRole `json:"roles"`
	Usage tuf.Usage                      `json:"spent"`
}

func (r refreshResult) printText(out io.Writer) {
	fmt.Fprintf(out, "fresh, by %d bytes in %d attempts, %s\n", r.Usage.Bytes, r.Usage.Attempts, r.Usage.Duration.Round(time.Millisecond))
}

type fetchResult struct {
	Length int64     `json:"length"`
	OK     bool      `json:"ok"`
	Role   string    `json:"role"`
	Usage  tuf.Usage `json:"spent"`
	Target string    `json:"target"`
}

func (r fetchResult) printText(out io.Writer) {
	fmt.Fprintf(out, "%s: %d bytes, listed by %s, %d attempts, %s\n", r.Target, r.Length, r.Role, r.Usage.Attempts,
		r.Usage.Duration.Round(time.Millisecond))
}

type verifyResult struct {
	OK      bool              `json:"ok"`
	Targets map[string]string `json:"targets"` // "trusted" or the error text, by path

	paths []string // paths of the targets, in the order of the text output
}

func (r verifyResult) printText(out io.Writer) {
	for _, path := range r.paths {
		fmt.Fprintf(out, "%s: %s\n", path, r.Targets[path])
	}
}

type statusResult struct {
	OK     bool       `json:"ok"`
	Status tuf.Status `json:"status"`

	now func() int64
}

func (r statusResult) printText(out io.Writer) {
	now := r.now()
	refreshed := "never"
	if r.Status.LastRefresh > 0 {
		refreshed = time.Duration(now-r.Status.LastRefresh).Round(time.Second).String() + " ago"
	}
	fmt.Fprintf(out, "metadata: %s, refreshed %s\nstore: %s\n\n", r.Status.Trust, refreshed, r.Status.Store)
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "ROLE\tVERSION\tLASTS")
	for _, role := range r.Status.Roles {
		fmt.Fprintf(table, "%s\t%d\t%s\n", role.Name, role.Version, time.Duration(role.Expires-now).Round(time.Second))
	}
	fmt.Fprintln(table, "\nMIRROR\tSTATE\tLAST\tSERVED\tFAILED")
	for _, mirror := range r.Status.Mirrors {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\n", mirror.Name, mirrorState(mirror), mirror.LastOutcome, mirror.Served, mirror.Failed)
	}
	table.Flush()
	for _, path := range r.Status.Targets {
		fmt.Fprintln(out, "fetched:", path)
	}
	for _, rejected := range r.Status.RejectedRecords {
		fmt.Fprintln(out, "left out:", rejected)
	}
}

func mirrorState(mirror mirrorpool.MirrorState) string {
	switch {
	case mirror.Draining:
		return "draining"
	case mirror.Backoff > 0:
		return "left alone for " + mirror.Backoff.Round(time.Millisecond).String()
	}
	return "used"
}
