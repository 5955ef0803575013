package capacity

// The planned size of the system, as far as measurements use it.
const (
	planModels         = 32
	planCustomers      = 340
	planReplicas       = 4500
	planReplacedPerDay = 340 // backend servers replaced per day
	planNodes          = 410
	planZones          = 6
)
