package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"

	"filbertusher/pkg/usher"
)

// The stored configuration is a tree of three levels, so that a change of one
// workspace among tens of thousands rewrites three small values and a reader
// that is behind fetches only what differs:
//
//	head ── 16 pages ── 16 buckets each ── the declared objects
//
// Pages and buckets are immutable and named by the digest of their content.
// The head is the only value that is ever replaced; its conditional update is
// the one point at which a change is accepted, whole or not at all.
const (
	// pageCount is how many pages the head names.
	pageCount = 16
	// bucketsPerPage is how many buckets a page names.
	bucketsPerPage = 16
	// bucketCount is how many buckets the objects are hashed into.
	bucketCount = pageCount * bucketsPerPage
)

// bucketIndex numbers a bucket from 0.
type bucketIndex int

// tree is the digests of every page and bucket. An empty one has no digest.
type tree struct {
	pages   [pageCount]usher.Digest
	buckets [bucketCount]usher.Digest
}

// page is the stored form of a page.
type page struct {
	Buckets []usher.Digest `json:"buckets"`
}

// bucket is the stored form of a bucket. The objects are ordered by key, so
// that equal content has equal bytes.
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

// pageOf returns the page that names a bucket.
func pageOf(index bucketIndex) int { return int(index) / bucketsPerPage }

// encodeBucket returns the stored bytes and the digest of a bucket.
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

// encodePage returns the stored bytes and the digest of a page of t.
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
