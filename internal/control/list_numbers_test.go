package control

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ploverhitch/internal/feed"
)

// Guards against a page of the platform's list that can't be read, or a sum that overflows, because of one server's numbers.
var _ = DescribeTable("an entry of the platform's list is read whatever its numbers are",
	func(capacity, warmupLeft string, expectedCapacity int, expectedWarmup time.Duration) {
		var page listPage
		text := `{"Instances":[{"InstanceId":"i-1","Service":"s","Capacity":` + capacity + `,"WarmupLeft":"` + warmupLeft + `","State":"ready"},
{"InstanceId":"i-2","Service":"s","Capacity":` + capacity + `,"WarmupLeft":"0ms","State":"ready"}],"NextToken":null}`
		Expect(json.Unmarshal([]byte(text), &page)).To(Succeed())
		now := time.Unix(1_000_000, 0)
		var servers []feed.Server
		for _, instance := range page.Instances {
			servers = append(servers, instance.server(now))
		}
		Expect(servers).To(HaveLen(2))
		Expect(servers[0].Capacity).To(Equal(expectedCapacity))
		Expect(servers[0].WarmupRemaining(now)).To(Equal(expectedWarmup))
		Expect(totalCapacity(servers, []int{0, 1})).To(Equal(2 * expectedCapacity))
	},
	Entry("ordinary", "3", "1500ms", 3, 1500*time.Millisecond),
	Entry("the largest 64-bit number", "9223372036854775807", "0ms", 2147483647, time.Duration(0)),
	Entry("more than 64 bits", "1e30", "0ms", 2147483647, time.Duration(0)),
	Entry("negative", "-3", "-20ms", 0, time.Duration(0)),
	Entry("no time", "3", "soon", 3, time.Duration(0)),
	Entry("300 years", "3", "9999999999s", 3, 100*365*24*time.Hour),
)
