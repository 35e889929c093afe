// Package placement decides which ready task starts on which machine. It is
// pure: it works on a snapshot, reads no clock and starts nothing.
//
// The rule is File Locality-Aware Scheduling from Bryk, Malawski, Juve and
// Deelman, "Storage-aware Algorithms for Scheduling of Workflow Ensembles in
// Clouds", section 4.2, with images instead of files and machines that run
// several tasks at once; docs/design.md says what was kept and what was changed.
package placement
