package transport

import (
	"bytes"
	"net"
	"testing"
	"time"

	"laurelring/internal/gatewaytest"
	"laurelring/internal/protocol"
)

// receivedDatagram holds the arguments of one call of a peer socket's callback.
type receivedDatagram struct {
	from    int
	payload string
}

func runTestPeerSocket(t *testing.T, listen string, peers []string) (*PeerSocket, chan receivedDatagram) {
	t.Helper()
	socket, err := NewPeerSocket(PeerSocketConfig{Listen: listen, Peers: peers, Clock: testClock})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(socket.Close)
	received := make(chan receivedDatagram, 9)
	go socket.Run(func(from int, payload []byte) { received <- receivedDatagram{from, string(payload)} }, &RateLimitedLog{})
	return socket, received
}

func TestSendsDatagramsToOnePeerOrAll(t *testing.T) {
	peers := []string{gatewaytest.ReserveAddress(t), gatewaytest.ReserveAddress(t), gatewaytest.ReserveAddress(t)}
	var sockets []*PeerSocket
	var received []chan receivedDatagram
	for _, address := range peers {
		socket, datagrams := runTestPeerSocket(t, address, peers)
		sockets, received = append(sockets, socket), append(received, datagrams)
	}
	sockets[0].Send(2, []byte("one"), testClock())
	if got := await(t, received[2]); got != (receivedDatagram{0, "one"}) {
		t.Errorf("got %v, want the datagram to one peer", got)
	}
	sockets[1].Send(-1, []byte("all"), testClock())
	for i := range peers {
		if got := await(t, received[i]); got != (receivedDatagram{1, "all"}) {
			t.Errorf("gateway %d got %v, want the datagram to all gateways", i, got)
		}
	}
}

// A datagram is not sent if it is too long, if its gateway does not exist, or if it was decided before the process
// stalled, because the ages in it refer to that time. A received datagram is dropped if it is too long or from an unknown
// sender.
func TestDropsUnknownAndTooLongDatagrams(t *testing.T) {
	peers := []string{gatewaytest.ReserveAddress(t), gatewaytest.ReserveAddress(t)}
	socket, received := runTestPeerSocket(t, peers[0], peers)
	peer, err := net.ListenPacket("udp", peers[1])
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	unknownSender, err := net.Dial("udp", peers[0])
	if err != nil {
		t.Fatal(err)
	}
	defer unknownSender.Close()
	tooLong := bytes.Repeat([]byte("x"), protocol.MaxDatagramSize+1)
	unknownSender.Write([]byte("stranger"))
	socketAddress := unknownSender.RemoteAddr()
	peer.WriteTo(tooLong, socketAddress)
	peer.WriteTo([]byte("valid"), socketAddress)
	if got := await(t, received); got != (receivedDatagram{1, "valid"}) {
		t.Errorf("got %v, want only the valid datagram", got)
	}
	socket.Send(1, tooLong, testClock())
	socket.Send(2, []byte("nobody"), testClock())
	socket.Send(1, []byte("old"), testClock()-maxDecisionAge-time.Millisecond)
	socket.Send(1, []byte("valid"), testClock())
	buffer := make([]byte, 2*protocol.MaxDatagramSize)
	peer.SetReadDeadline(time.Now().Add(3 * time.Second))
	if n, _, err := peer.ReadFrom(buffer); err != nil || string(buffer[:n]) != "valid" {
		t.Errorf("got %q, %v, want only the valid datagram", buffer[:n], err)
	}
	if len(received) > 0 {
		t.Errorf("got a further datagram %v, want none", <-received)
	}
}
