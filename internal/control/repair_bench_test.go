package control

import (
	"fmt"
	"net"
	"testing"
	"time"

	"ploverhitch/internal/clock"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/storage"
)

// BenchmarkRepair rebuilds one of three members from a full key window: 37,000
// operations, which is 616 per second for 60 s, with response bodies of 1,500 bytes. All
// three members run in this process, so a member with a machine of its own has less to do.
func BenchmarkRepair(b *testing.B) {
	const operations, bytes = 37_000, 1500
	sources, view := []*node{newBenchMember(b), newBenchMember(b)}, membership.View{Epoch: 1}
	rebuilt := newBenchMember(b)
	for _, m := range append(sources, rebuilt) {
		view.Members = append(view.Members, m.self)
	}
	for _, m := range append(sources, rebuilt) {
		m.adoptView(view)
	}
	for _, m := range sources {
		m.trust()
		storeIntents(m, operations, bytes)
	}
	for b.Loop() {
		b.StopTimer()
		rebuilt.store = newBenchStore(b)
		rebuilt.adoptView(view)
		b.StartTimer()
		if !rebuilt.rebuild(view) {
			b.Fatal("the member was not rebuilt")
		}
	}
}

func newBenchMember(b *testing.B) *node {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	m := &node{
		self: listener.Addr().String(), clock: clock.Real(), hub: feed.NewHub(), log: func(string, string, ...any) {},
		connections: map[string]*rpc.Client{}, store: newBenchStore(b),
	}
	m.settings.Store(&settings.Settings{Tuning: settings.Defaults()})
	m.configReplicator = newConfigReplicator(m)
	m.callHandlers = m.newHandlers()
	go rpc.Serve(listener, m.newHandlers(), time.Second)
	return m
}

func newBenchStore(b *testing.B) *store {
	disk, err := storage.OpenDir(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	policy := idempotency.Policy{KeyWindow: time.Minute, Retention: time.Hour}
	s, err := openStore(disk, policy, clock.Real(), func(err error) { b.Error(err) })
	if err != nil {
		b.Fatal(err)
	}
	go s.run(b.Context())
	return s
}

func storeIntents(m *node, count, bytes int) {
	for first := 0; first < count; first += 500 {
		m.store.persist(func(t *tables) (records []record) {
			for number := range 500 {
				if entry, err := t.voter.Record(completedIntent(first+number, bytes)); err == nil {
					records = append(records, record{Entry: entry})
				}
			}
			return records
		}, 10*time.Second)
	}
}

// BenchmarkCheckpoint creates the records of a checkpoint of a full key window.
func BenchmarkCheckpoint(b *testing.B) {
	t := newTables(idempotency.Policy{})
	for number := range 37_000 {
		if _, err := t.voter.Record(completedIntent(number, 1500)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		count := 0
		for range t.snapshot() {
			count++
		}
		if count < 37_000 {
			b.Fatal(fmt.Sprint(count, " records"))
		}
	}
}
