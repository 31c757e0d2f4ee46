package simulation

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/config"
)

// quietWorld is a world without load, faults and losses of messages.
func quietWorld(members, spares int, without Guard) *world {
	w := newWorld(Options{Seed: 1, Members: members, Spares: spares, Scenario: Calm, Without: without})
	w.network.loss, w.network.doubles, w.network.slow = 0, 0, 0
	return w
}

// pass runs the world for a span.
func (w *world) pass(span time.Duration) {
	for end := w.Now + span; w.checks.err == nil && w.Step(end); {
	}
}

// submit gives an order to a node and notes the verdict.
func (w *world) submit(name string, content int, verdict *Verdict) {
	order := &orderRequest{items: []config.Item{routeItem("route-1", 1, content, content)}}
	call(w.operator, name, order, (*member).onOrder, func(told Verdict) { *verdict = told })
}

// decideInTwoViews replaces m3, which does not hear of it, and then has an order
// given on each side of a partition that splits both views.
func decideInTwoViews(without Guard) *Violation {
	w := quietWorld(3, 1, without)
	defer w.close()
	w.pass(time.Second)
	w.network.cut([]string{"m3"}, w.names, false)
	call(w.operator, "m1", replacement{"m3", "m4"}, (*member).onReplace, func(struct{}) {})
	w.pass(4 * time.Second)
	Expect(w.checks.newest.Members).To(Equal([]string{"m1", "m2", "m4"}))
	Expect(w.members["m4"].isTrusted).To(BeTrue())
	w.network.heal()
	w.network.cut([]string{"m1", "m3"}, []string{"m2", "m4"}, false)
	var ofNewer, ofOlder Verdict
	w.submit("m2", 0, &ofNewer)
	w.submit("m3", 1, &ofOlder)
	w.pass(time.Second)
	w.network.heal()
	w.pass(3 * time.Second)
	Expect(w.checks.err != nil || ofNewer == Acknowledged).To(BeTrue())
	return w.checks.err
}

// loseTwoOfFive wipes two of the three members that hold a change while the third
// is cut off, and then has another order given to the rest.
func loseTwoOfFive(without Guard) *Violation {
	w := quietWorld(5, 0, without)
	defer w.close()
	w.pass(time.Second)
	w.network.cut([]string{"m4", "m5"}, w.names, false)
	var before, after Verdict
	w.submit("m1", 0, &before)
	w.pass(time.Second)
	Expect(before).To(Equal(Acknowledged))
	w.network.cut([]string{"m3"}, w.names, false)
	for _, name := range []string{"m1", "m2"} {
		w.members[name].wipe()
	}
	w.pass(time.Second)
	w.network.heal()
	w.network.cut([]string{"m3"}, w.names, false)
	for _, name := range []string{"m1", "m2"} {
		w.members[name].start()
	}
	w.pass(2 * time.Second)
	w.submit("m4", 1, &after)
	w.pass(2 * time.Second)
	w.network.heal()
	w.pass(4 * time.Second)
	for _, name := range w.names {
		Expect(w.checks.err != nil || w.members[name].isTrusted).To(BeTrue(), "%s is rebuilt once all are back", name)
	}
	return w.checks.err
}

var _ = Describe("a scripted run", func() {
	It("decides in one of two views, and in both without epoch-check", func() {
		Expect(decideInTwoViews("")).To(BeNil())
		Expect(decideInTwoViews(EpochCheck)).NotTo(BeNil())
	})

	It("keeps a change through two losses of five, and loses it without trusted-read-set", func() {
		Expect(loseTwoOfFive("")).To(BeNil())
		Expect(loseTwoOfFive(TrustedReadSet)).NotTo(BeNil())
	})
})
