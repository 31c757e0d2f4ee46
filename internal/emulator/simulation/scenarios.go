package simulation

// Scenario names what goes wrong in a run.
type Scenario string

// The scenarios.
const (
	// Calm has only the network's usual weather.
	Calm Scenario = "calm"
	// OneCut keeps one member cut off.
	OneCut Scenario = "one-member-cut"
	// Storm mixes every fault.
	Storm Scenario = "storm"
	// PowerCuts restarts members quickly, with and without a loss of power, while
	// messages are slow.
	PowerCuts Scenario = "power-cuts"
	// DiskLosses wipes one member after another, while messages are slow.
	DiskLosses Scenario = "disk-losses"
	// Replacements cuts members off and has them replaced.
	Replacements Scenario = "replacements"
)

// Scenarios lists them all.
//
// Example:
//
//	for _, scenario := range simulation.Scenarios() { run(scenario) }
func Scenarios() []Scenario {
	return []Scenario{Calm, OneCut, Storm, PowerCuts, DiskLosses, Replacements}
}
