// Package loadtest measures outside CI: it runs controllers as processes on loopback against a
// simulated cloud, store and agents and under load, records every exchange with users and every
// change of a task, checks the history, and draws a report.
package loadtest
