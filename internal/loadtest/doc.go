// Package loadtest runs load tests, which are not part of CI. It starts controllers as processes on
// loopback with a simulated cloud, key-value store and agents, submits jobs to them, records every
// user request and every change of a task, checks the recorded history and writes an HTML report.
package loadtest
