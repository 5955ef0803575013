package metrics

// Type is the type of a metric.
type Type string

// Types of metrics.
const (
	Counter Type = "counter"
	Gauge   Type = "gauge"
	Timer   Type = "timer"
)

// Metric describes one metric, or a family of metrics if the name ends in a dot.
type Metric struct {
	Name string
	Type Type
}

// All lists every metric and family of metrics in the order of docs/METRICS.md.
func All() []Metric {
	return []Metric{
		{RefusedPrefix, Counter},
		{RetriedPrefix, Counter},
		{RetryDeniedPrefix, Counter},
		{EndedPrefix, Counter},
		{StoreErrors, Counter},
		{VMListErrors, Counter},
		{OrdersGiven, Counter},
		{OrdersFailed, Counter},
		{OrphansSwept, Counter},
		{DecodeSlotsUsed, Gauge},
		{LinkBytesSent, Gauge},
		{LinkBytesReceived, Gauge},
		{ConfigRevision, Gauge},
		{AttemptFailedPrefix, Counter},
		{RequestTimePrefix, Timer},
		{FirstEventTime, Timer},
		{ReservationsRefused, Counter},
		{ReservationsYielded, Counter},
		{ClientRetries, Counter},
		{ClientRetriesRejected, Counter},
		{UpstreamDials, Gauge},
		{MechanismsOff, Gauge},
		{PeerExchanges, Counter},
		{PeerExchangesFailed, Counter},
		{StateBytesServed, Counter},
		{Fetches, Counter},
		{FetchesFailed, Counter},
		{EntryUnreadablePrefix, Counter},
		{ServerRestarts, Counter},
		{ServersTerminated, Counter},
		{RequestsInterrupted, Counter},
		{RequestsQuarantined, Gauge},
		{Holds, Counter},
		{ConfigProofAge, Gauge},
		{QuotaReservedPeers, Gauge},
		{QuotaRejectedPrefix, Counter},
		{ServersLimited, Gauge},
		{SendsWithheld, Counter},
		{WithheldPrefix, Counter},
		{CooldownsRequested, Counter},
		{WastedPrefillPrefix, Counter},
		{EnginesExcluded, Gauge},
		{EngineExclusions, Counter},
		{EngineTrials, Counter},
		{ListReadingsDropped, Counter},
		{StoreEra, Gauge},
		{BackupsStarted, Counter},
		{Continuations, Counter},
		{RunsOutlived, Counter},
		{ContinuationFailedPrefix, Counter},
		{MovedPrefix, Counter},
		{MovesRefused, Counter},
		{EnginePacesKnown, Gauge},
		{EnginePaceFastest, Gauge},
		{EnginePaceSlowest, Gauge},
		{EnginePaceSpread, Gauge},
		{EnginesSlow, Gauge},
		{MemoryWaitsPrefix, Counter},
		{MemoryRejectionsPrefix, Counter},
		{ShareReorders, Counter},
		{ShareYields, Counter},
		{ConnectionFramed, Counter},
		{StreamsTruncatedPrefix, Counter},
		{ConnectionsShed, Counter},
		{ConnectionsAccepted, Counter},
		{SchedulingDelay, Gauge},
		{NetworkBytesSent, Gauge},
		{NetworkBytesReceived, Gauge},
		{NetworkWait, Gauge},
		{RequestMemory, Gauge},
		{RequestsWithoutMemory, Gauge},
		{RequestsEvicted, Gauge},
		{AnswerMemory, Gauge},
		{AnswersWithoutMemory, Gauge},
		{AnswersMalformed, Counter},
		{ConnectionsReplaced, Gauge},
		{ConnectionsOverrun, Gauge},
		{StreamsResumed, Counter},
		{StreamVersionChanges, Counter},
		{StreamLookupsPrefix, Counter},
		{StreamRecordsDropped, Counter},
	}
}
