package control

import (
	"slices"

	"ploverhitch/internal/config"
	"ploverhitch/internal/derail"
	"ploverhitch/internal/messages"
)

// gather learns what a majority holds: the union of enough trusted members'
// items, and those of them that this reading found not everywhere the same.
func (b *box) gather() (book config.Book, isUneven bool, err error) {
	book, digest := config.Book{}, ""
	b.keeper.read(func(t *tables) { book, digest = t.book.Clone(), t.bookDigest() })
	view, count := b.view(), 0
	askAll(b, view.Members, messages.KindBook, messages.Book{Digest: digest}, askSpan,
		func(_ string, items messages.Items) bool {
			if !items.IsTrusted {
				return false
			}
			if !items.IsSame {
				isUneven = true
				book.Merge(items.Items)
			}
			count++
			return count >= view.Majority()
		})
	if count < view.Majority() || count == 0 {
		return nil, false, derail.New(derail.Gone, "reading the manifest")
	}
	return book, isUneven, nil
}

// spread keeps items on a majority of the members.
func (b *box) spread(items []config.Item) error {
	view := b.view()
	if !slices.Contains(view.Members, b.self) {
		b.store(items, func() {})
	}
	if !b.isDone(view, messages.KindStore, messages.Store{Items: items}, keepSpan) {
		return derail.New(derail.Gone, "keeping the manifest")
	}
	return nil
}

// modify takes an operator's call: it is checked against what a majority
// holds, kept on a majority, and only then acknowledged.
func (b *box) modify(items []config.Item) error {
	b.modifyLock.Lock()
	defer b.modifyLock.Unlock()
	book, isUneven, err := b.gather()
	if err != nil {
		return err
	}
	newer, book, err := book.Accept(items)
	if err == nil {
		err = b.checkSites(book)
	}
	if err == nil {
		err = book.CheckOwn(newer, b.clock.Wall())
	}
	if err != nil {
		return err
	}
	if isUneven {
		// What some have and others lack is settled with the same write.
		newer = book.Items()
	}
	if len(newer) == 0 {
		return nil
	}
	return b.spread(newer)
}

// read returns the manifest that a majority holds. Items that only some have
// are first spread, so that no later reading goes back.
func (b *box) read() (config.Book, error) {
	book, isUneven, err := b.gather()
	if err == nil && isUneven {
		err = b.spread(book.Items())
	}
	return book, err
}
