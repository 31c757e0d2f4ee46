// Package simulation runs the control plane as a deterministic discrete-event
// simulation: from one seed come the delays, losses and duplicates of messages,
// the partitions, the crashes, the losses of power and of disks, and the load.
// The nodes hold the real pure types (registry, membership, idempotency and
// the log of storage); only what carries their messages is simulated.
package simulation
