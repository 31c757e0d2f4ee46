package proxy

import (
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/upstream"
)

// stagedChange is a staged change with the configuration that results from it.
// applies reports whether this node serves by it.
type stagedChange struct {
	feed.StagedChange
	compiled *config.RoutingTable
	applies  bool
}

// updateStaged compiles the published staged changes. A change that is only renewed
// keeps its compiled configuration, unless the items have changed.
func (s *snapshot) updateStaged(published []feed.StagedChange, items config.ItemSet, configChanged bool, node string) {
	previous := s.stagedChanges
	s.stagedChanges = nil
	for _, change := range published {
		applies := slices.Contains(change.Nodes, node)
		index := slices.IndexFunc(previous, func(p stagedChange) bool { return p.Subject == change.Subject && p.Number == change.Number })
		if index >= 0 && !configChanged {
			s.stagedChanges = append(s.stagedChanges, stagedChange{change, previous[index].compiled, applies})
			continue
		}
		changed := items.Clone()
		changed.Merge(changed.Newer(change.Items))
		s.stagedChanges = append(s.stagedChanges, stagedChange{change, changed.Compile(), applies})
	}
}

// stagedMark identifies the staged change that affects a request. The outcome of the
// request counts for it.
type stagedMark struct {
	mark outlier.Label
	// targetLatency is the latency above which a response counts as slow.
	targetLatency time.Duration
	// dropsRecord: with the change, a request with an idempotency key would run
	// without a record.
	dropsRecord bool
}

// findRoute finds the route of a request: that of the configuration, or that of a
// staged change which applies to this node and whose grant is valid.
func (s *snapshot) findRoute(req *clientRequest, host, path string, hasKey bool, now clock.Instant) {
	req.route = s.routingTable.Find(host, path)
	if len(s.stagedChanges) == 0 || !s.grantsValid(now) {
		return
	}
	for _, change := range s.stagedChanges {
		base, next := req.route, change.compiled.Find(host, path)
		if sameRoute(base, next) {
			continue
		}
		marked := base
		if marked == nil {
			marked = next
		}
		req.stagedChange = &stagedMark{mark: outlier.Label{Subject: change.Subject, Number: change.Number, Route: marked.Name, OnTrial: change.applies}}
		if req.stagedChange.targetLatency = marked.TargetLatency.Std(); req.stagedChange.targetLatency == 0 {
			req.stagedChange.targetLatency = marked.Timeout.Std()
		}
		if !change.applies {
			continue
		}
		req.stagedChange.mark.Wave = change.Wave
		recorded := base != nil && base.RouteType == config.Idempotent
		if req.route = next; next != nil && hasKey && recorded && next.RouteType != config.Idempotent {
			// Whatever the change says, the request keeps its record.
			kept := *next
			kept.RouteType = config.Idempotent
			req.route, req.stagedChange.dropsRecord = &kept, true
		}
	}
}

func sameRoute(a, b *config.Route) bool {
	return a == nil && b == nil || a != nil && b != nil && a.Name == b.Name && a.Revision == b.Revision
}

// recordStagedOutcome counts the outcome of a request for the staged change that
// affects it. A replayed response shows nothing about the change and is not counted.
func (p *proxy) recordStagedOutcome(req *clientRequest, response *upstream.Response, err error, truncated bool) {
	if req == nil || req.stagedChange == nil || req.replayed {
		return
	}
	outcome, counts := stagedOutcome(req, response, err, time.Since(req.arrivedAt))
	if truncated {
		outcome, counts = outlier.Broken, true
	}
	if req.stagedChange.dropsRecord {
		outcome, counts = outlier.Duplicated, true
	}
	if counts {
		p.outcomes.Record(req.stagedChange.mark, outcome)
	}
}

// outcomesByKind maps error kinds to the outcome they count as for a staged change.
// Other kinds are not counted.
var outcomesByKind = map[apierror.Kind]outlier.Outcome{
	apierror.ResponseInterrupted: outlier.Broken, apierror.ResponseTimeout: outlier.Slow, apierror.NoServer: outlier.Failed, apierror.NotExecuted: outlier.Failed,
	apierror.ServersBusy: outlier.Failed,
}

func stagedOutcome(req *clientRequest, response *upstream.Response, err error, latency time.Duration) (outcome outlier.Outcome, counted bool) {
	keyed := req.route != nil && req.route.RouteType == config.Idempotent
	var known *apierror.Error
	switch {
	case err != nil && errors.As(err, &known):
		outcome, counted = outcomesByKind[known.Kind]
		if keyed && (known.Kind == apierror.ResponseInterrupted || known.Kind == apierror.ResponseTimeout) {
			// The request may have run, and its outcome is unknown: it counts as
			// missing.
			outcome = outlier.Unresolved
		}
		return outcome, counted
	case errors.Is(err, errClientGone):
		return outcome, false
	case err != nil:
		return outlier.Failed, true
	case response.Status >= http.StatusInternalServerError:
		return outlier.Failed, true
	case latency > req.stagedChange.targetLatency:
		return outlier.Slow, true
	}
	return outlier.Success, true
}
