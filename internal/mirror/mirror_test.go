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

func TestLoopline(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mirror")
}

var (
	now   = time.Unix(1_000_000, 0)
	lanes = []mirror.Route{{Name: "fee", Host: "h", Services: []string{"fees"}}, {Name: "read", Host: "h", Services: []string{"lessons"}}}
)

func newMirror(name string, more func(*mirror.Mirror)) mirror.Mirror {
	m := mirror.Mirror{Name: name, Routes: []string{"fee"}, Shadow: "next", Share: 0.5, Until: now.Add(time.Hour)}
	if more != nil {
		more(&m)
	}
	return m
}

func isService(name string) bool { return name == "fees" || name == "lessons" || name == "next" }

var _ = Describe("an order to copy", func() {
	DescribeTable("is refused by name where it is wrong",
		func(reason string, mirrors ...mirror.Mirror) {
			var err error
			for _, m := range mirrors {
				for _, check := range []func() error{m.Check, func() error { return m.CheckReferences(lanes) }} {
					if found := check(); found != nil {
						err = found
					}
				}
			}
			if err == nil {
				err = mirror.CheckAll(mirrors, lanes, isService, now)
			}
			Expect(err).To(MatchError(ContainSubstring(reason)))
		},
		Entry("a share over one", "Share", newMirror("m", func(m *mirror.Mirror) { m.Share = 1.5 })),
		Entry("a share under none", "Share", newMirror("m", func(m *mirror.Mirror) { m.Share = -0.1 })),
		Entry("no end", "Until", newMirror("m", func(m *mirror.Mirror) { m.Until = time.Time{} })),
		Entry("nothing to copy from", "Routes", newMirror("m", func(m *mirror.Mirror) { m.Routes = nil })),
		Entry("two names of the conversation", "Cookie", newMirror("m", func(m *mirror.Mirror) { m.Header, m.Cookie = "a", "b" })),
		Entry("an unknown lane", "lane q", newMirror("m", func(m *mirror.Mirror) { m.Routes = []string{"q"} })),
		Entry("an unknown host", "host q", newMirror("m", func(m *mirror.Mirror) { m.Hosts = []string{"q"} })),
		Entry("an unknown service", "service gone", newMirror("m", func(m *mirror.Mirror) { m.Shadow = "gone" })),
		Entry("a shadow that is live", "lane read delivers", newMirror("m", func(m *mirror.Mirror) { m.Shadow = "lessons" })),
		Entry("the source as its own shadow", "lane fee delivers", newMirror("m", func(m *mirror.Mirror) { m.Shadow = "fees" })),
		Entry("two of one lane", "mirror a", newMirror("a", nil), newMirror("b", func(m *mirror.Mirror) { m.Routes, m.Hosts = nil, []string{"H"} })),
	)

	It("stands against nothing once it has ended", func() {
		Expect(mirror.CheckAll([]mirror.Mirror{newMirror("m", func(m *mirror.Mirror) { m.Shadow = "fees" })}, lanes, isService, now.Add(2*time.Hour))).To(Succeed())
	})

	It("names the conversation by header or cookie, then by key, then by address", func() {
		m := newMirror("m", func(m *mirror.Mirror) { m.Cookie = "sid" })
		header := http.Header{"Cookie": {"a=b; sid=7"}}
		Expect(m.Conversation(header, "k", "1.2.3.4")).To(Equal("cookie 7"))
		Expect(m.Conversation(http.Header{}, "k", "1.2.3.4")).To(Equal("key k"))
		Expect(m.Conversation(http.Header{}, "", "1.2.3.4")).To(Equal("address 1.2.3.4"))
		m.Cookie, m.Header = "", "X-Who"
		Expect(m.Conversation(http.Header{"X-Who": {"me"}}, "k", "")).To(Equal("header me"))
	})

	It("adds and takes whole conversations, the same ones at every node", func() {
		m := newMirror("m", nil)
		low, high := 0, 0
		for number := range 2000 {
			draw := m.SamplePoint("h", fmt.Sprint("c", number))
			Expect(newMirror("m", func(m *mirror.Mirror) { m.Share = 0.9 }).SamplePoint("h", fmt.Sprint("c", number))).To(Equal(draw))
			if draw < 0.2 {
				low++
			}
			if draw < 0.5 {
				high++
			}
		}
		Expect(low).To(BeNumerically("~", 400, 60))
		Expect(high).To(BeNumerically("~", 1000, 80))
	})
})

var _ = Describe("the record of a node", func() {
	It("calls no conversation whole of which anything is missing, as a plain list of all that happened tells", func() {
		for seed := range uint64(60) {
			random := rand.New(rand.NewPCG(seed, 3))
			record, era := mirror.NewRecorder(), uint64(1)
			record.SetGrant(mirror.Grant{Name: "m", Version: 1, Share: 1, Era: era})
			// broken are the conversations of this era that lack something; open
			// are the copies on their way.
			broken, met := map[uint64]bool{}, map[uint64]bool{}
			type copied struct{ hash, era uint64 }
			var open []copied
			isSettled := false
			for range 400 {
				switch random.IntN(10) {
				case 0:
					if random.IntN(4) == 0 {
						era++
						isSettled, broken, met = false, map[uint64]bool{}, map[uint64]bool{}
					} else {
						isSettled = true
					}
					record.SetGrant(mirror.Grant{Name: "m", Version: 1, Share: 1, Era: era, Settled: isSettled})
				case 1, 2, 3, 4, 5:
					hash := random.Uint64N(20)
					_, of := record.AddOriginal(hash, 0)
					if met[hash] = true; !isSettled {
						broken[hash] = true
					}
					open = append(open, copied{hash, of})
				default:
					if len(open) == 0 {
						continue
					}
					at := random.IntN(len(open))
					one := open[at]
					open = append(open[:at], open[at+1:]...)
					if random.IntN(5) > 0 {
						record.AddComparison(one.hash, one.era, mirror.Example{Route: "l", Outcome: mirror.Same})
						continue
					}
					record.AddGap(one.hash, one.era, "lost")
					if one.era == era {
						broken[one.hash] = true
					}
				}
			}
			waiting := map[uint64]bool{}
			for _, one := range open {
				if one.era == era {
					waiting[one.hash] = true
				}
			}
			page := record.Results()
			Expect(page.Conversations).To(HaveLen(len(met)))
			for _, talk := range page.Conversations {
				Expect(talk.IsWhole()).To(Equal(!broken[talk.Hash] && !waiting[talk.Hash]), "seed %d", seed)
			}
		}
	})

	It("tells each loss once, and begins anew with a new version", func() {
		record := mirror.NewRecorder()
		record.SetGrant(mirror.Grant{Version: 1, Era: 1, Settled: true})
		_, era := record.AddOriginal(1, 0)
		record.AddGap(1, era, "lost")
		Expect(record.TakeDelta("m")).To(Equal(mirror.CountDelta{Name: "m", Lost: 1}))
		Expect(record.TakeDelta("m")).To(Equal(mirror.CountDelta{Name: "m"}))
		record.SetGrant(mirror.Grant{Version: 2, Era: 1, Settled: true})
		Expect(record.Results().Conversations).To(BeEmpty())
	})
})
