package tuf

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/internal/schedule"
	"laurelring/internal/verifiedmetadata"
)

const (
	maxBuilds         = 64 // builds that are checked periodically; the oldest are forgotten
	maxQueuedRequests = 64
	checkPeriod       = 5 * time.Second // an expiry in between is reported this late
	removalPeriod     = time.Hour
	minWait           = time.Millisecond // between two questions to the scheduler
	jobDescriptors    = 2                // of a job that fetches
)

// Agent refreshes metadata in the background of a gateway and reports which builds are verified. When jobs run is the
// decision of package schedule, what is trusted that of package verifiedmetadata.
type Agent struct {
	config       *OperatorConfig
	client       *Client
	scheduler    *schedule.Scheduler
	requestsWait func() bool
	onChecked    func(build int, verified bool)
	requested    chan int
	started      time.Time

	builds     []int // that are checked periodically, the newest last
	refreshJob *schedule.Job
	checkJob   *schedule.Job
	removalJob *schedule.Job
}

// NewAgent returns an agent that owns the client from here on. RequestsWait reports whether clients' requests wait, in
// which case background jobs do; onChecked is called with the result of each check of a build.
func NewAgent(config *OperatorConfig, client *Client, seed uint64, requestsWait func() bool,
	onChecked func(build int, verified bool)) *Agent {
	period := config.RefreshPeriod()
	return &Agent{
		config:       config,
		client:       client,
		scheduler:    schedule.New(seed, schedule.DefaultLimits),
		requestsWait: requestsWait,
		onChecked:    onChecked,
		requested:    make(chan int, maxQueuedRequests),
		started:      time.Now(),
		refreshJob:   &schedule.Job{Name: "refresh", Priority: 2, Period: period, Descriptors: jobDescriptors},
		checkJob:     &schedule.Job{Name: "builds", Priority: 1, Period: min(period, checkPeriod), Descriptors: jobDescriptors},
		removalJob:   &schedule.Job{Name: "clean-up", Period: removalPeriod},
	}
}

// CheckBuild requests a check of a build, and then periodic ones. It does not block: where too many requests are queued
// this one is dropped. It is safe for concurrent use.
func (a *Agent) CheckBuild(build int) {
	select {
	case a.requested <- build:
	default:
	}
}

// Reload reads the operator's file again and takes from it which mirrors drain; every other field applies from the next
// start on.
func (a *Agent) Reload(file string) error {
	config, err := LoadOperatorConfig(file)
	if err == nil {
		a.client.SetDraining(config.Draining)
	}
	return err
}

func (a *Agent) elapsed() monotonic.Time { return time.Since(a.started) }

// Run runs jobs until the context ends. The first refresh is due at once, as nothing is trusted before.
func (a *Agent) Run(ctx context.Context) {
	for _, job := range []*schedule.Job{a.refreshJob, a.checkJob, a.removalJob} {
		if err := a.scheduler.Add(job, a.elapsed()); err != nil {
			slog.Error("background job refused", "job", job.Name, "error", err)
			return
		}
	}
	a.scheduler.RunSoon(a.refreshJob, a.elapsed())
	for {
		job, askAgain := a.scheduler.Next(a.elapsed(), a.requestsWait())
		if job != nil {
			start := time.Now()
			bytes := a.runJob(ctx, job)
			a.scheduler.Finish(job, time.Since(start), bytes, a.elapsed())
			continue
		}
		timer := time.NewTimer(max(askAgain-a.elapsed(), minWait))
		select {
		case build := <-a.requested:
			a.addBuild(build)
			a.scheduler.RunSoon(a.checkJob, a.elapsed())
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// runJob runs a job and returns how many bytes it fetched.
func (a *Agent) runJob(ctx context.Context, job *schedule.Job) (bytes int64) {
	switch job {
	case a.refreshJob:
		return a.refresh(ctx)
	case a.removalJob:
		if removed := a.client.RemoveUnlisted(); removed > 0 {
			slog.Info("unlisted targets removed", "targets", removed)
		}
		return 0
	}
	return a.checkBuilds(ctx)
}

func (a *Agent) refresh(ctx context.Context) (bytes int64) {
	usage, err := a.client.Refresh(ctx, a.config.RefreshTimeout())
	if err != nil {
		slog.Warn("metadata refresh failed", "error", err)
	}
	a.scheduler.RunSoon(a.checkJob, a.elapsed())
	return usage.Bytes
}

// checkBuilds reports for each requested build whether its target is trusted. Where no mirror delivers what is needed to
// tell, the last report stands.
func (a *Agent) checkBuilds(ctx context.Context) (bytes int64) {
	for _, build := range a.builds {
		var usage Usage
		_, err := a.client.FindTarget(ctx, a.config.buildTarget(build), a.config.RefreshTimeout(), &usage)
		bytes += usage.Bytes
		if err != nil {
			slog.Warn("build not verified", "build", build, "error", err)
			if verifiedmetadata.ReasonOf(err) == verifiedmetadata.ReasonUnavailable {
				continue
			}
		}
		a.onChecked(build, err == nil)
	}
	return bytes
}

// addBuild adds a build to those that are checked periodically.
func (a *Agent) addBuild(build int) {
	if slices.Contains(a.builds, build) {
		return
	}
	if a.builds = append(a.builds, build); len(a.builds) > maxBuilds {
		a.builds = a.builds[1:]
	}
}
