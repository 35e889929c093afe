// Package autoscale plans which machines to provision and which to release. A plan depends only on
// a snapshot of demand and machines. The package reads no clock and does no I/O.
package autoscale
