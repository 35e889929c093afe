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

// encode returns the record as the value to store.
func (r LeaderRecord) encode() json.RawMessage {
	value, _ := json.Marshal(r) // can't fail: a string and an integer
	return value
}

// decodeLeader decodes the value of the leader key.
func decodeLeader(value json.RawMessage) (LeaderRecord, error) {
	var record LeaderRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return record, fmt.Errorf("decode leader record: %w", err)
	}
	return record, nil
}

// decodeTerm decodes the value of the term key.
func decodeTerm(value json.RawMessage) (kvstore.TermRecord, error) {
	var record kvstore.TermRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return record, fmt.Errorf("decode term record: %w", err)
	}
	return record, nil
}

// NewCampaignTxn returns a transaction that puts the leader key on a lease and stores the term,
// provided that both keys still have the given versions.
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
