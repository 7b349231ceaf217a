// Package monotonic names moments on a gateway's monotonic clock. The packages that decide read no clock: each call is
// given the present moment, which never goes back, whatever happens to the wall clock.
package monotonic

import "time"

// Time is a moment, as the time since an origin that is arbitrary but the same for one gateway's whole life. It is an
// alias, so that the difference of two moments is a time.Duration without conversion.
type Time = time.Duration
