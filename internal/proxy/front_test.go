package proxy

import (
	"fmt"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/standin"
)

// newTestServer starts a server that ends with the spec.
func newTestServer(id string) *standin.Server {
	GinkgoHelper()
	server, err := standin.NewServer(id, "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server
}

// newTestServers starts three servers that end with the spec.
func newTestServers() (servers []*standin.Server) {
	GinkgoHelper()
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		servers = append(servers, newTestServer(id))
	}
	return servers
}

// newTestFront returns a proxy that serves clients at the address, with an unsafe route for h.example and /a/ whose
// service has one server.
func newTestFront(server *standin.Server, timeout, limits string) (p *proxy, address string) {
	GinkgoHelper()
	p, _ = newTestRequest(config.Safe)
	items := config.ItemSet{}
	items.Merge([]config.Item{
		{ID: config.ID{Class: config.ServiceItem, Name: "s"}, Version: 1, Body: []byte(`{"Name":"s","Revision":"r1"}`)},
		{ID: config.ID{Class: config.LimitsItem}, Version: 1, Body: []byte(limits)},
		{ID: config.ID{Class: config.RouteItem, Name: "r"}, Version: 1, Host: "h.example", Body: fmt.Appendf(nil,
			`{"Name":"r","PathPrefix":"/a/","RouteType":"unsafe","Timeout":%q,"Service":"s","Revision":"r1"}`, timeout)},
	})
	fleet := feed.Fleet{Servers: []feed.Server{{ID: server.ID, Service: "s", Address: server.Address(), Capacity: 4, IsReady: true}}}
	p.snapshot.Store(&snapshot{routingTable: items.Compile(), balancer: balancer.NewServerSet(balancer.Locality{Node: "n"}).WithFleet(fleet), proxyCount: 1, complete: true})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	front := p.newClientServer()
	go func() { _ = front.Serve(listener) }()
	DeferCleanup(front.Close)
	return p, listener.Addr().String()
}
