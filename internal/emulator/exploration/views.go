package exploration

import (
	"fmt"

	"ploverhitch/internal/membership"
)

type viewProtocol struct{}

// present is the view that the members of the model are in.
var present = membership.FirstView([]string{"a", "b", "c"})

// viewOf is the view that a value stands for.
func viewOf(value uint8) membership.View { return present.Replace("c", fmt.Sprint("new-", value)) }

func (viewProtocol) acceptorOf(m acceptor) membership.Acceptor {
	held := membership.Acceptor{Promised: numbers[m.Promised], Accepted: numbers[m.Accepted]}
	if m.Value != 0 {
		view := viewOf(m.Value)
		held.Value = &view
	}
	return held
}

func valueOf(view membership.View) uint8 {
	var value uint8
	_, err := fmt.Sscanf(view.Members[len(view.Members)-1], "new-%d", &value)
	if err != nil {
		panic(err)
	}
	return value
}

func (viewProtocol) acceptor(held membership.Acceptor) acceptor {
	m := acceptor{Promised: placeOf(held.Promised), Accepted: placeOf(held.Accepted)}
	if held.Value != nil {
		m.Value = valueOf(*held.Value)
	}
	return m
}

func (v viewProtocol) on(m acceptor, motion membership.Proposal) (after acceptor, isOK bool) {
	held := v.acceptorOf(m)
	response, _ := held.Respond(present, motion)
	return v.acceptor(held), response.OK
}

func (v viewProtocol) prepare(m acceptor, _ uint8, number membership.Ballot) (after acceptor, isOK bool) {
	return v.on(m, membership.Proposal{Epoch: present.Epoch, Ballot: number})
}

func (v viewProtocol) accept(m acceptor, _ uint8, number membership.Ballot, value, _ uint8) (after acceptor, isOK bool) {
	view := viewOf(value)
	return v.on(m, membership.Proposal{Epoch: present.Epoch, Ballot: number, Value: &view})
}

func (v viewProtocol) propose(number membership.Ballot, wanted uint8, promises [memberCount]promise) (value uint8, isAny bool) {
	ask := func(motion membership.Proposal) (responses []membership.Response) {
		if motion.Value != nil {
			value, isAny = valueOf(*motion.Value), true
			return nil
		}
		for _, p := range promises {
			if !p.IsThere {
				continue
			}
			held := v.acceptorOf(p.Acceptor)
			responses = append(responses, membership.Response{OK: true, Promised: held.Promised, Accepted: held.Accepted, Value: held.Value, View: present})
		}
		return responses
	}
	membership.Propose(present, viewOf(wanted), number, ask)
	return value, isAny
}

func (v viewProtocol) rebuild(read []acceptor) acceptor {
	var lost membership.Acceptor
	for _, m := range read {
		if told := v.acceptorOf(m); lost.Behind(told) {
			lost = lost.Merge(told)
		}
	}
	return v.acceptor(lost)
}
