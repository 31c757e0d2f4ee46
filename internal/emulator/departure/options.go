package departure

import "time"

// Size is how large a deployment is.
type Size struct {
	// Pages is how many pages the platform's list has, in so many Zones.
	Pages, Zones int
	// Rate is how many calls a second the platform takes from all nodes.
	Rate float64
	// Members is how many members the view has, Proxies how many proxies follow them.
	Members, Proxies int
}

// Scenario is what goes wrong in a run.
type Scenario string

// The scenarios. In the first eight the core counts as settled throughout.
const (
	Calm Scenario = "calm"
	// PlatformSlow: one call in twenty hangs, and all take longer.
	PlatformSlow Scenario = "platform-slow"
	// ReaderStuck: the platform hangs for the holder alone, whose heartbeats go on.
	ReaderStuck Scenario = "reader-stuck"
	// CoordinatorHeld: the holder's coordinator stands still.
	CoordinatorHeld Scenario = "coordinator-held"
	// LinksFull: news to proxies take three times as long.
	LinksFull Scenario = "links-full"
	// Busy: processors are short, at the holder and at the proxies.
	Busy Scenario = "busy"
	// HolderBusy: the holder's own processor is short, as while a member rebuilds from
	// it, and each page takes long.
	HolderBusy Scenario = "holder-busy"
	// DutyMoves: the holder becomes unfit and fit again.
	DutyMoves Scenario = "duty-moves"
	// HolderKilled, HolderFrozen and DiskStalled strike the holder.
	HolderKilled Scenario = "holder-killed"
	HolderFrozen Scenario = "holder-frozen"
	DiskStalled  Scenario = "disk-stalled"
	// Mixed draws one of the others for each fault.
	Mixed Scenario = "mixed"
)

// Scenarios are all scenarios.
//
// Example:
//
//	for _, scenario := range departure.Scenarios() { run(scenario) }
func Scenarios() []Scenario {
	return []Scenario{Calm, PlatformSlow, ReaderStuck, CoordinatorHeld, LinksFull, Busy, HolderBusy, DutyMoves, HolderKilled, HolderFrozen, DiskStalled, Mixed}
}

// Guards are the rules of the chain that can be taken out.
type Guards struct {
	// IsFinal: no hop forgets that a server leaves.
	IsFinal bool
	// IsByPage: who leaves is told with the page that shows it.
	IsByPage bool
	// IsByReadings: members stand by on overdue readings, and not on silent heartbeats.
	IsByReadings bool
	// IsFreshList: a holder goes on from the newest fleet, not from its own last list.
	IsFreshList bool
	// IsResumed: a reading whose page failed goes on from there.
	IsResumed bool
	// IsByZone: the zones of the list are read side by side; IsSpread: their calls are
	// spread so that no second sees too many.
	IsByZone, IsSpread bool
}

// Present are the rules as they are in force.
//
// Example:
//
//	result := departure.Run(departure.Options{Guards: departure.Present()})
func Present() Guards {
	return Guards{IsFinal: true, IsByPage: true, IsByReadings: true, IsFreshList: true, IsResumed: true, IsByZone: true, IsSpread: true}
}

// Options choose one run.
type Options struct {
	Seed     uint64
	Size     Size
	Scenario Scenario
	Guards   Guards
}

// RunSpan is how long a run lasts.
const RunSpan = 60 * time.Second

// The spans of the model.
const (
	// lastDeparture is when the last server leaves, so that all are seen to their end.
	lastDeparture = 50 * time.Second
	pollPeriod    = 700 * time.Millisecond
	// contactSpan is how long after a fault of the core it counts as settled again.
	contactSpan = 4 * time.Second
	// silentAfter moves the duty; readerLook is how often a member looks whether it is
	// to read.
	silentAfter = 1200 * time.Millisecond
	readerLook  = 50 * time.Millisecond
	dutyLook    = 100 * time.Millisecond
	unfitSpan   = 3 * time.Second
	failedPolls = 4
	// publishPeriod is how often the holder lays out the fleet anew, and
	// publishPatience how long a reading had to show before it was told beside it.
	publishPeriod   = 300 * time.Millisecond
	publishPatience = 100 * time.Millisecond
	// standbyFrom and standbyTo bound the silence of heartbeats in which members stood
	// by, and watchers is how many did.
	standbyFrom = silentAfter / 2
	standbyTo   = 4 * time.Second
	watchers    = 2
	// oldShare is the part of the platform's rate that the holder once took.
	oldShare = 0.5
	// markSpan is how long a proxy once held a report that a server leaves.
	markSpan = 10 * time.Second
	// A page gets another call beside one that is late, and fails in the end.
	patience   = 250 * time.Millisecond
	pageSpan   = 800 * time.Millisecond
	retryPause = 250 * time.Millisecond
	pageTries  = 3
	resumeSpan = 2 * time.Second
	// followed is how many members a proxy follows.
	followed = 3
	// perPage is how many servers a page has in the model.
	perPage = 8
	// shortestEnd and longestEnd are how long a server serves on once it leaves.
	shortestEnd = 2500 * time.Millisecond
	longestEnd  = 9 * time.Second
)
