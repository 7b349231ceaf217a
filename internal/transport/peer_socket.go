package transport

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"laurelring/decision/monotonic"
	"laurelring/internal/protocol"
)

// maxOutgoingDatagrams is the maximum number of datagrams that wait to be sent. Any further datagram is dropped, as
// datagrams may be lost anyway.
const maxOutgoingDatagrams = 1024

// PeerSocket sends and receives datagrams between gateways.
type PeerSocket struct {
	conn      *net.UDPConn
	peers     []netip.AddrPort // indexed by gateway rank
	broadcast netip.AddrPort   // reaches all gateways; not valid if there is no broadcast address
	clock     func() monotonic.Time
	outgoing  chan datagram
}

type datagram struct {
	to        netip.AddrPort
	payload   []byte
	decidedAt monotonic.Time
}

// PeerSocketConfig configures a PeerSocket. Each address consists of an IP address and a port. All fields but Broadcast
// are required.
type PeerSocketConfig struct {
	Listen    string                // local address of the socket
	Peers     []string              // addresses of all gateways, by rank
	Broadcast string                // reaches all gateways; empty if there is no broadcast address
	Clock     func() monotonic.Time // the clock by which datagrams are decided
}

// NewPeerSocket opens a UDP socket. It returns an error if the clock is missing, an address is invalid, or the socket
// cannot be opened.
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

// Send queues a datagram to the gateway of the given rank, or to all gateways if the rank is negative. It does not
// block. A datagram is dropped if it is too long, if no gateway has the rank, if the queue is full, or if it is not
// written within maxDecisionAge of decidedAt: its contents, such as ages, describe the state at that time.
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

// Run sends the queued datagrams and calls onDatagram for each datagram that arrives from a gateway, on the goroutine
// that called Run. It returns after Close.
func (p *PeerSocket) Run(onDatagram func(from int, payload []byte), log *RateLimitedLog) {
	done := make(chan struct{})
	defer close(done)
	go p.sendOutgoing(done)
	ranks := map[netip.AddrPort]int{}
	for i, address := range p.peers {
		ranks[address] = i
	}
	buffer := make([]byte, protocol.MaxDatagramSize+1) // one extra byte to detect datagrams that are too long
	for {
		n, sender, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Warn("peer datagram read failed", "error", err)
			time.Sleep(shortageRetryDelay) // the machine may be temporarily short of a resource
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
