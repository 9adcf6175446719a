package store

import (
	"encoding/json"
	"strings"

	"filbertusher/pkg/usher"
)

// wireObject is an object in the JSON form of the platform's API.
type wireObject struct {
	Metadata wireMetadata    `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// wireMetadata is the metadata of an object. The simulated store has no finalizers,
// and its objects are never in the state of being deleted.
type wireMetadata struct {
	Name       string        `json:"name"`
	Revision   usher.Version `json:"revision"`
	Finalizers []string      `json:"finalizers"`
	Deleting   bool          `json:"deleting"`
}

// listResponse is one page of the response to a list call.
type listResponse struct {
	Entries  []wireObject  `json:"entries"`
	More     bool          `json:"has_more"`
	Revision usher.Version `json:"current_rev"`
}

// wireEvent is a change of an object in the response to a watch.
type wireEvent struct {
	Object  wireObject `json:"object"`
	Deleted bool       `json:"deleted"`
}

// watchResponse is the response to a watch.
type watchResponse struct {
	Events   []wireEvent   `json:"events"`
	Revision usher.Version `json:"current_rev"`
}

func toWire(object usher.Object, status []byte) wireObject {
	_, name, _ := strings.Cut(string(object.Key), "/")
	spec := json.RawMessage(object.Value)
	if len(spec) == 0 {
		spec = json.RawMessage("null")
	}
	if status == nil {
		status = []byte("null")
	}
	return wireObject{
		Metadata: wireMetadata{Name: name, Revision: object.Version, Finalizers: []string{}},
		Spec:     spec, Status: status,
	}
}
