package proxy

import (
	"time"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/bandwidth"
	"ploverhitch/internal/config"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/upstream"
)

// attemptResult is the result of one attempt at one server.
type attemptResult struct {
	server   *balancer.Endpoint
	response *upstream.Response
	err      error
}

// send starts an attempt at the server.
func (d *forwarder) send(server *balancer.Endpoint) {
	d.tried = append(d.tried, server)
	d.inFlight++
	d.sentCount++
	server.Begin()
	d.request.heldBody.retain()
	d.trackServer(d.request, server.ID)
	go d.runAttempt(server, d.canaryMark(server))
}

// responseBufferLimit is the length up to which a response is read completely before any of it reaches the client.
func (d *forwarder) responseBufferLimit() int64 {
	limit := int64(d.settings.Load().Tuning.BufferBytes)
	if !d.request.route.Repeatable() {
		limit = max(limit, min(int64(d.request.snapshot.routingTable.Limits.MaxBodyBytes), maxBufferedBytes))
	}
	if d.request.route.RouteType == config.Idempotent {
		limit = max(limit, maxRecordedBytes)
	}
	return limit
}

// runAttempt runs one attempt to its end, even if the client no longer waits.
func (d *forwarder) runAttempt(server *balancer.Endpoint, mark outlier.Label) {
	lateWait := repeatableLateWait
	if !d.request.route.Repeatable() {
		lateWait = unrepeatableLateWait
	}
	streamAfter := int64(0)
	if d.request.route.RouteType == config.Download && d.inbound.Paced() {
		// Buffering the whole download first would take a narrow link's time twice.
		streamAfter = bandwidth.MinBulkBytes
	}
	start := d.clock.Monotonic()
	response, err := server.Pool.Deliver(upstream.Delivery{
		Request: d.request.Request, ClientContext: d.abortContext(), Deadline: d.request.deadline, ResponseDeadline: d.request.deadline.Add(lateWait), ConnectTimeout: serverConnectTimeout, BufferLimit: d.responseBufferLimit(), StreamThreshold: streamAfter, Inbound: d.inbound, Outbound: d.outbound,
		Serving: func() bool { return d.acceptsRequests(server) }, MaySend: d.request.maySend,
	})
	now := d.clock.Monotonic()
	elapsed := time.Duration(now - start)
	expected := d.stats.mean()
	if !d.abortedByClient(err) {
		d.recordOutcome(server, mark, response, err, elapsed, expected)
		d.countLoad(server, response, err, elapsed)
	}
	outcome := d.serverOutcome(response, err)
	if outcome == balancer.Served {
		d.stats.record(elapsed, response.Length)
	}
	d.releaseSlot(server)
	server.End(outcome, elapsed, expected, now)
	d.request.heldBody.release()
	d.results <- attemptResult{server, response, err}
}
