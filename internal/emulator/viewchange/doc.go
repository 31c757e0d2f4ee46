// Package viewchange plays overlapping losses of control members against the rule by which
// the leader changes the view: every schedule of two replaced machines, one cut and one lost
// disk, on a grid of times. It uses the real membership.LivenessWatch, with one heartbeat
// interval as its step, and checks that the core never loses a vote that a majority gave and
// serves again within Recovery.
package viewchange
