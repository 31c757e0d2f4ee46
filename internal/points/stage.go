package points

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
type stage struct {
	feed.Stage
	sheet  *config.Sheet
	isMine bool
}

// layStages makes ready the staged changes that the fleet's news bring. News that
// only renew a change keep its manifest, unless the book has changed.
func (s *sight) layStages(stages []feed.Stage, book config.Book, isNewBook bool, node string) {
	laid := s.stages
	s.stages = nil
	for _, told := range stages {
		isMine := slices.Contains(told.Nodes, node)
		at := slices.IndexFunc(laid, func(l stage) bool { return l.Subject == told.Subject && l.Number == told.Number })
		if at >= 0 && !isNewBook {
			s.stages = append(s.stages, stage{told, laid[at].sheet, isMine})
			continue
		}
		changed := book.Clone()
		changed.Merge(changed.Newer(told.Items))
		s.stages = append(s.stages, stage{told, changed.Compile(), isMine})
	}
}

// stageMark is a staged change's hold on an inquiry: its outcome counts for it.
type stageMark struct {
	mark outlier.Mark
	// aim is within what the lane's reply is on time.
	aim time.Duration
	// isUnkept: the change would run a keyed operation without its record.
	isUnkept bool
}

// findLane picks the inquiry's lane: the manifest's, or that of a staged change
// which has reached this node and whose grant holds.
func (s *sight) findLane(one *inquiry, host, path string, isKeyed bool, now timetable.Steady) {
	one.lane = s.sheet.Find(host, path)
	if len(s.stages) == 0 || !s.holdsGrants(now) {
		return
	}
	for _, staged := range s.stages {
		base, next := one.lane, staged.sheet.Find(host, path)
		if sameLane(base, next) {
			continue
		}
		named := base
		if named == nil {
			named = next
		}
		one.stage = &stageMark{mark: outlier.Mark{Subject: staged.Subject, Number: staged.Number, Lane: named.Name, IsTrial: staged.isMine}}
		if one.stage.aim = named.TargetLatency.Std(); one.stage.aim == 0 {
			one.stage.aim = named.Timeout.Std()
		}
		if !staged.isMine {
			continue
		}
		one.stage.mark.Wave = staged.Wave
		isKept := base != nil && base.RouteType == config.Idempotent
		if one.lane = next; next != nil && isKeyed && isKept && next.RouteType != config.Idempotent {
			// Whatever the change says, the operation keeps its record.
			kept := *next
			kept.RouteType = config.Idempotent
			one.lane, one.stage.isUnkept = &kept, true
		}
	}
}

func sameLane(a, z *config.Route) bool {
	return a == nil && z == nil || a != nil && z != nil && a.Name == z.Name && a.Revision == z.Revision
}

// settleStage counts how an inquiry ended for the staged change that touched it. What
// the record answered shows nothing of the change.
func (p *proxy) settleStage(one *inquiry, reply *upstream.Response, err error, isBroken bool) {
	if one == nil || one.stage == nil || one.isReplayed {
		return
	}
	outcome, isCounted := stageOutcome(one, reply, err, time.Since(one.arrived))
	if isBroken {
		outcome, isCounted = outlier.Broken, true
	}
	if one.stage.isUnkept {
		outcome, isCounted = outlier.Doubled, true
	}
	if isCounted {
		p.box.Note(one.stage.mark, outcome)
	}
}

// ends is the table from a kind of derailment to what it shows of a change;
// other kinds show nothing.
var ends = map[apierror.Kind]outlier.Outcome{
	apierror.Broken: outlier.Broken, apierror.Late: outlier.Slow, apierror.NoServer: outlier.Failed, apierror.NotExecuted: outlier.Failed,
	apierror.Busy: outlier.Failed,
}

func stageOutcome(one *inquiry, reply *upstream.Response, err error, took time.Duration) (outcome outlier.Outcome, isCounted bool) {
	isKeyed := one.lane != nil && one.lane.RouteType == config.Idempotent
	var known *apierror.Error
	switch {
	case err != nil && errors.As(err, &known):
		outcome, isCounted = ends[known.Kind]
		if isKeyed && (known.Kind == apierror.Broken || known.Kind == apierror.Late) {
			// It may have run, and nobody can say: the operation is missing.
			outcome = outlier.Missing
		}
		return outcome, isCounted
	case errors.Is(err, errLeft):
		return outcome, false
	case err != nil:
		return outlier.Failed, true
	case reply.Status >= http.StatusInternalServerError:
		return outlier.Failed, true
	case took > one.stage.aim:
		return outlier.Slow, true
	}
	return outlier.Good, true
}
