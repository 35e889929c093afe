// Package tuning defines the tunable constants of the service, with one file
// per concern. Values that depend on the deployment come from the settings and
// the machine types instead.
//
// A name ends in its unit if the type doesn't give it: S is seconds. A Share is
// a fraction of a whole, a Divisor is the reciprocal of a share, and a Factor is
// a multiple. A Weight is the weight of a new value in an exponential moving
// average, or of one cost relative to another.
package tuning
