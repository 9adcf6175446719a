package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

// The configuration is stored as a hash tree of three levels. A change to one of
// tens of thousands of workspaces therefore rewrites only three small values, and
// a reader with an older version fetches only what differs:
//
//	head ── 16 pages ── 16 buckets each ── the declared objects
//
// Pages and buckets, together called parts, are immutable and their keys contain
// the digest of their content. The head is the only value that is ever replaced;
// its conditional update commits a change atomically.
const (
	// pageCount is the number of pages that the head references.
	pageCount = 16
	// bucketsPerPage is the number of buckets that a page references.
	bucketsPerPage = 16
	// bucketCount is the number of buckets that the objects are hashed into.
	bucketCount = pageCount * bucketsPerPage
)

// bucketIndex is the number of a bucket, from 0 to bucketCount-1.
type bucketIndex int

// tree holds the digests of all pages and buckets. The digest of an empty one
// is the empty string.
type tree struct {
	pages   [pageCount]usher.Digest
	buckets [bucketCount]usher.Digest
}

// page is the stored form of a page.
type page struct {
	Buckets []usher.Digest `json:"buckets"`
}

// bucket is the stored form of a bucket. The objects are sorted by key, so that
// equal content has an equal encoding.
type bucket struct {
	Objects []bucketObject `json:"objects"`
}

type bucketObject struct {
	Key   usher.ObjectKey `json:"key"`
	Value json.RawMessage `json:"value"`
}

// bucketOf returns the bucket that an object belongs to.
func bucketOf(kind Kind, name string) bucketIndex {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(string(kind))
	_, _ = hash.WriteString("/")
	_, _ = hash.WriteString(name)
	return bucketIndex(hash.Sum64() % bucketCount)
}

// pageOf returns the page that references a bucket.
func pageOf(index bucketIndex) int { return int(index) / bucketsPerPage }

// encodeBucket returns the encoding and the digest of a bucket.
func encodeBucket(objects []usher.Object) ([]byte, usher.Digest, error) {
	if len(objects) == 0 {
		return nil, "", nil
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	content := bucket{Objects: make([]bucketObject, len(objects))}
	for i, object := range objects {
		content.Objects[i] = bucketObject{Key: object.Key, Value: object.Value}
	}
	return encodePart(content)
}

// encodePage returns the encoding and the digest of a page of t.
func (t *tree) encodePage(number int) ([]byte, usher.Digest, error) {
	buckets := t.buckets[number*bucketsPerPage : (number+1)*bucketsPerPage]
	empty := true
	for _, digest := range buckets {
		empty = empty && digest == ""
	}
	if empty {
		return nil, "", nil
	}
	return encodePart(page{Buckets: buckets})
}

func encodePart(content any) ([]byte, usher.Digest, error) {
	encoded, err := json.Marshal(content)
	if err != nil {
		return nil, "", err
	}
	sum := sha256.Sum256(encoded)
	return encoded, usher.Digest(hex.EncodeToString(sum[:])), nil
}
