package control

import (
	"time"

	"ploverhitch/internal/apierror"
	"ploverhitch/internal/config"
	"ploverhitch/internal/control/registry"
	"ploverhitch/internal/feed"
	"ploverhitch/internal/messages"
)

const (
	// pageBytes is the approximate size of the part of the item set, or of its
	// changes, that one frame or record carries.
	pageBytes = 64 << 10
	// maxCatchUpPages bounds how many frames one catch-up may take.
	maxCatchUpPages = 4096
	// learnTimeout bounds how long a catch-up waits for the local disk.
	learnTimeout = 2 * time.Second
)

// learn applies decided changes in the order of its calls and publishes them once they
// are persisted. Then it calls done; gap is true if changes are missing between this
// node's item set and those passed.
func (n *node) learn(changes []registry.Change, done func(gap bool)) {
	var items []config.Item
	gap := false
	n.store.enqueue(func(t *tables) (records []record) {
		for _, change := range changes {
			gap = gap || change.Index > t.registry.Next()
			r := record{Change: &change}
			if change.Index != t.registry.Next() {
				continue
			}
			t.apply(r)
			items, records = append(items, change.Items...), append(records, r)
		}
		return records
	}, func() {
		if len(items) > 0 {
			n.hub.Publish(feed.Update{Items: items})
		}
		done(gap)
	})
}

// learnAndWait calls learn and waits until the changes are persisted or learnTimeout
// expires.
func (n *node) learnAndWait(changes []registry.Change) {
	done := make(chan struct{})
	n.learn(changes, func(bool) { close(done) })
	closedWithin(done, learnTimeout)
}

// onLearn enqueues the changes before it returns, so that a Prepare for the next
// change, which follows on the same connection, finds them applied.
func (n *node) onLearn(in messages.Learn, _ func(messages.Ack)) {
	n.learn(in.Changes, func(gap bool) {
		if gap {
			go n.configReplicator.catchUpFrom(in.From)
		}
	})
}

func (n *node) onState(in messages.ReplicaState, reply func(registry.State)) {
	var state registry.State
	n.store.enqueue(func(t *tables) []record {
		if t.view.Epoch != in.Epoch || !t.view.Contains(n.self) {
			state.View = newerView(t, in.Epoch)
			return nil
		}
		state = t.registry.State()
		state.OK, state.Rebuilding = t.trusted, !t.trusted
		return nil
	}, func() { reply(state) })
}

func (n *node) onCatchUp(in messages.CatchUp, reply func(messages.CatchUpResponse)) {
	var missed messages.CatchUpResponse
	n.store.enqueue(func(t *tables) []record {
		if in.Paged {
			page := t.registry.PageAfter(in.After, pageBytes)
			missed.Page = &page
			return nil
		}
		changes, available, cheaper := t.registry.Since(in.From, pageBytes)
		if missed.Paged = !available || !cheaper && !in.ChangesOnly; !missed.Paged {
			missed.Changes = changes
		}
		return nil
	}, func() { reply(missed) })
}

// catchUpFrom brings this node's item set up to that of another member. It does
// nothing while another catch-up is running.
func (r *configReplicator) catchUpFrom(member string) {
	if member == "" || member == r.node.self {
		return
	}
	select {
	case r.catchingUp <- struct{}{}:
	default:
		return
	}
	defer func() { <-r.catchingUp }()
	if err := r.node.catchUp(member); err != nil {
		r.node.log("info", "cannot catch up with the configuration", "member", member, "error", err)
	}
}

// catchUp reads what this node lacks from another member: the missing changes or,
// where that is smaller or the changes are no longer available, the whole set.
func (n *node) catchUp(member string) error {
	for range maxCatchUpPages {
		var from registry.Index
		n.store.read(func(t *tables) { from = t.registry.Index })
		var missed messages.CatchUpResponse
		if err := n.call(member, messages.KindCatchUp, messages.CatchUp{From: from}, &missed, callTimeout); err != nil {
			return err
		}
		switch {
		case missed.Paged:
			if err := n.catchUpByPages(member); err != nil {
				return err
			}
		case len(missed.Changes) == 0:
			return nil
		default:
			n.learnAndWait(missed.Changes)
		}
	}
	return apierror.New(apierror.ControlPlaneUnavailable, "configuration changes arrive faster than they can be read")
}

// catchUpByPages reads the whole set page by page, then the changes made meanwhile.
func (n *node) catchUpByPages(member string) error {
	var assembly registry.Assembly
	var changes []registry.Change
	var after *config.ID
	first := registry.Index(0)
	for number := range maxCatchUpPages {
		var missed messages.CatchUpResponse
		if err := n.call(member, messages.KindCatchUp, messages.CatchUp{Paged: true, After: after}, &missed, callTimeout); err != nil {
			return err
		}
		if missed.Page == nil {
			return apierror.New(apierror.ControlPlaneUnavailable, "the member returned no page of the configuration")
		}
		if assembly.Add(*missed.Page); number == 0 {
			first = missed.Page.Index
		}
		if after = missed.Page.After(); missed.Page.Last {
			break
		}
	}
	for index := first; ; {
		var missed messages.CatchUpResponse
		if err := n.call(member, messages.KindCatchUp, messages.CatchUp{From: index, ChangesOnly: true}, &missed, callTimeout); err != nil {
			return err
		}
		if missed.Paged || len(missed.Changes) == 0 {
			break
		}
		changes = append(changes, missed.Changes...)
		index = changes[len(changes)-1].Index
	}
	set, complete := assembly.Finish(changes)
	if !complete {
		return apierror.New(apierror.ControlPlaneUnavailable, "changes made while the configuration was read are missing")
	}
	n.installSet(set)
	return nil
}

// installSet replaces this node's item set, persists it and publishes it.
func (n *node) installSet(set *registry.Set) {
	installed := false
	n.store.persist(func(t *tables) (records []record) {
		if installed = t.registry.Install(set); !installed {
			return nil
		}
		t.digest = ""
		for page := range set.Pages(pageBytes) {
			records = append(records, record{Page: &page})
		}
		return records
	}, 10*time.Second)
	if installed {
		n.publishState()
	}
}
