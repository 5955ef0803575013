package metrics

// Names of the metrics that are not kept per reason.
const (
	StoreErrors       = "store_errors"
	VMListErrors      = "vm_list_errors"
	OrdersGiven       = "orders_given"
	OrdersFailed      = "orders_failed"
	OrphansSwept      = "orphans_swept"
	DecodeSlotsUsed   = "places_used"
	LinkBytesSent     = "link_bytes_sent"
	LinkBytesReceived = "link_bytes_received"
	ConfigRevision    = "config_revision"
	FirstEventTime    = "first_event_time"
	// ReservationsRefused counts engines that had less room than was thought.
	ReservationsRefused = "reservations_refused"
	// ReservationsYielded counts those given back at once, since others were placed on the engine meanwhile.
	ReservationsYielded = "reservations_yielded"
	UpstreamDials       = "upstream_dials"
	// ClientRetries counts requests of clients that have come back after a refusal, ClientRetriesRejected those
	// of them that were turned away again.
	ClientRetries         = "returners"
	ClientRetriesRejected = "returners_refused"
	// MechanismsOff is the number of mechanisms that are switched off.
	MechanismsOff = "mechanisms_off"
	// PeerExchanges are exchanges with other gateways, PeerExchangesFailed those without an
	// answer.
	PeerExchanges       = "peer_exchanges"
	PeerExchangesFailed = "peer_exchanges_failed"
	// ServerRestarts counts servers that were found to have started again under their name.
	ServerRestarts = "starts_ended"
	// ServersTerminated counts servers that ended with requests of this process in progress, RequestsInterrupted those
	// requests.
	ServersTerminated   = "servers_ended"
	RequestsInterrupted = "requests_broken"
	// RequestsQuarantined is the number of requests that are held back, since servers end under them; Holds counts those
	// that this process decided.
	RequestsQuarantined = "requests_held"
	Holds               = "holds"
	// ConfigProofAge is how long ago the configuration in force was proved to be the newest.
	ConfigProofAge = "config_proof_age"
	// QuotaReservedPeers is the number of other gateways for which shares of quotas are set apart.
	QuotaReservedPeers = "quota_silent"
	// ServersLimited is the number of servers that name how many requests a second they take.
	ServersLimited = "servers_limited"
	// CooldownsRequested counts refusals in which servers asked for rest.
	CooldownsRequested = "rests_asked"
	// SendsWithheld counts requests that were about to be sent to a server that takes no more by what it says.
	SendsWithheld = "sends_held_back"
	// StateBytesServed is what others fetched, Fetches what this process fetched itself, and
	// FetchesFailed those of them that did not come whole.
	StateBytesServed = "state_bytes_served"
	Fetches          = "fetches"
	FetchesFailed    = "fetches_failed"
)
