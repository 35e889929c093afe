package kvstore

// For tests of what a transaction's time does to the next one's.
var (
	Patience = (*Client).patience
	Took     = (*Client).took
)
