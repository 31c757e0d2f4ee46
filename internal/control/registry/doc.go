// Package registry agrees on the operators' configuration. The whole item set
// is a replicated state machine: change 1, change 2 and so on, each decided by
// a single-decree agreement (prepare, accept) among a majority of the view, one
// number at a time. A change is checked against the set that stands right
// before it, so the set is valid after every change, whoever proposes.
//
// The package holds pure types: no clock, no network and no disk. Package
// control owns the one Replica of a process, keeps what its methods report as
// changed on disk before it answers, and carries the messages.
package registry
