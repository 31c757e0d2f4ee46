package exploration

import "ploverhitch/internal/membership"

const (
	memberCount   = 3
	proposalCount = 3
	majority      = memberCount/2 + 1
	// readSet is how many other members a rebuild reads.
	readSet = memberCount - majority + 1
)

// The phases of a proposal.
const (
	idle uint8 = iota
	preparing
	accepting
)

// acceptor is a member's memory: the numbers of the proposals that it promised
// and accepted (0 for none), and the value accepted.
type acceptor struct {
	Promised, Accepted, Value uint8
}

// member is one member, with what it has read where it is being rebuilt.
type member struct {
	Acceptor    acceptor
	Incarnation uint8
	IsTrusted   bool
	HasRead     [memberCount]bool
	Read        [memberCount]acceptor
}

// promise is a member's answer that a proposer holds.
type promise struct {
	IsThere     bool
	Incarnation uint8
	Acceptor    acceptor
}

// proposal is one round. What it sent may arrive at any later moment, any number
// of times, or never.
type proposal struct {
	Phase uint8
	// IsClosed says that answers are no longer counted, IsOld that the phase
	// began before the disk was lost.
	IsClosed, IsOld bool
	Promises        [memberCount]promise
	// Value is what the accept carries, Incarnations under which life each member
	// promised, 0 for a member that is not named.
	Value        uint8
	Incarnations [memberCount]uint8
	Accepted     [memberCount]bool
	Decided      uint8
}

// state is all of a model; it is compared by its bytes.
type state struct {
	Members   [memberCount]member
	Proposals [proposalCount]proposal
	IsLost    bool
}

// Protocol is what is explored: the real types behind a common form.
type Protocol interface {
	prepare(m acceptor, incarnation uint8, number membership.Ballot) (after acceptor, isOK bool)
	// propose is the value that a proposer sends for acceptance, given promises.
	propose(number membership.Ballot, wanted uint8, promises [memberCount]promise) (value uint8, isAny bool)
	accept(m acceptor, incarnation uint8, number membership.Ballot, value, promisedUnder uint8) (after acceptor, isOK bool)
	rebuild(read []acceptor) acceptor
}

// Model is a protocol with the faults that it must bear; the switches take out
// one guard each.
type Model struct {
	Protocol Protocol
	// HasCrash has the first proposer crash at any moment, and propose something
	// else in its next life; HasLoss has one member lose its disk.
	HasCrash, HasLoss bool
	// IsWaitless lets a member that lost its disk take part again at once.
	IsWaitless bool
	// IsBallotReused gives the restarted proposer the number of its first life.
	IsBallotReused bool
	// IsReadShort lets a rebuild read one member less.
	IsReadShort bool
	// IsUnadopted has proposers pass over values that were accepted before.
	IsUnadopted bool
	// IsLifeIgnored has members act on promises of an earlier life.
	IsLifeIgnored bool
}

// number is that of a proposal. The first and the last are of one proposer, which
// crashes in between.
func (m Model) number(at int) membership.Ballot {
	numbers := [proposalCount]membership.Ballot{{Round: 1, Node: "p#1"}, {Round: 1, Node: "q#1"}, {Round: 2, Node: "p#2"}}
	if m.IsBallotReused {
		numbers[2] = numbers[0]
	}
	return numbers[at]
}

// tidy takes out of a state what no later step can depend on.
func (s state) tidy() state {
	isRebuilt := true
	for _, each := range s.Members {
		isRebuilt = isRebuilt && each.IsTrusted
	}
	for at := range s.Proposals {
		p := &s.Proposals[at]
		if p.IsClosed || p.Phase != preparing {
			p.Promises = [memberCount]promise{}
		}
		if p.IsClosed || p.Decided != 0 {
			p.Accepted = [memberCount]bool{}
		}
		p.IsOld = p.IsOld && !isRebuilt
	}
	return s
}

// wanted is the value that a proposer seeks where it is free to choose.
func wanted(at int) uint8 { return uint8(at + 1) }

func (m Model) first() (s state) {
	for at := range s.Members {
		s.Members[at] = member{Incarnation: 1, IsTrusted: true}
	}
	return s
}

// decisions counts the proposals that were decided and tells whether they agree.
func (s state) decisions() (count int, isAgreed bool) {
	value := uint8(0)
	for _, p := range s.Proposals {
		if p.Decided == 0 {
			continue
		}
		if value != 0 && value != p.Decided {
			return count + 1, false
		}
		value = p.Decided
		count++
	}
	return count, true
}
