// Package tuning holds every constant of the service, each with its unit and
// the reason for its value, in one file for each concern. What depends on a
// deployment comes from the settings and the machine types instead.
//
// Names end in the unit where the type doesn't tell it: S is seconds. A Share
// is a fraction of a whole, a Divisor its reciprocal, a Factor a multiple, and
// a Weight that of a new value in an exponential moving average or of one cost
// against another.
package tuning
