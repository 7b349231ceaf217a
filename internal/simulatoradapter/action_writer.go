package simulatoradapter

import (
	"encoding/binary"
	"math"
	"time"

	"laurelring/decision"
)

// actionWriter collects the actions of a reply, or of one gateway in it.
type actionWriter struct {
	data  []byte
	count uint32 // of records
}

func (w *actionWriter) record(code uint8) {
	w.data = append(w.data, code)
	w.count++
}

func (w *actionWriter) uint8(v uint8)   { w.data = append(w.data, v) }
func (w *actionWriter) uint16(v uint16) { w.data = binary.LittleEndian.AppendUint16(w.data, v) }
func (w *actionWriter) uint32(v uint32) { w.data = binary.LittleEndian.AppendUint32(w.data, v) }
func (w *actionWriter) uint64(v uint64) { w.data = binary.LittleEndian.AppendUint64(w.data, v) }

// duration writes milliseconds.
func (w *actionWriter) duration(v time.Duration) { w.uint64(math.Float64bits(float64(v) / 1e6)) }

// reset forgets the actions and keeps the memory.
func (w *actionWriter) reset() { *w = actionWriter{data: w.data[:0]} }

// append adds the actions of a gateway.
func (w *actionWriter) append(gateway uint16, actions *actionWriter) {
	w.record(actionGatewaySelected)
	w.uint16(gateway)
	w.data = append(w.data, actions.data...)
	w.count += actions.count
}

func (w *actionWriter) startAttempt(request, endpoint uint32, timeout time.Duration) {
	w.record(actionStartAttempt)
	w.uint32(request)
	w.uint32(endpoint)
	w.duration(timeout)
}

func (w *actionWriter) cancelAttempt(request uint32, attempt int) {
	w.record(actionCancelAttempt)
	w.uint32(request)
	w.uint8(uint8(attempt))
}

func (w *actionWriter) reject(request uint32, retryAfter time.Duration) {
	w.record(actionReject)
	w.uint32(request)
	w.duration(retryAfter)
}

func (w *actionWriter) fail(request uint32) {
	w.record(actionFail)
	w.uint32(request)
}

func (w *actionWriter) pollDiscovery() {
	w.record(actionPollDiscovery)
	w.uint8(1) // on
}

func (w *actionWriter) vote(vote decision.Vote) {
	w.record(actionVote)
	w.uint16(uint16(vote.Build))
	w.uint8(uint8(vote.Stage))
	w.uint8(uint8(vote.Verdict))
}

func (w *actionWriter) setTimer(wait time.Duration, handle uint64) {
	w.record(actionSetTimer)
	w.duration(wait)
	w.uint64(handle)
}

// sendToPeer sends a datagram to the gateway with a number, or to allPeers.
func (w *actionWriter) sendToPeer(to uint16, datagram []byte) {
	w.record(actionSendToPeer)
	w.uint16(to)
	w.uint16(uint16(len(datagram)))
	w.data = append(w.data, datagram...)
}
