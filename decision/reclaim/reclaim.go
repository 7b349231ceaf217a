// Package reclaim decides which client connection is closed when another client needs its slot.
//
// A slot is what a connection needs to stay open: a descriptor, or a place beyond the descriptor limit. Clients that
// misbehave, and clients that connect and say nothing, make room first. A connection whose requests all got their
// responses makes room only while its kind holds most of the slots: its client may be about to send on it, and sends a
// request that crossed the close only once more.
package reclaim

import "time"

const (
	// crowdShare is the share of the slots at which connections of one kind are a crowd.
	crowdShare = 0.5
	// MinIdle is how long a connection within the descriptor limit must have been idle before it may be closed to make
	// room. It is also the time for its first request that a new connection has in a crowd of silent ones.
	MinIdle = 50 * time.Millisecond
	// FirstRequestTimeout is the time for its first request that a new connection has beside few silent ones.
	FirstRequestTimeout = 2500 * time.Millisecond
)

// Activity says what a connection is doing.
type Activity uint8

const (
	Busy    Activity = iota // it is being closed, or a request is pending or arriving
	Silent                  // it has sent nothing yet
	Stalled                 // a partly received request does not go on
	Resting                 // all its requests have their responses
)

// Connection is what the decision needs to know about one connection.
type Connection struct {
	Activity Activity
	// Idle is the time since the connection was established if it is silent, or since its last response if it rests.
	Idle time.Duration
	// Pending is the number of requests that wait for their responses.
	Pending int
	// Answered says that an earlier request of the connection was in order and got its response.
	Answered bool
	// Misbehaving says that the connection's latest request was malformed, did not fit in memory, or came behind so many
	// others that its pipeline is half full.
	Misbehaving bool
}

// IsUsual reports whether the connection is known to be used as usual clients do: its requests are in order, it sends
// one at a time, and one has been answered.
func (c Connection) IsUsual() bool {
	if c.Misbehaving || !c.Answered {
		return false
	}
	return c.Activity == Resting || c.Activity == Busy && c.Pending == 1
}

// GoesLast reports whether a request of the connection takes its turn after those of others: if it was sent behind another
// one that waits for its response, or if the connection is not known to be used as usual clients do, amid a crowd.
func (c Connection) GoesLast(crowded bool) bool {
	return c.Pending > 1 || crowded && !c.Answered
}

// Candidate is a connection that may be closed.
type Candidate struct {
	Index    int // in the list of connections
	Activity Activity
	// MinIdle is how long the connection must have been idle still when it is closed.
	MinIdle time.Duration
}

// Slots describes the slots that connections share.
type Slots struct {
	Count int
	// MinResting is how long a connection must have rested before it may be closed, unless it misbehaves.
	MinResting time.Duration
	// KeepUsual says that the resting connections of usual clients are kept while other connections hold half of the
	// slots or more, because these make room soon.
	KeepUsual bool
	// FirstRequestDelay is what clients have lately taken for a first request, 0 if unknown.
	FirstRequestDelay time.Duration
}

// Candidates returns the connections of which one may be closed to make room, the first choice first: misbehaving ones
// that rest, silent ones whose time for a first request is over, those with a stalled request, and those of usual
// clients that rest. Connections are given longest idle first.
func Candidates(connections []Connection, slots Slots) []Candidate {
	var misbehaving, silent, stalled, usual []Candidate
	timeout := slots.firstRequestTime(countSilent(connections))
	for index, connection := range connections {
		switch {
		case connection.Activity == Resting && connection.Misbehaving:
			misbehaving = append(misbehaving, Candidate{index, Resting, 0})
		case connection.Activity == Silent && connection.Idle >= timeout:
			silent = append(silent, Candidate{index, Silent, timeout})
		case connection.Activity == Stalled:
			stalled = append(stalled, Candidate{index, Stalled, 0})
		case connection.Activity == Resting && connection.Idle >= slots.MinResting:
			usual = append(usual, Candidate{index, Resting, slots.MinResting})
		}
	}
	candidates := append(append(misbehaving, silent...), stalled...)
	if slots.KeepUsual && IsCrowded(connections, slots.Count) {
		return candidates
	}
	return append(candidates, usual...)
}

// ExcessResting returns the indices of the connections beyond the first limit of those that rest, longest idle first.
// Misbehaving ones come before all others.
func ExcessResting(connections []Connection, limit int) []int {
	var misbehaving, usual []int
	for index, connection := range connections {
		switch {
		case connection.Activity != Resting:
		case connection.Misbehaving:
			misbehaving = append(misbehaving, index)
		default:
			usual = append(usual, index)
		}
	}
	resting := append(misbehaving, usual...)
	return resting[:max(0, len(resting)-limit)]
}

// firstRequestTime returns how long a new connection is kept without a first request when another needs its slot, given
// how many have been silent for MinIdle. Its client may be slow, and may be sending a request again whose first
// connection was closed; it would not send that a third time. So the time is FirstRequestTimeout beside few silent
// connections, and becomes shorter in proportion as they become a crowd, but not shorter than clients lately took.
func (s Slots) firstRequestTime(silent int) time.Duration {
	crowd := crowdShare * float64(s.Count)
	remaining := 1 - float64(silent)/crowd
	return max(MinIdle, s.FirstRequestDelay, time.Duration(remaining*float64(FirstRequestTimeout)))
}

// IsCrowded reports whether connections other than those of usual clients hold half of the slots or more.
func IsCrowded(connections []Connection, slots int) bool {
	return float64(countUnusual(connections)) >= crowdShare*float64(slots)
}

// countSilent returns how many connections have been silent for MinIdle.
func countSilent(connections []Connection) (count int) {
	for _, connection := range connections {
		if connection.Activity == Silent && connection.Idle >= MinIdle {
			count++
		}
	}
	return count
}

// countUnusual returns how many connections are not used as usual clients do.
func countUnusual(connections []Connection) (count int) {
	for _, connection := range connections {
		if !connection.IsUsual() {
			count++
		}
	}
	return count
}
