package control

import (
	"fmt"
	"net"
	"testing"
	"time"

	"ploverhitch/internal/feed"
	"ploverhitch/internal/idempotency"
	"ploverhitch/internal/membership"
	"ploverhitch/internal/rpc"
	"ploverhitch/internal/settings"
	"ploverhitch/internal/storage"
	"ploverhitch/internal/timetable"
)

// BenchmarkRepair repairs a member of three from a full key window: 37,000
// operations, as 616 a second make in 60 s, with replies of 1,500 bytes. All three
// run in this process, so a member by itself has less to do.
func BenchmarkRepair(b *testing.B) {
	const operations, bytes = 37_000, 1500
	sources, view := []*node{benchMember(b), benchMember(b)}, membership.View{Epoch: 1}
	reader := benchMember(b)
	for _, m := range append(sources, reader) {
		view.Members = append(view.Members, m.self)
	}
	for _, m := range append(sources, reader) {
		m.adoptView(view)
	}
	for _, m := range sources {
		m.trust()
		fill(m, operations, bytes)
	}
	for b.Loop() {
		b.StopTimer()
		reader.store = benchKeeper(b)
		reader.adoptView(view)
		b.StartTimer()
		if !reader.rebuild(view) {
			b.Fatal("the member was not rebuilt")
		}
	}
}

func benchMember(b *testing.B) *node {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	m := &node{
		self: listener.Addr().String(), clock: timetable.Real(), hub: feed.NewHub(), log: func(string, string, ...any) {},
		connections: map[string]*rpc.Client{}, store: benchKeeper(b),
	}
	m.settings.Store(&settings.Settings{Tuning: settings.Defaults()})
	m.configReplicator = newConfigReplicator(m)
	m.callHandlers = m.newHandlers()
	go rpc.Serve(listener, m.newHandlers(), time.Second)
	return m
}

func benchKeeper(b *testing.B) *store {
	disk, err := storage.Folder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	policy := idempotency.Policy{KeyWindow: time.Minute, Retention: time.Hour}
	k, err := openStore(disk, policy, timetable.Real(), func(err error) { b.Error(err) })
	if err != nil {
		b.Fatal(err)
	}
	go k.run(b.Context())
	return k
}

func fill(m *node, operations, bytes int) {
	for from := 0; from < operations; from += 500 {
		m.store.persist(func(t *tables) (out []record) {
			for number := range 500 {
				if entry, err := t.voter.Record(completed(from+number, bytes)); err == nil {
					out = append(out, record{Entry: entry})
				}
			}
			return out
		}, 10*time.Second)
	}
}

// BenchmarkCheckpoint lays out the checkpoint of a full key window.
func BenchmarkCheckpoint(b *testing.B) {
	t := newTables(idempotency.Policy{})
	for number := range 37_000 {
		if _, err := t.voter.Record(completed(number, 1500)); err != nil {
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
