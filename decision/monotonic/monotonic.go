// Package monotonic defines the type of times on a gateway's monotonic clock. The decision packages do not read a
// clock: the caller passes the current time, which never goes back, even when the wall clock does.
package monotonic

import "time"

// Time is the time elapsed since an arbitrary origin, which stays the same for the lifetime of a gateway. It is an
// alias, so that the difference of two times is a time.Duration without conversion.
type Time = time.Duration
