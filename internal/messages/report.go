package messages

import (
	"ploverhitch/internal/mirror"
	"ploverhitch/internal/outlier"
	"ploverhitch/internal/shedding"
	"ploverhitch/internal/sites"
)

// ProxyReport is a proxy's periodic report to the leader: its measurements, its zone,
// and its running requests at each site.
type ProxyReport struct {
	Evidence outlier.Report `cbor:"1,keyasint"`
	Zone     string         `cbor:"2,keyasint,omitempty"`
	Uses     []sites.Usage  `cbor:"3,keyasint,omitempty"`
	// Loads and Mirrors count the load and the mirrored requests since the last report
	// that was received.
	Loads   []shedding.Load     `cbor:"4,keyasint,omitempty"`
	Mirrors []mirror.CountDelta `cbor:"5,keyasint,omitempty"`
}

// ProxyReportResponse is the response to ProxyReport: how much capacity of other
// sites the proxy may use.
type ProxyReportResponse struct {
	CapacityLeases []sites.Lease `cbor:"1,keyasint,omitempty"`
}
