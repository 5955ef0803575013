package metrics

// Names of the metrics that are not kept per reason.
const (
	StoreErrors       = "store_errors"
	VMListErrors      = "vm_list_errors"
	OrdersGiven       = "orders_given"
	OrdersFailed      = "orders_failed"
	OrphansSwept      = "orphans_swept"
	PlacesUsed        = "places_used"
	LinkBytesSent     = "link_bytes_sent"
	LinkBytesReceived = "link_bytes_received"
	ConfigRevision    = "config_revision"
	FirstEventTime    = "first_event_time"
	// ReservationsRefused counts engines that had less room than was thought.
	ReservationsRefused = "reservations_refused"
	// ReservationsYielded counts those given back at once, since others were placed on the engine meanwhile.
	ReservationsYielded = "reservations_yielded"
	UpstreamDials       = "upstream_dials"
	// Returners counts requests of clients that have come back after a refusal, ReturnersRefused those
	// of them that were turned away again.
	Returners        = "returners"
	ReturnersRefused = "returners_refused"
	// MechanismsOff is the number of mechanisms that are switched off.
	MechanismsOff = "mechanisms_off"
	// PeerExchanges are exchanges with other gateways, PeerExchangesFailed those without an
	// answer.
	PeerExchanges       = "peer_exchanges"
	PeerExchangesFailed = "peer_exchanges_failed"
	// StartsEnded counts servers that were found to have started again under their name.
	StartsEnded = "starts_ended"
	// ServersEnded counts servers that ended with requests of this process in progress, RequestsBroken those
	// requests.
	ServersEnded   = "servers_ended"
	RequestsBroken = "requests_broken"
	// RequestsHeld is the number of requests that are held back, since servers end under them; Holds counts those
	// that this process decided.
	RequestsHeld = "requests_held"
	Holds        = "holds"
	// ConfigProofAge is how long ago the configuration in force was proved to be the newest.
	ConfigProofAge = "config_proof_age"
	// QuotaSilent is the number of other gateways for which shares of quotas are set apart.
	QuotaSilent = "quota_silent"
	// ServersLimited is the number of servers that name how many requests a second they take.
	ServersLimited = "servers_limited"
	// RestsAsked counts refusals in which servers asked for rest.
	RestsAsked = "rests_asked"
	// SendsHeldBack counts requests that were about to be sent to a server that takes no more by what it says.
	SendsHeldBack = "sends_held_back"
	// StateBytesServed is what others fetched, Fetches what this process fetched itself, and
	// FetchesFailed those of them that did not come whole.
	StateBytesServed = "state_bytes_served"
	Fetches          = "fetches"
	FetchesFailed    = "fetches_failed"
)
