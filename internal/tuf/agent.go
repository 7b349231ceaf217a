package tuf

import (
	"context"
	"log/slog"
	"time"

	"laurelring/internal/schedule"
	"laurelring/internal/verifiedmetadata"
)

// Agent keeps trust fresh beside a gateway, in the background, and tells which builds may be taken. It decides neither
// when (package schedule does), nor what is trusted, nor what becomes of a build.
type Agent struct {
	operator *OperatorConfig
	client   *Client
	plan     *schedule.Scheduler
	busy     func() bool
	told     func(build int, trusted bool)
	asked    chan int
	builds   []int // the latest last
	refresh  *schedule.Job
	check    *schedule.Job
	clean    *schedule.Job
	bytes    int64 // of the job that runs
	begun    time.Time
}

const (
	buildsMost = 64 // builds that are known at once; the earliest are forgotten
	askedMost  = 64
	checkEvery = 5 * time.Second // what expires meanwhile is told this late
	cleanEvery = time.Hour
)

// NewAgent takes a client that is the agent's from here on, whether commands wait, and whom to tell of a build.
func NewAgent(o *OperatorConfig, c *Client, seed uint64, busy func() bool, told func(build int, trusted bool)) *Agent {
	a := &Agent{operator: o, client: c, plan: schedule.New(seed, schedule.DefaultLimits), busy: busy, told: told,
		asked: make(chan int, askedMost), begun: time.Now()}
	a.refresh = &schedule.Job{Name: "refresh", Priority: 2, Period: o.RefreshEvery(), Descriptors: 2}
	a.check = &schedule.Job{Name: "builds", Priority: 1, Period: min(o.RefreshEvery(), checkEvery), Descriptors: 2}
	a.clean = &schedule.Job{Name: "clean-up", Period: cleanEvery}
	return a
}

// Build asks whether a build may be taken. It does not wait; where too many are asked for, the agent's next round
// answers.
func (a *Agent) CheckBuild(build int) {
	select {
	case a.asked <- build:
	default:
	}
}

// Reload reads the operator's file again and takes from it which mirrors drain; all else stands until the next start.
func (a *Agent) Reload(file string) error {
	o, err := LoadOperatorConfig(file)
	if err == nil {
		a.client.SetDraining(o.Draining)
	}
	return err
}

func (a *Agent) now() int64 { return int64(time.Since(a.begun)) }

// Run works until the context ends. The first refresh comes at once: nothing is trusted before.
func (a *Agent) Run(ctx context.Context) {
	for _, j := range []*schedule.Job{a.refresh, a.check, a.clean} {
		if err := a.plan.Add(j, a.now()); err != nil {
			slog.Error("a background job is not taken", "job", j.Name, "cause", err)
			return
		}
	}
	a.plan.RunSoon(a.refresh, a.now())
	for {
		job, at := a.plan.Next(a.now(), a.busy())
		if job != nil {
			begun := time.Now()
			a.bytes = 0
			a.work(ctx, job)
			a.plan.Finish(job, time.Since(begun), a.bytes, a.now())
			continue
		}
		again := time.NewTimer(time.Duration(max(at-a.now(), int64(time.Millisecond))))
		select {
		case build := <-a.asked:
			a.know(build)
			a.plan.RunSoon(a.check, a.now())
		case <-again.C:
		case <-ctx.Done():
			again.Stop()
			return
		}
		again.Stop()
	}
}

func (a *Agent) work(ctx context.Context, job *schedule.Job) {
	if job == a.refresh {
		spent, refused := a.client.Refresh(ctx, a.operator.RefreshWithin())
		if a.bytes = spent.Bytes; refused != nil {
			slog.Warn("the metadata are not refreshed", "cause", refused)
		}
		a.plan.RunSoon(a.check, a.now())
		return
	}
	if job == a.clean {
		if n := a.client.RemoveUnlisted(); n > 0 {
			slog.Info("targets that nobody lists any more are gone", "targets", n)
		}
		return
	}
	for _, build := range a.builds {
		var spent Usage
		_, refused := a.client.FindTarget(ctx, a.operator.target(build), a.operator.RefreshWithin(), &spent)
		if a.bytes += spent.Bytes; refused != nil {
			slog.Warn("a build is not trusted", "build", build, "cause", refused)
			if verifiedmetadata.ReasonOf(refused) == verifiedmetadata.ReasonUnavailable {
				continue // what was told stands until its time is over
			}
		}
		a.told(build, refused == nil)
	}
}

// know keeps a build among those that are asked for.
func (a *Agent) know(build int) {
	for _, had := range a.builds {
		if had == build {
			return
		}
	}
	if a.builds = append(a.builds, build); len(a.builds) > buildsMost {
		a.builds = a.builds[1:]
	}
}
