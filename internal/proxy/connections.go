package proxy

import (
	"ploverhitch/internal/balancer"
	"ploverhitch/internal/rpc"
)

// connection returns the connection to a control node, created on first use.
func (p *proxy) connection(address string) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.connections[address]
	if conn == nil {
		conn = rpc.NewClient(address, controlConnectTimeout, controlSilenceTimeout)
		conn.OnReject = func(err *rpc.RejectedError) {
			p.log("error", "a control node rejected a call", "node", address, "count", p.rejectedCalls.Add(1), "error", err)
		}
		conn.OnReconnect, conn.OnSend = func() { p.resendRecent(conn) }, p.outbound.CountShort
		p.connections[address] = conn
	}
	return conn
}

// retryBudget returns the service's retry budget, created on first use.
func (p *proxy) retryBudget(service string) *balancer.RetryBudget {
	p.mu.Lock()
	defer p.mu.Unlock()
	budget := p.retryBudgets[service]
	if budget == nil {
		bounds := p.settings.Load().Platform.Bounds
		floor := func() float64 { return balancer.SlackPerProxy(int(bounds.RetrySlack), p.snapshot.Load().proxyCount) }
		budget = balancer.NewRetryBudget(bounds.RetryBudgetRatio, bounds.RetryWindow.Std(), floor, p.clock)
		p.retryBudgets[service] = budget
	}
	return budget
}
