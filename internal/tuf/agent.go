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
	maxBuilds       = 64              // builds that are checked periodically; above this number the oldest is dropped
	maxQueuedBuilds = 64              // requested builds that Run has not received yet; further requests are dropped
	checkPeriod     = 5 * time.Second // an expiration is reported at the next check, up to about this late
	removalPeriod   = time.Hour
	minWait         = time.Millisecond // between two queries of the scheduler
	jobDescriptors  = 2                // file descriptors that a fetching job holds
)

// Agent runs in the background of a gateway: it refreshes metadata, reports which builds are verified and removes
// unlisted targets. Package schedule decides when its jobs run, package verifiedmetadata what is trusted.
type Agent struct {
	config          *OperatorConfig
	client          *Client
	scheduler       *schedule.Scheduler
	requestsWaiting func() bool
	onBuildChecked  func(build int, verified bool)
	buildRequests   chan int
	started         time.Time

	builds     []int // builds that are checked periodically, the newest last
	refreshJob *schedule.Job
	checkJob   *schedule.Job
	removalJob *schedule.Job
}

// NewAgent returns an agent. From then on only the agent may use the client, except that the caller closes it. The
// function requestsWaiting reports whether client requests are queued, in which case background jobs are deferred. The
// function onBuildChecked is called with the result of each check of a build.
func NewAgent(config *OperatorConfig, client *Client, seed uint64, requestsWaiting func() bool,
	onBuildChecked func(build int, verified bool)) *Agent {
	period := config.RefreshPeriod()
	return &Agent{
		config:          config,
		client:          client,
		scheduler:       schedule.New(seed, schedule.DefaultLimits),
		requestsWaiting: requestsWaiting,
		onBuildChecked:  onBuildChecked,
		buildRequests:   make(chan int, maxQueuedBuilds),
		started:         time.Now(),
		refreshJob:      &schedule.Job{Name: "refresh", Priority: 2, Period: period, Descriptors: jobDescriptors},
		checkJob:        &schedule.Job{Name: "builds", Priority: 1, Period: min(period, checkPeriod), Descriptors: jobDescriptors},
		removalJob:      &schedule.Job{Name: "clean-up", Period: removalPeriod},
	}
}

// CheckBuild requests a check of a build now and periodic checks from then on. It does not block: if the queue of
// requested builds is full, the request is dropped. CheckBuild is safe for concurrent use.
func (a *Agent) CheckBuild(build int) {
	select {
	case a.buildRequests <- build:
	default:
	}
}

// Reload reads the operator's file again and applies its list of draining mirrors. Every other field takes effect at
// the next start of the process.
func (a *Agent) Reload(file string) error {
	config, err := LoadOperatorConfig(file)
	if err == nil {
		a.client.SetDraining(config.Draining)
	}
	return err
}

// elapsed returns the monotonic time since the agent was created. The scheduler uses this clock.
func (a *Agent) elapsed() monotonic.Time { return time.Since(a.started) }

// Run runs jobs until the context ends. The first refresh is due immediately, because without one the stored metadata
// may be missing or no longer valid.
func (a *Agent) Run(ctx context.Context) {
	for _, job := range []*schedule.Job{a.refreshJob, a.checkJob, a.removalJob} {
		if err := a.scheduler.Add(job, a.elapsed()); err != nil {
			slog.Error("background job refused", "job", job.Name, "error", err)
			return
		}
	}
	a.scheduler.RunSoon(a.refreshJob, a.elapsed())
	for {
		job, wakeAt := a.scheduler.Next(a.elapsed(), a.requestsWaiting())
		if job != nil {
			start := time.Now()
			bytes := a.runJob(ctx, job)
			a.scheduler.Finish(job, time.Since(start), bytes, a.elapsed())
			continue
		}
		timer := time.NewTimer(max(wakeAt-a.elapsed(), minWait))
		select {
		case build := <-a.buildRequests:
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

// runJob runs a job and returns the number of bytes that it fetched.
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

// checkBuilds reports for each requested build whether its target is trusted. If metadata that is needed for the
// decision is unavailable from all mirrors, it reports nothing and the last report remains in effect.
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
		a.onBuildChecked(build, err == nil)
	}
	return bytes
}

// addBuild adds a build to the periodic checks. Above maxBuilds it drops the oldest build.
func (a *Agent) addBuild(build int) {
	if slices.Contains(a.builds, build) {
		return
	}
	if a.builds = append(a.builds, build); len(a.builds) > maxBuilds {
		a.builds = a.builds[1:]
	}
}
