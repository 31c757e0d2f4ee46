// Package listing schedules how the control plane reads the platform's server list: when
// the next read starts, and which member reads in place of the leader. The latter depends
// on the pages that were read, never on heartbeats: a leader may be alive while its reads
// fail or hang.
//
// The types use no clock, network or disk. Only package control and the emulator import
// the package.
package listing
