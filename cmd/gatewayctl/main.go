// Command gatewayctl is the operator's command line.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/prometheus/client_golang/prometheus"

	"laurelring/internal/store"
	"laurelring/internal/tuf"
	"laurelring/internal/tuf/tufmetrics"
	"laurelring/internal/verifiedmetadata"
)

// The exit statuses.
const (
	fine        = 0
	misused     = 1 // the command line or the operator's file
	refused     = 2 // something is not trusted
	unavailable = 3 // no mirror brought it in time
	storeFault  = 4 // the store is in use, or fails
)

// failure ends the program with a status.
type failure struct {
	status int
	err    error
}

func (f *failure) Error() string { return f.err.Error() }

// line is the command line.
type line struct {
	Tuf struct {
		File    string `help:"The operator's file." default:"deploy/trust.json" type:"path"`
		JSON    bool   `help:"Answer in JSON, for programs." name:"json"`
		Metrics string `help:"Write metrics to this file at the end." type:"path"`

		Refresh struct{} `cmd:"" help:"Bring the metadata up to date."`
		Fetch   struct {
			Name string `arg:"" help:"The target's path."`
		} `cmd:"" help:"Fetch a target into the store, whole and trusted, or not at all."`
		Status struct{} `cmd:"" help:"Tell what is trusted, and how the mirrors and the store are."`
		Verify struct {
			Name string `arg:"" optional:"" help:"The target's path; all that were fetched without it."`
		} `cmd:"" help:"Hold what was fetched against what is listed now."`
	} `cmd:"" help:"What the release desk has signed."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr, func() int64 { return time.Now().UnixNano() }))
}

// run is one call; it gives the exit status.
func run(ctx context.Context, args []string, out, complaints io.Writer, now func() int64) int {
	var l line
	parser, err := kong.New(&l, kong.Name("gatewayctl"), kong.Description("The operator's command line of laurelring."),
		kong.Writers(out, complaints), kong.Exit(func(int) { panic(ended{}) }))
	if err != nil {
		fmt.Fprintln(complaints, "gatewayctl:", err)
		return misused
	}
	status := fine
	err = func() (err error) {
		defer func() {
			if p := recover(); p != nil {
				if _, ok := p.(ended); !ok {
					panic(p)
				}
			}
		}()
		called, err := parser.Parse(args)
		if err != nil {
			return &failure{misused, err}
		}
		return l.tuf(ctx, called.Command(), out, now)
	}()
	if err != nil {
		var f *failure
		if status = misused; errors.As(err, &f) {
			status = f.status
		}
		if l.Tuf.JSON {
			json.NewEncoder(out).Encode(map[string]any{"ok": false, "error": err.Error(), "status": status, "reason": reasonOf(err)})
		} else {
			fmt.Fprintln(complaints, "gatewayctl:", err)
		}
	}
	return status
}

// ended stands for an exit that the parser asks for, after its help.
type ended struct{}

func reasonOf(err error) string {
	var r *verifiedmetadata.VerificationError
	if errors.As(err, &r) {
		return r.Reason.String()
	}
	return ""
}

func (f *failure) Unwrap() error { return f.err }

// fail gives a refusal its exit status.
func fail(r error) error {
	if r == nil {
		return nil
	}
	if verifiedmetadata.ReasonOf(r) == verifiedmetadata.ReasonUnavailable {
		return &failure{unavailable, r}
	}
	return &failure{refused, r}
}

func (l *line) tuf(ctx context.Context, command string, out io.Writer, now func() int64) (err error) {
	o, err := tuf.LoadOperatorConfig(l.Tuf.File)
	if err != nil {
		return &failure{misused, err}
	}
	registry := prometheus.NewRegistry()
	c, kept, err := o.NewClient(uint64(now()), now, tufmetrics.New(registry))
	switch r := (*verifiedmetadata.VerificationError)(nil); {
	case errors.As(err, &r):
		return fail(r)
	case err != nil:
		return &failure{storeFault, err}
	}
	defer func() {
		c.Close()
		if bad := kept.Close(); bad != nil && err == nil {
			err = &failure{storeFault, bad}
		}
		if l.Tuf.Metrics == "" {
			return
		}
		c.Status()
		if bad := prometheus.WriteToTextfile(l.Tuf.Metrics, registry); bad != nil && err == nil {
			err = &failure{misused, bad}
		}
	}()
	switch command {
	case "tuf refresh":
		spent, r := c.Refresh(ctx, o.RefreshWithin())
		if r != nil {
			return fail(r)
		}
		return l.say(out, map[string]any{"ok": true, "spent": spent, "roles": c.Status().Roles}, func(w io.Writer) {
			fmt.Fprintf(w, "fresh, by %d bytes in %d attempts, %s\n", spent.Bytes, spent.Attempts, time.Duration(spent.Duration).Round(time.Millisecond))
		})
	case "tuf fetch <name>":
		if err := ready(ctx, c, o, kept); err != nil {
			return err
		}
		t, spent, r := c.FetchTarget(ctx, l.Tuf.Fetch.Name, o.FetchWithin())
		if r != nil {
			return fail(r)
		}
		return l.say(out, map[string]any{"ok": true, "spent": spent, "target": t.Path, "length": t.Length, "role": t.Role}, func(w io.Writer) {
			fmt.Fprintf(w, "%s: %d bytes, listed by %s, %d attempts, %s\n", t.Path, t.Length, t.Role, spent.Attempts,
				time.Duration(spent.Duration).Round(time.Millisecond))
		})
	case "tuf status":
		s := c.Status()
		return l.say(out, map[string]any{"ok": true, "status": s}, func(w io.Writer) { tell(w, s, now()) })
	}
	return l.verify(out, c, kept)
}

// ready refreshes where nothing trusted stands: without a store each call begins anew.
func ready(ctx context.Context, c *tuf.Client, o *tuf.OperatorConfig, kept *store.Store) error {
	if !kept.InMemory() && c.Status().Trust == "trusted" {
		return nil
	}
	_, r := c.Refresh(ctx, o.RefreshWithin())
	return fail(r)
}

// say answers a person or a program.
func (l *line) say(out io.Writer, all map[string]any, people func(io.Writer)) error {
	if l.Tuf.JSON {
		return json.NewEncoder(out).Encode(all)
	}
	people(out)
	return nil
}

func tell(out io.Writer, s tuf.Status, now int64) {
	fresh := "never"
	if s.LastRefresh > 0 {
		fresh = time.Duration(now-s.LastRefresh).Round(time.Second).String() + " ago"
	}
	fmt.Fprintf(out, "metadata: %s, refreshed %s\nstore: %s\n\n", s.Trust, fresh, s.Store)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "ROLE\tVERSION\tLASTS")
	for _, r := range s.Roles {
		fmt.Fprintf(w, "%s\t%d\t%s\n", r.Name, r.Version, time.Duration(r.Expires-now).Round(time.Second))
	}
	fmt.Fprintln(w, "\nMIRROR\tSTATE\tLAST\tSERVED\tFAILED")
	for _, m := range s.Mirrors {
		state := "used"
		if m.Draining {
			state = "draining"
		} else if m.Backoff > 0 {
			state = "left alone for " + time.Duration(m.Backoff).Round(time.Millisecond).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", m.Name, state, m.LastOutcome, m.Served, m.Failed)
	}
	w.Flush()
	for _, path := range s.Targets {
		fmt.Fprintln(out, "fetched:", path)
	}
	for _, one := range s.RejectedRecords {
		fmt.Fprintln(out, "left out:", one)
	}
}

// verify holds one target, or each that was fetched, against what is listed.
func (l *line) verify(out io.Writer, c *tuf.Client, kept *store.Store) error {
	paths := []string{l.Tuf.Verify.Name}
	if l.Tuf.Verify.Name == "" {
		paths = kept.TargetPaths()
	}
	var worst error
	found := map[string]string{}
	for _, path := range paths {
		found[path] = "trusted"
		if r := c.VerifyTarget(path); r != nil {
			found[path], worst = r.Error(), r
		}
	}
	if err := l.say(out, map[string]any{"ok": worst == nil, "targets": found}, func(w io.Writer) {
		for _, path := range paths {
			fmt.Fprintf(w, "%s: %s\n", path, found[path])
		}
	}); err != nil || worst == nil {
		return err
	}
	return &failure{refused, worst}
}
