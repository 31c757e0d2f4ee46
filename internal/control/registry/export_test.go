package registry

// PastSet gives the specs a replica's set at an earlier index.
var PastSet = (*Replica).pastSet
