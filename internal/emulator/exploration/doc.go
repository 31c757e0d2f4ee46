// Package exploration visits, breadth first, every state that a small model of
// the control plane can reach: three members, two proposers, messages that come
// in any order, twice or never, one crash of a proposer and one lost disk. The
// members are the real pure types of registry and membership; only what carries
// their messages is modelled.
package exploration
