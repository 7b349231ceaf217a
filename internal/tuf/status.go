package tuf

import (
	"laurelring/internal/mirrorpool"
	"laurelring/internal/verifiedmetadata"
)

// StatusTrusted is the value of Status.Trust while the trusted metadata is valid.
const StatusTrusted = "trusted"

// storeHealthy is the value of Status.Store while the store is durable, was found undamaged and its last write
// succeeded.
const storeHealthy = "kept"

// Status is the state of a client as operators see it. Its JSON form is part of the output of gatewayctl.
type Status struct {
	Trust           string                         `json:"standing"`    // StatusTrusted, or why it is not valid
	LastRefresh     int64                          `json:"fresh_at_ns"` // ns since the Unix epoch, 0 for never
	Roles           []verifiedmetadata.TrustedRole `json:"roles"`
	Mirrors         []mirrorpool.MirrorState       `json:"mirrors"`
	Targets         []string                       `json:"targets"`            // paths of stored targets
	Store           string                         `json:"store"`              // "kept", or what is wrong or not durable
	RejectedRecords []string                       `json:"left_out,omitempty"` // errors of unverified stored records
}

// Status returns the state of the metadata, the mirrors and the store, and reports it to the observer.
func (c *Client) Status() Status {
	c.applyDraining()
	status := Status{
		Trust:       StatusTrusted,
		LastRefresh: c.verifier.LastRefresh(),
		Roles:       c.verifier.TrustedRoles(),
		Mirrors:     c.mirrors.States(c.elapsed()),
		Targets:     c.store.TargetPaths(),
		Store:       c.storeStatus(),
	}
	if err := c.verifier.CheckValid(c.now()); err != nil {
		status.Trust = err.Error()
	}
	if status.Targets == nil {
		status.Targets = []string{} // an empty list in JSON, not null
	}
	for _, err := range c.rejected {
		status.RejectedRecords = append(status.RejectedRecords, err.Error())
	}
	c.observer.StatusReported(status, c.now())
	return status
}

func (c *Client) storeStatus() string {
	switch {
	case c.store.InMemory():
		return "memory: versions may go back over a restart"
	case c.storeErr != nil:
		return "not kept: " + c.storeErr.Error()
	case c.store.Damage() != nil:
		return "begun anew: " + c.store.Damage().Error()
	}
	return storeHealthy
}

// Observer receives the events of a client. Errors are *verifiedmetadata.VerificationError, or nil after a success.
type Observer interface {
	// RefreshFinished reports the end of a refresh of the metadata.
	RefreshFinished(err error, usage Usage)
	// FetchFinished reports the end of a fetch of a target.
	FetchFinished(err error, usage Usage)
	// AttemptFinished reports the outcome of one attempt at a mirror.
	AttemptFinished(mirror string, outcome mirrorpool.AttemptOutcome)
	// StoreFailed reports that changed metadata could not be stored.
	StoreFailed()
	// StatusReported reports a status; now is the wall clock in ns since the Unix epoch.
	StatusReported(status Status, now int64)
}

type noObserver struct{}

func (noObserver) RefreshFinished(error, Usage)                      {}
func (noObserver) FetchFinished(error, Usage)                        {}
func (noObserver) AttemptFinished(string, mirrorpool.AttemptOutcome) {}
func (noObserver) StoreFailed()                                      {}
func (noObserver) StatusReported(Status, int64)                      {}
