package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/clock"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/messages"
)

const (
	// proposeTimeout bounds how long a proposal waits for a decision at this node;
	// operators' clients try another node after one second without an answer.
	proposeTimeout = 900 * time.Millisecond
	// backoffStep is the unit of the random backoff after a lost round.
	backoffStep = 12 * time.Millisecond
	// maintainInterval is how often a replica looks for a change that it accepted but
	// whose decision it did not receive. It waits for undecidedDelay before it completes
	// the change, plus rankDelay for each member that precedes it in the view, so that
	// members don't compete.
	maintainInterval  = 50 * time.Millisecond
	undecidedDelay    = 150 * time.Millisecond
	rankDelay         = 80 * time.Millisecond
	proposalQueueSize = 256
	maxBatchSize      = 64
	// noMajorityTimeout is how long no majority may answer before the proposals are
	// given up: longer than it takes to reconnect broken connections.
	noMajorityTimeout = 400 * time.Millisecond
)

// proposal is a set of items that waits for a decision. Without a base, which builds
// that don't send one leave out, it is judged only by the newest configuration.
type proposal struct {
	items    []config.Item
	base     *orderBase
	deadline clock.Instant
	result   chan proposalResult
}

// proposalResult is the outcome of a proposal and the index of the item set that
// contains it.
type proposalResult struct {
	index registry.Index
	err   error
}

// configReplicator runs the rounds for the proposals that reach this node and keeps
// its replica of the item set up to date.
type configReplicator struct {
	node  *node
	queue chan *proposal
	// round is the highest ballot round seen; only the proposing loop accesses it.
	round uint64
	// catchingUp has capacity one: a node catches up with one member at a time.
	catchingUp chan struct{}
	// undecidedBallot is the ballot of the accepted change last seen without its
	// decision, undecidedSince when it was first seen; only maintain accesses them.
	undecidedBallot membership.Ballot
	undecidedSince  clock.Instant
}

func newConfigReplicator(n *node) *configReplicator {
	return &configReplicator{node: n, queue: make(chan *proposal, proposalQueueSize), catchingUp: make(chan struct{}, 1)}
}

// newProposerID returns a proposer identity that no other run of the process uses.
func newProposerID(address string) string {
	return address + "#" + strconv.FormatUint(rand.Uint64(), 36)
}

func (r *configReplicator) run(ctx context.Context) {
	go clock.Every(ctx, maintainInterval, r.maintain)
	clock.Consume(ctx, r.queue, func(first *proposal) { r.decide(r.batch(first)) })
}

// batch returns a proposal together with those that wait behind it.
func (r *configReplicator) batch(first *proposal) []*proposal {
	proposals := []*proposal{first}
	for len(proposals) < maxBatchSize {
		select {
		case next := <-r.queue:
			proposals = append(proposals, next)
		default:
			return proposals
		}
	}
	return proposals
}

// canVote reports whether this node votes in the epoch.
func (n *node) canVote(t *tables, epoch membership.Epoch) bool {
	return t.trusted && t.view.Epoch == epoch && t.view.Contains(n.self)
}

// submit queues a proposal at this node and waits for its result.
func (r *configReplicator) submit(items []config.Item, base *orderBase) (registry.Index, error) {
	p := &proposal{items: items, base: base, deadline: r.node.clock.Monotonic() + clock.Instant(proposeTimeout), result: make(chan proposalResult, 1)}
	select {
	case r.queue <- p:
	default:
		return 0, apierror.New(apierror.ControlPlaneUnavailable, "too many configuration changes are waiting")
	}
	timer := time.NewTimer(proposeTimeout)
	defer timer.Stop()
	select {
	case result := <-p.result:
		return result.index, result.err
	case <-timer.C:
		return 0, errUndecided
	}
}

// decide runs rounds until the proposals are decided, their deadlines have passed, or
// no majority has answered for noMajorityTimeout.
func (r *configReplicator) decide(proposals []*proposal) {
	majorityAt := r.node.clock.Monotonic()
	for attempt := 1; time.Duration(r.node.clock.Monotonic()-majorityAt) < noMajorityTimeout; attempt++ {
		now := r.node.clock.Monotonic()
		proposals = slices.DeleteFunc(proposals, func(p *proposal) bool { return p.deadline <= now })
		if len(proposals) == 0 {
			return
		}
		var majorityResponded bool
		proposals, majorityResponded = r.runRound(proposals)
		if len(proposals) == 0 {
			return
		}
		if majorityResponded {
			majorityAt = r.node.clock.Monotonic()
		}
		r.node.clock.Sleep(rand.N(backoffStep * time.Duration(min(attempt, 8))))
	}
	for _, p := range proposals {
		p.result <- proposalResult{err: errUndecided}
	}
}

