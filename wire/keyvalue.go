package wire

import "encoding/json"

// MaxKeyBytes is the maximum length of a key of the key-value store.
const MaxKeyBytes = 200

// Compare is a condition of a transaction: the key's version, 0 if the key is absent.
type Compare struct {
	Key     string `json:"path"`
	Version uint64 `json:"mark"`
}

// Mutation is a change of a transaction: a put or a delete.
type Mutation struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Lease  uint64          `json:"mooring,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Key returns the key that the mutation changes.
func (m Mutation) Key() string {
	if m.Delete != "" {
		return m.Delete
	}
	return m.Put
}

// Txn is a compare-and-swap transaction on several keys. All mutations are
// applied if all conditions hold, and none otherwise.
type Txn struct {
	If   []Compare  `json:"guards"`
	Then []Mutation `json:"writes"`
}

// TxnResult is the response to a transaction. FailedKeys is set with status 409.
type TxnResult struct {
	Revision   uint64   `json:"logpage"`
	FailedKeys []string `json:"failed"`
}

// KeyValue is a key with its value. If the key does not exist, only Revision is
// set.
type KeyValue struct {
	Key      string          `json:"path"`
	Value    json.RawMessage `json:"v"`
	Version  uint64          `json:"mark"`
	Lease    uint64          `json:"mooring,omitempty"`
	Revision uint64          `json:"logpage,omitempty"`
}

// KeyValuePage is a page of keys.
type KeyValuePage struct {
	Items    []KeyValue `json:"rows"`
	More     bool       `json:"hasNext"`
	Revision uint64     `json:"logpage"`
}

// LeaseRequest requests a lease.
type LeaseRequest struct {
	TTLMS int64 `json:"lifeMs"`
}

// LeaseResponse holds the ID of the granted lease.
type LeaseResponse struct {
	Lease uint64 `json:"mooring"`
}

// Event is a change of a key.
type Event struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	Version uint64          `json:"mark"`
	Delete  string          `json:"delete,omitempty"`
}

// WatchResponse is the response to a watch: the changes up to a revision of the
// store.
type WatchResponse struct {
	Revision uint64  `json:"logpage"`
	Events   []Event `json:"log"`
}
