package dissemination

import "time"

// ConfirmRefresh is how often an entry rewrites an unchanged confirmation. A row that
// is much older belongs to a process that no longer runs.
const ConfirmRefresh = time.Minute

// Roles of processes in confirmations.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// Confirmation is the value of a confirmed row: the newest revision in force at an
// entry and those in force at the sidecars it is connected to.
type Confirmation struct {
	ID string `json:"id"`
	// Role is RoleEntry or RoleSidecar.
	Role     string           `json:"role"`
	Zone     string           `json:"zone"`
	Revision uint64           `json:"revision"`
	Time     time.Time        `json:"time"`
	Sidecars []SidecarsInZone `json:"sidecars,omitempty"`
}

// SidecarsInZone lists the sidecars of one availability zone that have the same
// revision in force.
type SidecarsInZone struct {
	Zone     string   `json:"zone"`
	Revision uint64   `json:"revision"`
	IDs      []string `json:"ids"`
}
