package points

import (
	"crypto/sha256"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"ploverhitch/internal/balancer"
	"ploverhitch/internal/config"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/loopline"
	"ploverhitch/internal/messages"
	"ploverhitch/internal/upstream"
)

const (
	copyInbox   = 64
	copyWorkers = 2
	copyBytes   = 64 << 10
	// copyWindow bounds what a shadow may put on its way of a reply that is not
	// read to its end.
	copyWindow = 4 << 10
)

// copied is one original whose copy waits for its turn.
type copied struct {
	mirror  *config.Mirror
	record  *loopline.Record
	inquiry *upstream.Request
	lane    *config.Route
	hash    uint64
	era     uint64
	place   balancer.Place
	due     time.Duration
	// The original's reply: its status, its length, the digest of its body if all
	// of that was at hand, and how long it took.
	status   int
	length   int64
	body     [sha256.Size]byte
	hasBody  bool
	tookLive time.Duration
}

// copier copies originals beside the path of inquiries. Its inbox drops what it
// cannot hold.
type copier struct {
	inbox   chan copied
	lock    sync.Mutex
	records map[string]*loopline.Record
	racks   map[string]*upstream.Pool
}

func newCopier() *copier {
	return &copier{inbox: make(chan copied, copyInbox), records: map[string]*loopline.Record{}, racks: map[string]*upstream.Pool{}}
}

// keep closes the connections to servers that are no longer listed under their address.
func (c *copier) keep(servers []feed.Server) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if len(c.racks) == 0 {
		return
	}
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[rackName(server)] = true
	}
	for name, rack := range c.racks {
		if !listed[name] {
			rack.Close()
			delete(c.racks, name)
		}
	}
}

func rackName(server feed.Server) string { return server.ID + " " + server.Address }

func (c *copier) record(name string) *loopline.Record {
	c.lock.Lock()
	defer c.lock.Unlock()
	record := c.records[name]
	if record == nil {
		record = loopline.NewRecord()
		c.records[name] = record
	}
	return record
}

// rack holds the connections to one shadow server, apart from all others.
func (c *copier) rack(server *balancer.Siding) *upstream.Pool {
	c.lock.Lock()
	defer c.lock.Unlock()
	name := rackName(server.Server)
	rack := c.racks[name]
	if rack == nil {
		rack = &upstream.Pool{Address: server.Address, Instance: server.ID, ReceiveWindow: copyWindow}
		c.racks[name] = rack
	}
	return rack
}

// mirror offers the copy of an inquiry that has ended, once its client has the
// reply. reply is nil where none came; isOpen tells that it may have run all the
// same.
func (p *proxy) mirror(one *inquiry, reply *upstream.Response, isOpen bool) {
	if one == nil || one.lane == nil || one.lane.Mirror == nil || one.isReplayed || reply == nil && !isOpen {
		return
	}
	m := one.lane.Mirror
	grant, isHeld := one.sight.mirrorGrant(m)
	if !isHeld {
		return
	}
	record := p.copier.record(m.Name)
	conversation := m.Conversation(one.Header, one.key.Key, one.client)
	draw := m.Draw(one.lane.Host, conversation)
	if draw >= grant.Share {
		return
	}
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(one.lane.Host + "\x00" + conversation))
	hash := sum.Sum64()
	record.Under(grant)
	number, era := record.Meet(hash, draw)
	switch {
	case reply == nil:
		record.Miss(hash, era, "the original's outcome is not known")
		return
	case !one.sight.holdsGrants(p.clock.Steady()):
		record.Miss(hash, era, "the order had lapsed here")
		return
	}
	job := copied{
		mirror: m, record: record, lane: one.lane, hash: hash, era: era, place: balancer.Place(hash), due: time.Until(one.due) + time.Since(one.arrived),
		status: reply.Status, length: reply.Length, tookLive: one.took,
	}
	if job.hasBody = reply.Remainder == nil; job.hasBody {
		job.body = sha256.Sum256(reply.Body)
	}
	inquiry := *one.Request
	inquiry.Header = one.Header.Clone()
	inquiry.Header.Set(loopline.Marker, fmt.Sprintf("%s; version=%d; node=%s; number=%d; at=%d; settled=%t",
		m.Name, m.Version, p.set.Load().Platform.NodeName, number, p.clock.Wall().UnixMilli(), grant.IsSettled))
	job.inquiry = &inquiry
	select {
	case p.copier.inbox <- job:
	default:
		record.Miss(hash, era, "the inbox was full")
	}
}

// mirrorGrant is the grant of a mirror that this node heard last, whether it holds
// still or not.
func (s *sight) mirrorGrant(m *config.Mirror) (grant loopline.Grant, isHeld bool) {
	for _, grant = range s.mirrors {
		if grant.Name == m.Name && grant.Version == uint64(m.Version) {
			return grant, true
		}
	}
	return loopline.Grant{}, false
}

// mirrored is what this node knows of its copies.
func (p *proxy) mirrored(struct{}) messages.Mirrored {
	out := messages.Mirrored{Node: p.set.Load().Platform.NodeName, Life: p.life, Pages: map[string]loopline.Page{}}
	for name, record := range p.copier.all() {
		out.Pages[name] = record.Page()
	}
	return out
}

func (c *copier) all() map[string]*loopline.Record {
	c.lock.Lock()
	defer c.lock.Unlock()
	out := map[string]*loopline.Record{}
	for name, record := range c.records {
		out[name] = record
	}
	return out
}

// tallies are what is reported of the copies.
func (c *copier) tallies() (out []loopline.Tally) {
	for name, record := range c.all() {
		out = append(out, record.Tell(name))
	}
	return out
}
