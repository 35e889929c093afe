package election

import (
	"encoding/json"
	"fmt"

	"switchshore.example/switchshore/internal/kvstore"
	"switchshore.example/switchshore/wire"
)

// LeaderRecord is the value of the leader key.
type LeaderRecord struct {
	Node  string `json:"node"`
	Nonce uint64 `json:"nonce"`
}

// encode returns the value to be stored.
func (r LeaderRecord) encode() json.RawMessage {
	value, _ := json.Marshal(r) // a text and an integer: it can't fail
	return value
}

// decodeLeader reads the value of the leader key.
func decodeLeader(value json.RawMessage) (LeaderRecord, error) {
	var record LeaderRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return record, fmt.Errorf("leader record: %w", err)
	}
	return record, nil
}

// decodeTerm reads the value of the term key.
func decodeTerm(value json.RawMessage) (kvstore.TermRecord, error) {
	var record kvstore.TermRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return record, fmt.Errorf("term record: %w", err)
	}
	return record, nil
}

// NewCampaignTxn takes the leader key on a lease and raises the term, if both
// keys still have the versions read.
func NewCampaignTxn(record LeaderRecord, term, lease, leaderVersion, termVersion uint64) wire.Txn {
	return wire.Txn{
		If: []wire.Compare{
			{Key: kvstore.KeyLeader, Version: leaderVersion},
			{Key: kvstore.KeyTerm, Version: termVersion},
		},
		Then: []wire.Mutation{
			{Put: kvstore.KeyLeader, Value: record.encode(), Lease: lease},
			{Put: kvstore.KeyTerm, Value: kvstore.TermRecord{Term: term}.Encode()},
		},
	}
}
