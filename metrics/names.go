package metrics

// Names of the metrics that don't belong to a family.
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
	// ReservationsRefused counts reservations that engines rejected, mostly since they had less free memory
	// than the local estimate.
	ReservationsRefused = "reservations_refused"
	// ReservationsYielded counts reservations that were released at once, since other requests were placed on
	// the engine meanwhile.
	ReservationsYielded = "reservations_yielded"
	UpstreamDials       = "upstream_dials"
	// ClientRetries counts requests that clients retried after a rejection, ClientRetriesRejected those
	// of them that were rejected again.
	ClientRetries         = "returners"
	ClientRetriesRejected = "returners_refused"
	// MechanismsOff is the number of disabled mechanisms.
	MechanismsOff = "mechanisms_off"
	// PeerExchanges counts exchanges with other gateways, PeerExchangesFailed those without a
	// response.
	PeerExchanges       = "peer_exchanges"
	PeerExchangesFailed = "peer_exchanges_failed"
	// ServerRestarts counts observed restarts of servers under the same name.
	ServerRestarts = "starts_ended"
	// ServersTerminated counts servers that terminated with requests of this process in progress,
	// RequestsInterrupted those requests.
	ServersTerminated   = "servers_ended"
	RequestsInterrupted = "requests_broken"
	// ConnectionsShed counts connections that were closed unread, since too many came for the processor or the network link.
	ConnectionsShed = "connections_shed"
	// ConnectionsAccepted counts the connections of callers that were accepted. SchedulingDelay is how long a
	// goroutine waited for the processor, on average over the latest probes, in microseconds.
	ConnectionsAccepted = "connections_accepted"
	SchedulingDelay     = "scheduling_delay"
	// NetworkBytesSent and NetworkBytesReceived are the bytes over the VM's link; NetworkWait is how long a byte that is sent
	// waits for the link, as far as it is estimated, in microseconds.
	NetworkBytesSent     = "network_bytes_sent"
	NetworkBytesReceived = "network_bytes_received"
	NetworkWait          = "network_wait"
	// RequestMemory is the memory that requests hold, in bytes; RequestsWithoutMemory counts those that were rejected for lack of it,
	// RequestsEvicted those that did not arrive while others needed their memory.
	RequestMemory         = "request_memory"
	RequestsWithoutMemory = "requests_without_memory"
	RequestsEvicted       = "requests_evicted"
	// AnswerMemory is the memory that answers of servers hold until they are whole and passed on, in bytes; AnswersWithoutMemory counts
	// those that were given up for lack of it, AnswersMalformed those that were no answers.
	AnswerMemory         = "answer_memory"
	AnswersWithoutMemory = "answers_without_memory"
	AnswersMalformed     = "answers_malformed"
	// ConnectionsReplaced counts callers' connections that were closed for new ones, ConnectionsOverrun those that were closed since too
	// many requests were sent ahead on them.
	ConnectionsReplaced = "connections_replaced"
	ConnectionsOverrun  = "connections_overrun"
	// RequestsQuarantined is the number of requests in quarantine, since they make servers terminate; Holds
	// counts those that this process quarantined.
	RequestsQuarantined = "requests_held"
	Holds               = "holds"
	// ConfigProofAge is the time since the configuration in force was last proved to be the newest.
	ConfigProofAge = "config_proof_age"
	// QuotaReservedPeers is the number of unresponsive gateways for which shares of quotas are reserved.
	QuotaReservedPeers = "quota_silent"
	// ServersLimited is the number of servers that announced a limit on requests per second.
	ServersLimited = "servers_limited"
	// CooldownsRequested counts rejections in which servers asked for a cooldown.
	CooldownsRequested = "rests_asked"
	// EnginesExcluded is the number of engines that get nothing but trial requests, since all requests fail there;
	// EngineExclusions counts the exclusions, EngineTrials the trial requests of this process.
	EnginesExcluded  = "engines_excluded"
	EngineExclusions = "engine_exclusions"
	EngineTrials     = "engine_trials"
	// SendsWithheld counts requests that were not sent to the chosen server, since it had announced that it
	// accepts no more.
	SendsWithheld = "sends_held_back"
	// StateBytesServed counts the bytes of state that other gateways fetched from this one, Fetches counts
	// the fetches by this process, and FetchesFailed those of them that were incomplete.
	StateBytesServed = "state_bytes_served"
	Fetches          = "fetches"
	FetchesFailed    = "fetches_failed"
	// ListReadingsDropped counts readings of the server list that were older than the list in force.
	ListReadingsDropped = "list_readings_dropped"
	// EnginePacesKnown is the number of decode engines whose time per generated token is known.
	EnginePacesKnown = "engine_paces_known"
	// EnginePaceFastest and EnginePaceSlowest are times per generated token in microseconds, of the service whose
	// engines differ most; EnginePaceSpread is their ratio in hundredths.
	EnginePaceFastest = "engine_pace_fastest"
	EnginePaceSlowest = "engine_pace_slowest"
	EnginePaceSpread  = "engine_pace_spread"
	// EnginesSlow is the number of engines that generate several times slower than usual.
	EnginesSlow = "engines_slow"
	// StoreEra is the era of the platform's store from which the server list in force was read.
	StoreEra = "store_era"
	// BackupsStarted counts streams that were sent to an engine with another one to back them up.
	BackupsStarted = "backups_started"
	// Continuations counts runs that continued from a copy.
	Continuations = "continuations"
	// RunsOutlived counts runs that their engines went on with after the connection had ended, and that were stopped.
	RunsOutlived = "runs_outlived"
	// MovesRefused counts moves that the destination refused.
	MovesRefused = "moves_refused"
	// ShareReorders counts requests that were placed before an earlier one of the same priority since their customer
	// held less, ShareYields those that left memory to requests of other gateways.
	ShareReorders = "share_reorders"
	ShareYields   = "share_yields"
	// ConnectionFramed counts answers of servers that had neither a length nor chunks and end with their connection.
	ConnectionFramed = "answers_connection_framed"
	// StreamsResumed counts requests of clients that resume a stream, StreamVersionChanges answers whose events came from
	// engines of two software versions.
	StreamsResumed       = "streams_resumed"
	StreamVersionChanges = "stream_version_changes"
	// StreamRecordsDropped counts streams whose version was not kept for lack of room.
	StreamRecordsDropped = "stream_records_dropped"
)
