package messages

import (
	"ploverhitch/internal/branchline"
	"ploverhitch/internal/mirror"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/shedding"
)

// Report is what a proxy tells the holder of the duty: what it counted, where
// it is, and what it has under way at which site.
type Report struct {
	Evidence outlier.Report   `cbor:"1,keyasint"`
	Cell     string           `cbor:"2,keyasint,omitempty"`
	Uses     []branchline.Use `cbor:"3,keyasint,omitempty"`
	// Loads are what the proxy counted of its load, Mirrored what of its copies,
	// since the last report that arrived.
	Loads    []shedding.Load     `cbor:"4,keyasint,omitempty"`
	Mirrored []mirror.CountDelta `cbor:"5,keyasint,omitempty"`
}

// Lots is the reply: how much of other sites' room the proxy may use.
type Lots struct {
	Lots []branchline.Lot `cbor:"1,keyasint,omitempty"`
}
