// Package orderbook keeps the rollout orders that a gateway instance knows. They come from
// the directory, from other instances and from this instance's own writes, in any order.
package orderbook

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"filbertusher/pkg/usher"
)

// Book holds the rollout orders. It is safe for concurrent use.
type Book struct {
	onChange func(orders []usher.RolloutOrder)

	mu     sync.Mutex
	orders map[usher.ServiceName]usher.RolloutOrder
	// version is that of the latest known change, or of a later list. The book has all changes
	// up to it.
	version usher.Version
}

// New returns an empty book. onChange is called with all orders, one call at a time, after
// each change and when the orders are first known. It must not call the book.
func New(onChange func(orders []usher.RolloutOrder)) *Book {
	return &Book{onChange: onChange, orders: make(map[usher.ServiceName]usher.RolloutOrder)}
}

// List returns all orders by service, and the version of their latest known change, which is
// 0 while the orders are unknown.
func (b *Book) List() ([]usher.RolloutOrder, usher.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list(), b.version
}

func (b *Book) list() []usher.RolloutOrder {
	return slices.SortedFunc(maps.Values(b.orders), func(x, y usher.RolloutOrder) int { return cmp.Compare(x.Service, y.Service) })
}

// Version returns the version of the latest known change, or 0 while the orders are unknown.
func (b *Book) Version() usher.Version {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// Order returns the order of a service and whether there is one.
func (b *Book) Order(service usher.ServiceName) (usher.RolloutOrder, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	order, found := b.orders[service]
	return order, found
}

// IsEmpty reports whether no order is known.
func (b *Book) IsEmpty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.orders) == 0
}

// IsActive reports whether there is an order that is not carried out yet.
func (b *Book) IsActive() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, order := range b.orders {
		if order.IsActive() {
			return true
		}
	}
	return false
}

// Replace replaces the orders by all those that there were at a version, unless the book has
// later changes. With keepMissing, known orders that are not listed stay.
func (b *Book) Replace(list []usher.RolloutOrder, at usher.Version, keepMissing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at < b.version {
		return
	}
	listed := make(map[usher.ServiceName]usher.RolloutOrder, len(list))
	for _, order := range list {
		listed[order.Service] = order
	}
	changed := b.version == 0
	for service, known := range b.orders {
		if _, found := listed[service]; !found && !keepMissing && known.Written <= at {
			delete(b.orders, service)
			changed = true
		}
	}
	for _, order := range listed {
		changed = b.set(order) || changed
	}
	b.version = at
	if changed {
		b.onChange(b.list())
	}
}

// Apply applies the changes that a watch has returned, up to a version.
func (b *Book) Apply(changes []usher.RolloutChange, upTo usher.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(changes) == 0 || upTo <= b.version {
		return
	}
	changed := false
	for i := range changes {
		change := &changes[i]
		switch known, found := b.orders[change.Service]; {
		case change.Written != 0 && change.Written <= b.version:
		case !change.Withdrawn:
			changed = b.set(change.RolloutOrder) || changed
		case found && (change.Written == 0 || known.Written <= change.Written):
			delete(b.orders, change.Service)
			changed = true
		}
	}
	b.version = upTo
	if changed {
		b.onChange(b.list())
	}
}

// Set applies the result of this instance's own write.
func (b *Book) Set(order usher.RolloutOrder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// The order may have been withdrawn since, if the book has changes after the write.
	if order.Written <= b.version {
		return
	}
	if b.set(order) {
		b.onChange(b.list())
	}
}

// set keeps the order unless a later state of it is known, and reports whether it is news.
// The caller must hold b.mu.
func (b *Book) set(order usher.RolloutOrder) bool {
	known, found := b.orders[order.Service]
	if found && known.Written >= order.Written {
		return false
	}
	b.orders[order.Service] = order
	return true
}
