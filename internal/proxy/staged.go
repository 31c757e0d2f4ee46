package proxy

import (
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/timetable"
	"ploverhitch/internal/upstream"
)

// stage is a staged change as this node knows it: the manifest with it, and
// whether this node is to serve by it.
type stagedChange struct {
	feed.Stage
	compiled *config.Sheet
	applies  bool
}

// layStages makes ready the staged changes that the fleet's news bring. News that
// only renew a change keep its manifest, unless the book has changed.
func (s *sight) updateStaged(published []feed.Stage, items config.Book, configChanged bool, node string) {
	previous := s.stages
	s.stages = nil
	for _, change := range published {
		applies := slices.Contains(change.Nodes, node)
		index := slices.IndexFunc(previous, func(p stagedChange) bool { return p.Subject == change.Subject && p.Number == change.Number })
		if index >= 0 && !configChanged {
			s.stages = append(s.stages, stagedChange{change, previous[index].compiled, applies})
			continue
		}
		changed := items.Clone()
		changed.Merge(changed.Newer(change.Items))
		s.stages = append(s.stages, stagedChange{change, changed.Compile(), applies})
	}
}

// stageMark is a staged change's hold on an inquiry: its outcome counts for it.
type stagedMark struct {
	mark outlier.Mark
	// aim is within what the lane's reply is on time.
	targetLatency time.Duration
	// isUnkept: the change would run a keyed operation without its record.
	dropsRecord bool
}

// findLane picks the inquiry's lane: the manifest's, or that of a staged change
// which has reached this node and whose grant holds.
func (s *sight) findRoute(req *inquiry, host, path string, hasKey bool, now timetable.Steady) {
	req.lane = s.sheet.Find(host, path)
	if len(s.stages) == 0 || !s.grantsValid(now) {
		return
	}
	for _, change := range s.stages {
		base, next := req.lane, change.compiled.Find(host, path)
		if sameRoute(base, next) {
			continue
		}
		named := base
		if named == nil {
			named = next
		}
		req.stage = &stagedMark{mark: outlier.Mark{Subject: change.Subject, Number: change.Number, Lane: named.Name, IsTrial: change.applies}}
		if req.stage.targetLatency = named.TargetLatency.Std(); req.stage.targetLatency == 0 {
			req.stage.targetLatency = named.Timeout.Std()
		}
		if !change.applies {
			continue
		}
		req.stage.mark.Wave = change.Wave
		recorded := base != nil && base.RouteType == config.Idempotent
		if req.lane = next; next != nil && hasKey && recorded && next.RouteType != config.Idempotent {
			// Whatever the change says, the operation keeps its record.
			kept := *next
			kept.RouteType = config.Idempotent
			req.lane, req.stage.dropsRecord = &kept, true
		}
	}
}

func sameRoute(a, z *config.Route) bool {
	return a == nil && z == nil || a != nil && z != nil && a.Name == z.Name && a.Revision == z.Revision
}

// settleStage counts how an inquiry ended for the staged change that touched it. What
// the record answered shows nothing of the change.
func (p *proxy) recordStagedOutcome(req *inquiry, response *upstream.Reply, err error, truncated bool) {
	if req == nil || req.stage == nil || req.isReplayed {
		return
	}
	outcome, counted := stagedOutcome(req, response, err, time.Since(req.arrived))
	if truncated {
		outcome, counted = outlier.Broken, true
	}
	if req.stage.dropsRecord {
		outcome, counted = outlier.Doubled, true
	}
	if counted {
		p.box.Note(req.stage.mark, outcome)
	}
}

// ends is the table from a kind of derailment to what it shows of a change;
// other kinds show nothing.
var outcomesByKind = map[apierror.Kind]outlier.Outcome{
	apierror.Broken: outlier.Broken, apierror.Late: outlier.Slow, apierror.NoServer: outlier.Failed, apierror.NotExecuted: outlier.Failed,
	apierror.Busy: outlier.Failed,
}

func stagedOutcome(req *inquiry, response *upstream.Reply, err error, latency time.Duration) (outcome outlier.Outcome, counted bool) {
	keyed := req.lane != nil && req.lane.RouteType == config.Idempotent
	var known *apierror.Error
	switch {
	case err != nil && errors.As(err, &known):
		outcome, counted = outcomesByKind[known.Kind]
		if keyed && (known.Kind == apierror.Broken || known.Kind == apierror.Late) {
			// It may have run, and nobody can say: the operation is missing.
			outcome = outlier.Missing
		}
		return outcome, counted
	case errors.Is(err, errClientGone):
		return outcome, false
	case err != nil:
		return outlier.Failed, true
	case response.Status >= http.StatusInternalServerError:
		return outlier.Failed, true
	case latency > req.stage.targetLatency:
		return outlier.Slow, true
	}
	return outlier.Good, true
}
