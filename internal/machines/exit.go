package machines

// ExitKey names an attempt in a machine's list.
type ExitKey struct {
	Task    string
	Attempt uint64
}

// Exit is an exited attempt in a machine's list.
type Exit struct {
	ExitKey
	Forget bool // nobody needs the worker's memory of it any more
}
