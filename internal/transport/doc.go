// Package transport holds the drivers that read and write sockets: the server for clients, the pool of connections to
// endpoints, the clients of discovery and of the rollout controller, and the socket between gateways. They carry bytes
// between the sockets and the state machines of package protocol, and make no decisions on requests.
package transport
