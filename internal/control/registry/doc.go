// Package registry replicates the operators' configuration by consensus. The item
// set is a replicated state machine whose changes are numbered from 1. Each change
// is decided by single-decree Paxos (prepare, accept) among a majority of the view,
// one index at a time. A change is validated against the set that precedes it, so
// the set is valid after every change, whichever member proposes.
//
// The types use no clock, network or disk. Package control owns the Replica of a
// process, persists the state that its methods report as changed before it
// responds, and sends the messages.
package registry
