package transport

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"laurelring/internal/protocol"
)

// Peers carries datagrams between gateways.
type Peers struct {
	conn  *net.UDPConn
	each  []netip.AddrPort
	all   netip.AddrPort
	posts chan post
}

type post struct {
	to   netip.AddrPort
	text []byte
}

const postsMost = 1024 // datagrams that wait to be sent; a further one is lost, as any may be

// NewPeers listens for datagrams at an address. The gateways' addresses stand in the order of their numbers;
// the one of all of them may be empty.
func NewPeers(listen string, each []string, all string) (*Peers, error) {
	p := &Peers{posts: make(chan post, postsMost)}
	for _, one := range each {
		at, err := netip.ParseAddrPort(one)
		if err != nil {
			return nil, err
		}
		p.each = append(p.each, at)
	}
	if all != "" {
		var err error
		if p.all, err = netip.ParseAddrPort(all); err != nil {
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

// Post sends a datagram to one gateway, or to all where its number is below 0. It does not wait.
func (p *Peers) Post(to int, text []byte) {
	if len(text) > protocol.MaxDatagramSize || to >= len(p.each) {
		return
	}
	some := p.each
	if to >= 0 {
		some = p.each[to : to+1]
	} else if p.all.IsValid() {
		some = []netip.AddrPort{p.all}
	}
	for _, at := range some {
		select {
		case p.posts <- post{at, text}:
		default:
		}
	}
}

// Run sends what is posted and tells heard of every datagram of a known sender, until Close.
func (p *Peers) Run(heard func(from int, text []byte), complaints *Complaints) {
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case one := <-p.posts:
				p.conn.WriteToUDPAddrPort(one.text, one.to) // what is lost is lost
			case <-done:
				return
			}
		}
	}()
	numbers := map[netip.AddrPort]int{}
	for i, at := range p.each {
		numbers[at] = i
	}
	b := make([]byte, protocol.MaxDatagramSize+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			complaints.Complain("a datagram could not be read", "cause", err)
			time.Sleep(acceptAgain) // the machine may be short of something for a while
			continue
		}
		number, ok := numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok || n > protocol.MaxDatagramSize {
			complaints.Complain("a datagram of a stranger, or too long", "from", from)
			continue
		}
		heard(number, append([]byte(nil), b[:n]...))
	}
}

// Close ends Run.
func (p *Peers) Close() { p.conn.Close() }
