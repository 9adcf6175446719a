package store

import (
	"encoding/json"
	"strings"

	"filbertusher/pkg/usher"
)

// wireObject is an object as the platform's API shows it.
type wireObject struct {
	Metadata wireMetadata    `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type wireMetadata struct {
	Name       string        `json:"name"`
	Revision   usher.Version `json:"revision"`
	Finalizers []string      `json:"finalizers"`
	Deleting   bool          `json:"deleting"`
}

type listReply struct {
	Entries  []wireObject  `json:"entries"`
	More     bool          `json:"has_more"`
	Revision usher.Version `json:"current_rev"`
}

type wireEvent struct {
	Object  wireObject `json:"object"`
	Deleted bool       `json:"deleted"`
}

type watchReply struct {
	Events   []wireEvent   `json:"events"`
	Revision usher.Version `json:"current_rev"`
}

func toWire(found usher.Object) wireObject {
	_, name, _ := strings.Cut(string(found.Key), "/")
	spec := json.RawMessage(found.Value)
	if len(spec) == 0 {
		spec = json.RawMessage("null")
	}
	return wireObject{
		Metadata: wireMetadata{Name: name, Revision: found.Version, Finalizers: []string{}},
		Spec:     spec, Status: json.RawMessage("null"),
	}
}
