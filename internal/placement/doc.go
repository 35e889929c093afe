// Package placement decides which ready task starts on which machine. It works
// on a snapshot of the cluster, reads no clock and starts no tasks itself.
//
// The algorithm is File Locality-Aware Scheduling from Bryk, Malawski, Juve and
// Deelman, "Storage-aware Algorithms for Scheduling of Workflow Ensembles in
// Clouds", section 4.2, with images instead of files and machines that run
// several tasks at once; docs/design.md lists the differences from the paper. The
// term "the paper" in this package refers to it.
package placement
