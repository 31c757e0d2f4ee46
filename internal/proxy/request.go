package proxy

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/balancer"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/mirror"
	"ploverhitch/internal/upstream"
)

// clientRequest is one client's request with the state that the proxy keeps for it.
type clientRequest struct {
	*upstream.Request
	route     *config.Route
	service   string
	snapshot  *snapshot
	arrivedAt time.Time
	// deadline is the earlier of the client's deadline and the route's timeout.
	deadline time.Time
	key      idempotency.Key
	// maySend, if set, is checked immediately before the first byte is sent.
	maySend func() bool
	// ringPosition places a keyed operation or a download on the service's hash ring.
	ringPosition    balancer.RingPosition
	hasRingPosition bool
	// canaryEligible is set if the request may go to the canary version.
	canaryEligible bool
	// releaseLink returns the link capacity that a download reserved.
	releaseLink func()
	// heldBody is the memory that the body occupies.
	heldBody *heldBody
	// replayed is set if the response comes from a stored record.
	replayed bool
	// stagedChange is set if a staged change affects the request.
	stagedChange *stagedMark
	// clientAddress has no port; duration is how long the response took.
	clientAddress string
	duration      time.Duration
}

// setRingPosition places keyed operations by their key and downloads by their path.
// Other requests have no position and go to whichever server is best at the time.
func (i *clientRequest) setRingPosition() {
	switch i.route.RouteType {
	case config.Idempotent:
		i.ringPosition, i.hasRingPosition = balancer.RingPositionOf(i.route.Host, i.Header.Get(upstream.HeaderOperationKey)), true
	case config.Download:
		i.ringPosition, i.hasRingPosition = balancer.RingPositionOf(i.route.Host, i.Target), true
	}
}

// newIncarnation returns a random identifier for this run of the process.
func newIncarnation() string {
	var raw [6]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// handle serves one client request.
func (p *proxy) handle(w http.ResponseWriter, r *http.Request) {
	p.activeRequests.Add(1)
	defer p.activeRequests.Add(-1)
	if p.draining.Load() || len(r.TransferEncoding) > 0 {
		// Nothing more is read from the connection after a chunked body, so that bytes
		// smuggled behind it are never parsed as a request.
		w.Header().Set("Connection", "close")
	}
	req, err := p.readRequest(w, r)
	if err != nil {
		p.writeError(w, r, err)
		return
	}
	defer req.heldBody.release()
	req.releaseLink = func() {}
	result, err := p.serve(r.Context(), req)
	req.duration = time.Since(req.arrivedAt)
	defer func() { req.releaseLink() }()
	if err != nil {
		p.recordStagedOutcome(req, nil, err, false)
		p.writeError(w, r, err)
		p.offerMirror(req, nil, mayHaveExecuted(err))
		return
	}
	response := result.(*upstream.Response)
	upstreamFailed, err := p.writeResponse(w, response, req.deadline)
	p.recordStagedOutcome(req, response, nil, upstreamFailed)
	if upstreamFailed {
		response = nil
	}
	p.offerMirror(req, response, upstreamFailed)
	if err != nil {
		// A response that fails after its start must not look complete, so the
		// client's connection is aborted too.
		panic(http.ErrAbortHandler)
	}
}

// readRequest validates the request, finds its route and reads the whole body.
func (p *proxy) readRequest(w http.ResponseWriter, r *http.Request) (*clientRequest, error) {
	req := &clientRequest{arrivedAt: time.Now(), snapshot: p.snapshot.Load(), clientAddress: clientAddress(r)}
	limits := req.snapshot.routingTable.Limits
	target := originForm(r)
	path, _, _ := strings.Cut(target, "?")
	attemptIDs := r.Header.Values(upstream.HeaderAttempt)
	switch {
	case !strings.HasPrefix(path, "/"):
		return nil, apierror.New(apierror.MalformedRequest, "request target is not a path")
	case len(attemptIDs) != 1 || attemptIDs[0] == "":
		return nil, apierror.New(apierror.MalformedRequest, "exactly one attempt ID is required")
	case limits.MaxHeaderBytes > 0 && headerSize(r) > int(limits.MaxHeaderBytes):
		return nil, apierror.New(apierror.HeaderTooLarge, "")
	case len(r.Header.Values(mirror.ShadowHeader)) > 0:
		return nil, apierror.New(apierror.ShadowForbidden, "")
	case !req.snapshot.complete:
		return nil, apierror.New(apierror.NoServer, "the configuration has not been received yet")
	}
	req.snapshot.findRoute(req, r.Host, path, r.Header.Get(upstream.HeaderOperationKey) != "", p.clock.Monotonic())
	if req.route == nil {
		return nil, apierror.New(apierror.NoRoute, "")
	}
	req.deadline = req.arrivedAt.Add(req.route.Timeout.Std())
	if deadlineText := r.Header.Get(upstream.HeaderDeadline); deadlineText != "" {
		clientTime, ok := clock.ParseAmount(deadlineText, time.Millisecond)
		if !ok {
			return nil, apierror.New(apierror.MalformedRequest, "the deadline is not a non-negative number of milliseconds")
		}
		if clientDeadline := req.arrivedAt.Add(clientTime.Std()); clientDeadline.Before(req.deadline) {
			req.deadline = clientDeadline
		}
	}
	body, err := p.readBody(w, r, req)
	if err != nil {
		return nil, err
	}
	req.Request = &upstream.Request{
		Method: r.Method, Target: target, Host: r.Host, Header: r.Header, Body: body,
		HasBody: r.ContentLength > 0 || len(r.TransferEncoding) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead,
		Attempt: attemptIDs[0],
	}
	return req, nil
}

// originForm returns the path and query of the request's target as the client sent them. A target in
// absolute form (RFC 9112, 3.2.2) is cut; any other that is not a path is returned as it is.
func originForm(r *http.Request) string {
	isAbsolute := (r.URL.Scheme == "http" || r.URL.Scheme == "https") && r.URL.Host != ""
	if strings.HasPrefix(r.RequestURI, "/") || !isAbsolute {
		return r.RequestURI
	}
	_, rest, _ := strings.Cut(r.RequestURI, "://")
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	}
	return rest[start:]
}

// headerSize returns the size of the request line and header fields in bytes.
func headerSize(r *http.Request) (size int) {
	size = len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}
