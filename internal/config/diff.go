package config

import (
	"bytes"

	"filbertusher/pkg/usher"
)

// PageCount is the number of pages that the objects of a configuration are
// distributed over.
const PageCount = pageCount

// Diff returns the objects to write and the keys to delete that turn one
// snapshot into another.
func Diff(from, to *Snapshot) (changed []usher.Object, deleted []usher.ObjectKey) {
	differs := func(index bucketIndex) bool { return from.tree.buckets[index] != to.tree.buckets[index] }
	to.forEach(func(kind Kind, name string, value any) {
		if !differs(bucketOf(kind, name)) {
			return
		}
		object := encodeObject(Key(kind, name), value)
		if before, ok := from.Object(object.Key); !ok || !bytes.Equal(before.Value, object.Value) {
			changed = append(changed, object)
		}
	})
	from.forEach(func(kind Kind, name string, _ any) {
		if !differs(bucketOf(kind, name)) {
			return
		}
		if key := Key(kind, name); to.lookup(key) == nil {
			deleted = append(deleted, key)
		}
	})
	return changed, deleted
}

// PageDiffers reports whether the digest of a page in head differs from that in
// s.
func (s *Snapshot) PageDiffers(head *Head, number int) bool {
	var digest usher.Digest
	if number < len(head.Pages) {
		digest = head.Pages[number]
	}
	return digest != s.tree.pages[number]
}

// PageObjects returns the encoded objects of one page.
func (s *Snapshot) PageObjects(number int) []usher.Object {
	var objects []usher.Object
	s.forEach(func(kind Kind, name string, value any) {
		if pageOf(bucketOf(kind, name)) == number {
			objects = append(objects, encodeObject(Key(kind, name), value))
		}
	})
	return objects
}

// WithPage returns a copy of s with head as its head and objects as the only
// contents of one page.
func (s *Snapshot) WithPage(head *Head, number int, objects []usher.Object) (*Snapshot, error) {
	present := make(map[usher.ObjectKey]bool, len(objects))
	for _, object := range objects {
		present[object.Key] = true
	}
	var deleted []usher.ObjectKey
	s.forEach(func(kind Kind, name string, _ any) {
		if pageOf(bucketOf(kind, name)) != number {
			return
		}
		if key := Key(kind, name); !present[key] {
			deleted = append(deleted, key)
		}
	})
	return s.With(head, objects, deleted)
}