// runRound runs one round for the proposals. It returns those that are still undecided, and
// whether a majority answered at all.
func (r *configReplicator) runRound(proposals []*proposal) (undecided []*proposal, majorityResponded bool) {
	n := r.node
	round, view, canVote := registry.Round{}, membership.View{}, false
	n.store.read(func(t *tables) {
		view, canVote = t.view, n.canVote(t, t.view.Epoch)
		round.Epoch, round.Index, round.Majority = t.view.Epoch, t.registry.Next(), t.view.Majority()
	})
	if !canVote {
		return proposals, false
	}
	r.round++
	round.Ballot = membership.Ballot{Round: r.round, Node: n.proposerID}
	draft := &roundDraft{node: n, proposals: proposals, index: round.Index}
	round.Draft = draft.build
	outcome := round.Run(&roundTransport{node: n, view: view, startedAt: n.clock.Monotonic()})
	r.round = max(r.round, outcome.HighestBallot.Round)
	if outcome.View != nil {
		n.adoptView(*outcome.View)
	}
	if outcome.Decided != nil {
		r.broadcast(*outcome.Decided)
	}
	r.sendMissing(outcome.Lagging)
	if outcome.HighestIndex >= round.Index {
		r.catchUpFrom(outcome.HighestIndexMember)
	}
	majorityResponded = outcome.Responses >= round.Majority
	if outcome.Decided == nil && !outcome.NothingToPropose || !draft.drafted {
		return proposals, majorityResponded
	}
	return draft.reply(outcome), majorityResponded
}

// broadcast sends a decided change to every member, after applying it to this one.
func (r *configReplicator) broadcast(change registry.Change) {
	n := r.node
	n.learn([]registry.Change{change}, func(bool) {})
	message := messages.Learn{From: n.self, Changes: []registry.Change{change}}
	for _, member := range n.view().Members {
		if member != n.self {
			n.connection(member).Send(messages.KindLearn, message, nil)
		}
	}
}

// sendMissing sends members that were too far behind to take part in a round the
// changes they lack, so that they can take part in the next. A member that lacks
// changes that are no longer retained catches up by itself.
func (r *configReplicator) sendMissing(behind map[string]registry.Index) {
	for member, index := range behind {
		message := messages.Learn{From: r.node.self}
		r.node.store.read(func(t *tables) {
			message.Changes, _, _ = t.registry.Since(index, pageBytes)
			if latest, ok := t.registry.Latest(); ok && len(message.Changes) == 0 {
				message.Changes = []registry.Change{latest}
			}
		})
		r.node.connection(member).Send(messages.KindLearn, message, nil)
	}
}

// maintain completes what a proposer left unfinished: a change that this replica
// accepted but whose decision it did not receive, and an item set of an older build that
// has no index yet.
func (r *configReplicator) maintain() {
	n := r.node
	var accepted membership.Ballot
	rank, undecided, legacy := 0, false, false
	n.store.read(func(t *tables) {
		if !n.canVote(t, t.view.Epoch) {
			return
		}
		rank = slices.Index(t.view.Members, n.self)
		accepted, undecided = t.registry.Acceptor.Accepted, t.registry.Acceptor.Change != nil
		legacy = t.registry.Index == 0 && len(t.configuration()) > 0
	})
	now := n.clock.Monotonic()
	if !undecided && !legacy {
		r.undecidedSince = 0
		return
	}
	if accepted != r.undecidedBallot || r.undecidedSince == 0 {
		r.undecidedBallot, r.undecidedSince = accepted, now
		return
	}
	if wait := undecidedDelay + time.Duration(rank)*rankDelay; time.Duration(now-r.undecidedSince) < wait {
		return
	}
	r.undecidedSince = 0
	if _, err := r.submit(nil, nil); err != nil {
		n.log("info", "cannot complete a configuration change", "error", err)
	}
}
