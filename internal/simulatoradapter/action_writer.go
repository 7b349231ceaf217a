package simulatoradapter

import (
	"encoding/binary"
	"math"
	"time"

	"laurelring/decision"
)

// actionWriter encodes the actions of a whole reply, or of one gateway in it.
type actionWriter struct {
	data  []byte
	count uint32 // number of records in data
}

func (w *actionWriter) beginRecord(code uint8) {
	w.data = append(w.data, code)
	w.count++
}

func (w *actionWriter) uint8(v uint8)   { w.data = append(w.data, v) }
func (w *actionWriter) uint16(v uint16) { w.data = binary.LittleEndian.AppendUint16(w.data, v) }
func (w *actionWriter) uint32(v uint32) { w.data = binary.LittleEndian.AppendUint32(w.data, v) }
func (w *actionWriter) uint64(v uint64) { w.data = binary.LittleEndian.AppendUint64(w.data, v) }

// duration appends a duration as a 64-bit floating-point number of milliseconds.
func (w *actionWriter) duration(v time.Duration) { w.uint64(math.Float64bits(float64(v) / 1e6)) }

// reset removes all actions and keeps the allocated buffer.
func (w *actionWriter) reset() { *w = actionWriter{data: w.data[:0]} }

// append appends the number of a gateway and then its actions.
func (w *actionWriter) append(gateway uint16, actions *actionWriter) {
	w.beginRecord(actionGatewaySelected)
	w.uint16(gateway)
	w.data = append(w.data, actions.data...)
	w.count += actions.count
}

func (w *actionWriter) startAttempt(request, endpoint uint32, timeout time.Duration) {
	w.beginRecord(actionStartAttempt)
	w.uint32(request)
	w.uint32(endpoint)
	w.duration(timeout)
}

func (w *actionWriter) cancelAttempt(request uint32, attempt int) {
	w.beginRecord(actionCancelAttempt)
	w.uint32(request)
	w.uint8(uint8(attempt))
}

func (w *actionWriter) reject(request uint32, retryAfter time.Duration) {
	w.beginRecord(actionReject)
	w.uint32(request)
	w.duration(retryAfter)
}

func (w *actionWriter) fail(request uint32) {
	w.beginRecord(actionFail)
	w.uint32(request)
}

func (w *actionWriter) pollDiscovery() {
	w.beginRecord(actionPollDiscovery)
	w.uint8(1) // on
}

func (w *actionWriter) vote(vote decision.Vote) {
	w.beginRecord(actionVote)
	w.uint16(uint16(vote.Build))
	w.uint8(uint8(vote.Stage))
	w.uint8(uint8(vote.Verdict))
}

func (w *actionWriter) setTimer(wait time.Duration, handle uint64) {
	w.beginRecord(actionSetTimer)
	w.duration(wait)
	w.uint64(handle)
}

// sendToPeer appends the sending of a datagram to one gateway, given by its number, or to allPeers.
func (w *actionWriter) sendToPeer(to uint16, datagram []byte) {
	w.beginRecord(actionSendToPeer)
	w.uint16(to)
	w.uint16(uint16(len(datagram)))
	w.data = append(w.data, datagram...)
}
