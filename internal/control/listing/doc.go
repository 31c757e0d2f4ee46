// Package listing has the rules by which the core reads the platform's list: when the
// next reading begins, and which member reads in the stead of the holder of the duty.
// That goes by readings that were completed, never by heartbeats: a holder may be alive
// while its readings fail or stand still.
//
// Its state is a pure type without clock, network or disk. Package control owns it and
// is, with the emulator, the only one to import it.
package listing
