package gateway

const (
	// millicoresPerCore converts the configured number of cores, which may be a fraction, to the integer size that members compare.
	millicoresPerCore = 1000
	// millicoresPerMegabit is the processor time, in thousandths of a core, that a serving instance needs for a megabit per second to
	// callers. Two deployments measured 4.8 and 9.3 at their usual requests (docs/design/0010-who-serves.md).
	millicoresPerMegabit = 6
)

// instanceSize returns the size of an instance that other instances compare: the smaller one of its processor and its link, in
// thousandths of a core. A link of unknown bandwidth, 0, does not count.
func instanceSize(cores, linkMegabits float64) int {
	size := cores * millicoresPerCore
	if linkMegabits > 0 {
		size = min(size, linkMegabits*millicoresPerMegabit)
	}
	return int(size)
}
