package transport

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"laurelring/internal/protocol"
)

// PeerSocket carries datagrams between gateways.
type PeerSocket struct {
	conn      *net.UDPConn
	peers     []netip.AddrPort
	broadcast netip.AddrPort
	outgoing  chan datagram
}

type datagram struct {
	to      netip.AddrPort
	payload []byte
}

const maxOutgoingDatagrams = 1024 // datagrams that wait to be sent; a further one is lost, as any may be

// NewPeerSocket listens for datagrams at an address. The gateways' addresses stand in the order of their numbers;
// the one of all of them may be empty.
func NewPeerSocket(listen string, each []string, all string) (*PeerSocket, error) {
	p := &PeerSocket{outgoing: make(chan datagram, maxOutgoingDatagrams)}
	for _, one := range each {
		at, err := netip.ParseAddrPort(one)
		if err != nil {
			return nil, err
		}
		p.peers = append(p.peers, at)
	}
	if all != "" {
		var err error
		if p.broadcast, err = netip.ParseAddrPort(all); err != nil {
			return nil, err
		}
	}
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, err
	}
	p.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	return p, err
}

// Send sends a datagram to one gateway, or to all where its number is below 0. It does not wait.
func (p *PeerSocket) Send(to int, text []byte) {
	if len(text) > protocol.MaxDatagramSize || to >= len(p.peers) {
		return
	}
	some := p.peers
	if to >= 0 {
		some = p.peers[to : to+1]
	} else if p.broadcast.IsValid() {
		some = []netip.AddrPort{p.broadcast}
	}
	for _, at := range some {
		select {
		case p.outgoing <- datagram{at, text}:
		default:
		}
	}
}

// Run sends what is posted and tells heard of every datagram of a known sender, until Close.
func (p *PeerSocket) Run(heard func(from int, text []byte), complaints *RateLimitedLog) {
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case one := <-p.outgoing:
				p.conn.WriteToUDPAddrPort(one.payload, one.to) // what is lost is lost
			case <-done:
				return
			}
		}
	}()
	numbers := map[netip.AddrPort]int{}
	for i, at := range p.peers {
		numbers[at] = i
	}
	b := make([]byte, protocol.MaxDatagramSize+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			complaints.Warn("a datagram could not be read", "cause", err)
			time.Sleep(shortageRetryDelay) // the machine may be short of something for a while
			continue
		}
		number, ok := numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok || n > protocol.MaxDatagramSize {
			complaints.Warn("a datagram of a stranger, or too long", "from", from)
			continue
		}
		heard(number, append([]byte(nil), b[:n]...))
	}
}

// Close ends Run.
func (p *PeerSocket) Close() { p.conn.Close() }
