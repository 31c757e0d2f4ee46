package exploration

import (
	"fmt"

	"ploverhitch/internal/membership"
)

type viewProtocol struct{}

// present is the view that the members of the model are in.
var present = membership.FirstView([]string{"a", "b", "c"})

// viewOf is the view that a value stands for.
func viewOf(value uint8) membership.View { return present.Swap("c", fmt.Sprint("new-", value)) }

func (viewProtocol) acceptorOf(m acceptor) membership.Acceptor {
	held := membership.Acceptor{Promised: numbers[m.Promised], Number: numbers[m.Accepted]}
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
	m := acceptor{Promised: placeOf(held.Promised), Accepted: placeOf(held.Number)}
	if held.Value != nil {
		m.Value = valueOf(*held.Value)
	}
	return m
}

func (v viewProtocol) on(m acceptor, motion membership.Motion) (after acceptor, isOK bool) {
	held := v.acceptorOf(m)
	response, _ := held.On(present, motion)
	return v.acceptor(held), response.OK
}

func (v viewProtocol) prepare(m acceptor, _ uint8, number membership.Number) (after acceptor, isOK bool) {
	return v.on(m, membership.Motion{Epoch: present.Epoch, Number: number})
}

func (v viewProtocol) accept(m acceptor, _ uint8, number membership.Number, value, _ uint8) (after acceptor, isOK bool) {
	view := viewOf(value)
	return v.on(m, membership.Motion{Epoch: present.Epoch, Number: number, Value: &view})
}

func (v viewProtocol) propose(number membership.Number, wanted uint8, promises [memberCount]promise) (value uint8, isAny bool) {
	ask := func(motion membership.Motion) (responses []membership.Response) {
		if motion.Value != nil {
			value, isAny = valueOf(*motion.Value), true
			return nil
		}
		for _, p := range promises {
			if !p.IsThere {
				continue
			}
			held := v.acceptorOf(p.Acceptor)
			responses = append(responses, membership.Response{OK: true, Promised: held.Promised, Number: held.Number, Value: held.Value, View: present})
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
			lost = lost.Join(told)
		}
	}
	return v.acceptor(lost)
}
