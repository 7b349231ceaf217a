package simulatoradapter

import (
	"fmt"

	"laurelring/decision"
	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// outcome reads how something ended; a word not known is taken for one that proves nothing.
func outcome(code uint8) decision.Outcome {
	switch code {
	case 0:
		return decision.OutcomeSuccess
	case 8:
		return decision.OutcomeRejected
	case 4:
		return decision.OutcomeTimeout
	case 14:
		return decision.OutcomeConnectFailed
	case 10:
		return decision.OutcomeConnectionLost
	case 1:
		return decision.OutcomeCanceled
	case 9:
		return decision.OutcomeNotSent
	}
	return decision.OutcomeError
}

// batch tells every event of a batch to the gateway it belongs to.
func (s *server) batch(c *cursor, now monotonic.Time) error {
	s.turn++
	s.order = s.order[:0]
	var h *host
	var self uint16
	turn := func() {
		if h != nil && h.turn != s.turn {
			h.turn = s.turn
			s.order = append(s.order, self)
		}
	}
	for c.at < len(c.data) && c.err == nil {
		code := c.data[c.at]
		c.begin(fmt.Sprint(code))
		c.at++
		switch code {
		case 15: // SWITCH_TO
			self = c.u16()
			h = s.hosts[self]
			turn()
		case 14: // DEFINE_LIST
			s.define(c)
		case 1: // PROVISION
			seed := c.u64()
			text := c.take(uint64(c.u32()))
			if c.err != nil {
				break
			}
			fresh, err := open(seed, text)
			if err != nil {
				c.fault(err.Error())
				break
			}
			if h != nil && h.turn == s.turn {
				fresh.turn = s.turn
			}
			h = fresh
			s.hosts[self] = h
			turn()
		case 10: // POWER_OFF
			delete(s.hosts, self)
			h = nil
			for i, one := range s.order {
				if one == self {
					s.order = append(s.order[:i], s.order[i+1:]...)
					break
				}
			}
		default:
			s.event(c, code, h, now)
		}
	}
	return c.err
}

func (s *server) define(c *cursor) {
	number, n := c.u32(), uint64(c.u32())
	if n*26 > uint64(len(c.data)-c.at) {
		c.fault(fmt.Sprintf("%d list entries run past the frame", n))
		return
	}
	lines := make([]entry, n)
	for i := range lines {
		e := &lines[i]
		e.id, e.zone, e.model, e.cell = c.u32(), c.u8(), c.u16(), c.u16()
		e.build, e.state, e.size, e.startedAt = c.f32(), c.u8(), c.f32(), c.ns()
	}
	s.lists[number] = lines
}

// event reads one record whole, then tells it, so that a truncated one changes nothing.
func (s *server) event(c *cursor, code uint8, h *host, now monotonic.Time) {
	switch code {
	case 2: // DIRECTORY_UPDATE
		how, _, number := c.u8(), c.u32(), c.u32()
		if c.err == nil && h != nil {
			h.listed(how, s.lists[number], now)
		}
	case 3: // INBOUND
		id, owner, op, work := c.u32(), c.u32(), c.u8(), c.ns()
		opts, left, key := c.u16(), c.ns(), c.u64()
		if c.err != nil || h == nil {
			return
		}
		if int(op) >= len(h.ops) {
			c.fault(fmt.Sprintf("op type %d is not in the settings", op))
			return
		}
		if opts&1 == 0 {
			work = 0
		}
		var tenant *decision.Tenant
		if int(owner) < len(h.tenants) {
			tenant = h.tenants[owner]
		}
		cmd := h.gateway.Admit(decision.Arrival{OpType: h.ops[op], Tenant: tenant, Key: key, Work: work, Remaining: left}, now)
		it := &held{id: id, cmd: cmd}
		h.commands[id], h.inHand[cmd] = it, it
		h.obey(it, h.gateway.Route(cmd, now))
	case 4: // FLOWING
		id, hop := c.u32(), c.u8()
		c.u32()
		c.ns()
		if dl := h.delivery(id, hop); c.err == nil && dl != nil {
			h.gateway.ResponseStarted(dl, now)
		}
	case 5: // ANSWER
		id, hop := c.u32(), c.u8()
		c.u32()
		how, took, settled, load := c.u8(), c.ns(), c.u8(), c.gauge()
		dl := h.delivery(id, hop)
		if c.err != nil || dl == nil || dl.Done() {
			return
		}
		h.load(dl.Endpoint, load, now)
		it := h.commands[id]
		h.obey(it, h.gateway.FinishAttempt(dl, decision.AttemptResult{Outcome: outcome(how), Duration: took, Settled: settled != 0}, now))
	case 6: // CLIENT_GONE
		id := c.u32()
		if c.err == nil && h != nil && h.commands[id] != nil {
			h.gateway.ClientGone(h.commands[id].cmd)
			h.tidy(h.commands[id])
		}
	case 7: // DEADLINE_HIT
		handle := c.u64()
		if c.err == nil && h != nil && handle == h.handle {
			h.armed = 0
		}
	case 8: // PONG
		id := c.u32()
		c.u8()
		c.ns()
		if load := c.gauge(); c.err == nil && h != nil && h.instances[id] != nil {
			h.load(h.instances[id], load, now)
		}
	case 9: // HEARD
		from := c.u32()
		text := c.take(uint64(c.u16()))
		if c.err == nil && h != nil {
			if t := protocol.DecodeEvidenceReport(text, int(from), h.named); t != nil {
				h.gateway.EvidenceReceived(t, now)
			} else if f := protocol.DecodeVoterReport(text, int(from), h.named); f != nil {
				h.gateway.VoterReportReceived(f, now)
			}
		}
	case 11: // ROLLOUT_STATE
		build, wave, course, sense, how := c.u16(), c.u8(), c.u8(), c.u8(), c.u8()
		most, since := c.f32(), c.ns()
		if c.err != nil || h == nil {
			return
		}
		if sense == 1 {
			h.gateway.VoteAnswered(outcome(how), now)
		}
		if how == 0 {
			h.gateway.RolloutChanged(decision.RolloutStatus{
				Build:       int(build),
				Stage:       int(wave),
				Phase:       decision.RolloutPhase(min(course, 3)),
				ExposureCap: most,
				Age:         since,
			}, now)
		}
	case 12: // PERIOD_SUMS
		c.take(2 + 1 + 4 + 4 + 8 + 8) // the module judges by what gateways see themselves
	case 13: // REPORTED_WRONG
		behind, op, id := c.ns(), c.u8(), c.u32()
		if c.err == nil && h != nil && int(op) < len(h.ops) && h.instances[id] != nil {
			h.gateway.WrongAnswerReported(h.instances[id], h.ops[op], now-behind, now)
		}
	default:
		c.at--
		c.fault(fmt.Sprintf("unknown code %d", code))
	}
}

func (h *host) delivery(id uint32, hop uint8) *decision.Attempt {
	if h == nil || h.commands[id] == nil {
		return nil
	}
	return h.commands[id].cmd.Attempt(int(hop))
}

func (h *host) load(to *decision.Endpoint, values []float64, now monotonic.Time) {
	if h.busyAt >= 0 && len(values) > h.busyAt {
		h.gateway.LoadReported(to, values[h.busyAt], now)
	}
}

// listed tells the changes, or the whole list with what it no longer names.
func (h *host) listed(how uint8, lines []entry, now monotonic.Time) {
	if how == 1 {
		h.gateway.DiscoveryFailed(now)
		return
	}
	named := map[*decision.Endpoint]bool{}
	for _, e := range lines {
		it := h.instances[e.id]
		if it == nil {
			it = &decision.Endpoint{}
			h.instances[e.id], h.ids[it] = it, e.id
		}
		named[it] = true
		h.gateway.UpdateEndpoint(it, decision.EndpointStatus{
			Ready:       e.state == 1,
			Present:     e.state != 0,
			Build:       int(e.build),
			Zone:        int(e.zone),
			MachineType: int(e.model),
			Cell:        int(e.cell),
			Size:        e.size,
			StartedAt:   e.startedAt,
		}, now)
	}
	if how != 0 {
		h.gateway.RetainEndpoints(named, now)
	}
	h.gateway.CommitEndpointList(how == 3, now)
}
