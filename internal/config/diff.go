package config

import (
	"bytes"

	"filbertusher/pkg/usher"
)

// PageCount is how many pages a configuration is split into.
const PageCount = pageCount

// Difference returns what has to be changed in from to get to.
func Difference(from, to *Snapshot) (changed []usher.Object, deleted []usher.ObjectKey) {
	differs := func(index bucketIndex) bool { return from.tree.buckets[index] != to.tree.buckets[index] }
	to.each(func(kind Kind, name string, value any) {
		if !differs(bucketOf(kind, name)) {
			return
		}
		object := encodeObject(Key(kind, name), value)
		if before, ok := from.Object(object.Key); !ok || !bytes.Equal(before.Value, object.Value) {
			changed = append(changed, object)
		}
	})
	from.each(func(kind Kind, name string, _ any) {
		if !differs(bucketOf(kind, name)) {
			return
		}
		if key := Key(kind, name); to.lookup(key) == nil {
			deleted = append(deleted, key)
		}
	})
	return changed, deleted
}

// PageDiffers says whether a page of the head holds other objects than s.
func (s *Snapshot) PageDiffers(head *Head, number int) bool {
	var digest usher.Digest
	if number < len(head.Pages) {
		digest = head.Pages[number]
	}
	return digest != s.tree.pages[number]
}

// PageObjects returns the objects of one page.
func (s *Snapshot) PageObjects(number int) []usher.Object {
	var objects []usher.Object
	s.each(func(kind Kind, name string, value any) {
		if pageOf(bucketOf(kind, name)) == number {
			objects = append(objects, encodeObject(Key(kind, name), value))
		}
	})
	return objects
}

// WithPages returns the snapshot in which whole pages are replaced.
func (s *Snapshot) WithPages(head *Head, pages map[int][]usher.Object) (*Snapshot, error) {
	var changed []usher.Object
	present := make(map[usher.ObjectKey]bool)
	for _, objects := range pages {
		changed = append(changed, objects...)
		for _, object := range objects {
			present[object.Key] = true
		}
	}
	var deleted []usher.ObjectKey
	s.each(func(kind Kind, name string, _ any) {
		if _, replaced := pages[pageOf(bucketOf(kind, name))]; !replaced {
			return
		}
		if key := Key(kind, name); !present[key] {
			deleted = append(deleted, key)
		}
	})
	return s.With(head, changed, deleted)
}
