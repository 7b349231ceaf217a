package transport

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// maxOutgoingDatagrams wait to be sent; a further one is dropped, as any datagram may be lost.
const maxOutgoingDatagrams = 1024

// PeerSocket carries datagrams between gateways.
type PeerSocket struct {
	conn      *net.UDPConn
	peers     []netip.AddrPort // by the gateways' numbers
	broadcast netip.AddrPort   // reaches all of them; not valid if there is none
	clock     func() monotonic.Time
	outgoing  chan datagram
}

type datagram struct {
	to        netip.AddrPort
	payload   []byte
	decidedAt monotonic.Time
}

// PeerSocketConfig is what a PeerSocket needs. Addresses are an IP address and a port. All fields but Broadcast are
// required.
type PeerSocketConfig struct {
	Listen    string                // where the socket is opened
	Peers     []string              // in the order of the gateways' numbers
	Broadcast string                // reaches all of them; empty if there is none
	Clock     func() monotonic.Time // the one by which datagrams are decided
}

// NewPeerSocket opens a socket.
func NewPeerSocket(config PeerSocketConfig) (*PeerSocket, error) {
	if config.Clock == nil {
		return nil, errors.New("peer socket needs a clock")
	}
	p := &PeerSocket{clock: config.Clock, outgoing: make(chan datagram, maxOutgoingDatagrams)}
	for _, text := range config.Peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		p.peers = append(p.peers, address)
	}
	if config.Broadcast != "" {
		var err error
		if p.broadcast, err = netip.ParseAddrPort(config.Broadcast); err != nil {
			return nil, err
		}
	}
	address, err := netip.ParseAddrPort(config.Listen)
	if err != nil {
		return nil, err
	}
	p.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	return p, err
}

// Send sends a datagram to the gateway of a number, or to all where the number is below 0. It does not wait. A datagram is
// dropped that is too long, for a number of no gateway, or not written soon after it was decided: what it says, ages among
// it, is of that moment.
func (p *PeerSocket) Send(rank int, payload []byte, decidedAt monotonic.Time) {
	if len(payload) > protocol.MaxDatagramSize || rank >= len(p.peers) {
		return
	}
	receivers := p.peers
	if rank >= 0 {
		receivers = p.peers[rank : rank+1]
	} else if p.broadcast.IsValid() {
		receivers = []netip.AddrPort{p.broadcast}
	}
	for _, address := range receivers {
		select {
		case p.outgoing <- datagram{address, payload, decidedAt}:
		default:
		}
	}
}

// Run sends the datagrams and calls onDatagram, on its own goroutine, for each that arrives from a gateway, until
// Close.
func (p *PeerSocket) Run(onDatagram func(from int, payload []byte), log *RateLimitedLog) {
	done := make(chan struct{})
	defer close(done)
	go p.sendOutgoing(done)
	ranks := map[netip.AddrPort]int{}
	for i, address := range p.peers {
		ranks[address] = i
	}
	buffer := make([]byte, protocol.MaxDatagramSize+1) // one byte more, to see that a datagram is too long
	for {
		n, sender, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Warn("peer datagram read failed", "error", err)
			time.Sleep(shortageRetryDelay) // the machine may be short of some resource for a while
			continue
		}
		rank, known := ranks[netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())]
		if !known || n > protocol.MaxDatagramSize {
			log.Warn("peer datagram rejected", "peer", sender)
			continue
		}
		onDatagram(rank, append([]byte(nil), buffer[:n]...))
	}
}

func (p *PeerSocket) sendOutgoing(done <-chan struct{}) {
	for {
		select {
		case d := <-p.outgoing:
			if p.clock()-d.decidedAt <= maxDecisionAge {
				p.conn.WriteToUDPAddrPort(d.payload, d.to) // a failed write is a lost datagram
			}
		case <-done:
			return
		}
	}
}

// Close closes the socket and ends Run.
func (p *PeerSocket) Close() { p.conn.Close() }
