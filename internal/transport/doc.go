// Package transport contains the code that reads and writes sockets: the server for clients, the pool of connections to
// endpoints, the clients of discovery and of the rollout controller, and the socket between gateways. It transfers
// bytes between the sockets and the state machines of package protocol, and makes no decisions on requests.
package transport
