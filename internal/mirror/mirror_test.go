package mirror_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/mirror"
)

func TestMirror(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mirror")
}

var (
	now    = time.Unix(1_000_000, 0)
	routes = []mirror.Route{{Name: "fee", Host: "h", Services: []string{"fees"}}, {Name: "read", Host: "h", Services: []string{"lessons"}}}
)

func newMirror(name string, change func(*mirror.Mirror)) mirror.Mirror {
	m := mirror.Mirror{Name: name, Routes: []string{"fee"}, Shadow: "next", Share: 0.5, Until: now.Add(time.Hour)}
	if change != nil {
		change(&m)
	}
	return m
}

func isService(name string) bool { return name == "fees" || name == "lessons" || name == "next" }

var _ = Describe("a mirror's configuration", func() {
	DescribeTable("is rejected with an error that names the fault",
		func(reason string, mirrors ...mirror.Mirror) {
			var err error
			for _, m := range mirrors {
				for _, check := range []func() error{m.Check, func() error { return m.CheckReferences(routes) }} {
					if found := check(); found != nil {
						err = found
					}
				}
			}
			if err == nil {
				err = mirror.CheckAll(mirrors, routes, isService, now)
			}
			Expect(err).To(MatchError(ContainSubstring(reason)))
		},
		Entry("a share above one", "Share", newMirror("m", func(m *mirror.Mirror) { m.Share = 1.5 })),
		Entry("a negative share", "Share", newMirror("m", func(m *mirror.Mirror) { m.Share = -0.1 })),
		Entry("no end time", "Until", newMirror("m", func(m *mirror.Mirror) { m.Until = time.Time{} })),
		Entry("no routes and no hosts", "Routes", newMirror("m", func(m *mirror.Mirror) { m.Routes = nil })),
		Entry("a header and a cookie for the conversation", "Cookie", newMirror("m", func(m *mirror.Mirror) { m.Header, m.Cookie = "a", "b" })),
		Entry("an unknown route", "route q", newMirror("m", func(m *mirror.Mirror) { m.Routes = []string{"q"} })),
		Entry("an unknown host", "host q", newMirror("m", func(m *mirror.Mirror) { m.Hosts = []string{"q"} })),
		Entry("an unknown service", "service gone", newMirror("m", func(m *mirror.Mirror) { m.Shadow = "gone" })),
		Entry("a shadow service with live traffic", "route read sends", newMirror("m", func(m *mirror.Mirror) { m.Shadow = "lessons" })),
		Entry("a route's own service as the shadow", "route fee sends", newMirror("m", func(m *mirror.Mirror) { m.Shadow = "fees" })),
		Entry("two mirrors of one route", "mirror a", newMirror("a", nil), newMirror("b", func(m *mirror.Mirror) { m.Routes, m.Hosts = nil, []string{"H"} })),
	)

	It("conflicts with nothing once it has ended", func() {
		Expect(mirror.CheckAll([]mirror.Mirror{newMirror("m", func(m *mirror.Mirror) { m.Shadow = "fees" })}, routes, isService, now.Add(2*time.Hour))).To(Succeed())
	})

	It("identifies the conversation by header or cookie, then by key, then by address", func() {
		m := newMirror("m", func(m *mirror.Mirror) { m.Cookie = "sid" })
		header := http.Header{"Cookie": {"a=b; sid=7"}}
		Expect(m.Conversation(header, "k", "1.2.3.4")).To(Equal("cookie 7"))
		Expect(m.Conversation(http.Header{}, "k", "1.2.3.4")).To(Equal("key k"))
		Expect(m.Conversation(http.Header{}, "", "1.2.3.4")).To(Equal("address 1.2.3.4"))
		m.Cookie, m.Header = "", "X-Who"
		Expect(m.Conversation(http.Header{"X-Who": {"me"}}, "k", "")).To(Equal("header me"))
	})

	It("adds and removes entire conversations when the share changes, the same ones at every node", func() {
		m := newMirror("m", nil)
		atLowShare, atHighShare := 0, 0
		for number := range 2000 {
			point := m.SamplePoint("h", fmt.Sprint("c", number))
			Expect(newMirror("m", func(m *mirror.Mirror) { m.Share = 0.9 }).SamplePoint("h", fmt.Sprint("c", number))).To(Equal(point))
			if point < 0.2 {
				atLowShare++
			}
			if point < 0.5 {
				atHighShare++
			}
		}
		Expect(atLowShare).To(BeNumerically("~", 400, 60))
		Expect(atHighShare).To(BeNumerically("~", 1000, 80))
	})
})

var _ = Describe("a node's recorder", func() {
	It("reports a conversation as complete only if no copy is missing, compared with a model of all events", func() {
		for seed := range uint64(60) {
			random := rand.New(rand.NewPCG(seed, 3))
			recorder, era := mirror.NewRecorder(), uint64(1)
			recorder.SetGrant(mirror.Grant{Name: "m", Version: 1, Share: 1, Era: era})
			// incomplete holds the conversations of this era with a missing copy,
			// seen all of its conversations, inFlight the unfinished copies.
			incomplete, seen := map[uint64]bool{}, map[uint64]bool{}
			type copied struct{ hash, era uint64 }
			var inFlight []copied
			settled := false
			for range 400 {
				switch random.IntN(10) {
				case 0:
					if random.IntN(4) == 0 {
						era++
						settled, incomplete, seen = false, map[uint64]bool{}, map[uint64]bool{}
					} else {
						settled = true
					}
					recorder.SetGrant(mirror.Grant{Name: "m", Version: 1, Share: 1, Era: era, Settled: settled})
				case 1, 2, 3, 4, 5:
					hash := random.Uint64N(20)
					_, originalEra := recorder.AddOriginal(hash, 0)
					if seen[hash] = true; !settled {
						incomplete[hash] = true
					}
					inFlight = append(inFlight, copied{hash, originalEra})
				default:
					if len(inFlight) == 0 {
						continue
					}
					at := random.IntN(len(inFlight))
					mirrored := inFlight[at]
					inFlight = append(inFlight[:at], inFlight[at+1:]...)
					if random.IntN(5) > 0 {
						recorder.AddComparison(mirrored.hash, mirrored.era, mirror.Example{Route: "l", Outcome: mirror.Same})
						continue
					}
					recorder.AddGap(mirrored.hash, mirrored.era, "lost")
					if mirrored.era == era {
						incomplete[mirrored.hash] = true
					}
				}
			}
			pending := map[uint64]bool{}
			for _, mirrored := range inFlight {
				if mirrored.era == era {
					pending[mirrored.hash] = true
				}
			}
			results := recorder.Results()
			Expect(results.Conversations).To(HaveLen(len(seen)))
			for _, conversation := range results.Conversations {
				Expect(conversation.Complete()).To(Equal(!incomplete[conversation.Hash] && !pending[conversation.Hash]), "seed %d", seed)
			}
		}
	})

	It("reports each gap once, and starts over with a new version of the mirror", func() {
		recorder := mirror.NewRecorder()
		recorder.SetGrant(mirror.Grant{Version: 1, Era: 1, Settled: true})
		_, era := recorder.AddOriginal(1, 0)
		recorder.AddGap(1, era, "lost")
		Expect(recorder.TakeDelta("m")).To(Equal(mirror.CountDelta{Name: "m", Lost: 1}))
		Expect(recorder.TakeDelta("m")).To(Equal(mirror.CountDelta{Name: "m"}))
		recorder.SetGrant(mirror.Grant{Version: 2, Era: 1, Settled: true})
		Expect(recorder.Results().Conversations).To(BeEmpty())
	})
})
