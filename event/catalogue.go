package event

import "github.com/phuslu/log"

// The catalogue of log events. 1xx: process; 2xx: entry; 3xx: sidecar; 4xx: links; 5xx: configuration; 6xx: stand-ins;
// 7xx: requests and local state of a gateway.
var (
	Started         = Event{101, log.InfoLevel, "process started"}
	Draining        = Event{102, log.InfoLevel, "process draining"}
	Stopped         = Event{103, log.InfoLevel, "process stopped"}
	DrainIncomplete = Event{104, log.ErrorLevel, "process stopped with work left"}
	Library         = Event{105, log.WarnLevel, "message of a library"}

	RequestEnded   = Event{201, log.InfoLevel, "request ended"}
	RequestRetried = Event{202, log.InfoLevel, "request retried"}
	RequestRefused = Event{203, log.InfoLevel, "request refused"}

	RunStarted         = Event{301, log.DebugLevel, "run started"}
	RunCancelled       = Event{302, log.InfoLevel, "run cancelled"}
	LeaseLapsed        = Event{303, log.WarnLevel, "lease of an entry lapsed"}
	OrphanSwept        = Event{304, log.WarnLevel, "orphaned run cancelled in the engine"}
	EngineFailed       = Event{305, log.WarnLevel, "engine call failed"}
	ServerLeaving      = Event{306, log.InfoLevel, "backend server leaving"}
	SweepFailed        = Event{307, log.WarnLevel, "orphan sweep failed"}
	ReservationExpired = Event{308, log.InfoLevel, "reservation lapsed unused"}

	OrderGiven  = Event{309, log.InfoLevel, "order given to the engine"}
	OrderFailed = Event{310, log.WarnLevel, "order to the engine failed"}

	LinkUp           = Event{401, log.InfoLevel, "link up"}
	LinkDown         = Event{402, log.WarnLevel, "link down"}
	LinkUnresponsive = Event{403, log.WarnLevel, "link silent"}
	LinkRefused      = Event{404, log.WarnLevel, "link refused"}
	// FrameDropped means that text from outside was put into a frame without validation.
	FrameDropped = Event{405, log.ErrorLevel, "frame not encodable; dropped"}

	RevisionApplied  = Event{501, log.InfoLevel, "configuration revision applied"}
	StoreFailed      = Event{502, log.WarnLevel, "platform table call failed"}
	RecordInvalid    = Event{503, log.ErrorLevel, "configuration record not understood; kept out"}
	RevisionRestored = Event{504, log.InfoLevel, "configuration revision handed back by a peer"}

	RequestAnswered = Event{701, log.InfoLevel, "request answered"}
	RequestRejected = Event{702, log.InfoLevel, "request turned away before it ran"}
	AttemptFailed   = Event{703, log.InfoLevel, "attempt at a server failed"}

	TableApplied         = Event{711, log.InfoLevel, "route table in force"}
	TableRefused         = Event{712, log.ErrorLevel, "route table not understood; the last one stays in force"}
	ServersChanged       = Event{713, log.InfoLevel, "list of servers changed"}
	ServerInvalid        = Event{714, log.WarnLevel, "entry of a server not understood; left out"}
	ReadyChanged         = Event{715, log.InfoLevel, "readiness changed"}
	StoreLost            = Event{716, log.WarnLevel, "platform's store lost"}
	StoreRegained        = Event{717, log.InfoLevel, "platform's store regained"}
	SettingsRead         = Event{718, log.InfoLevel, "settings read"}
	SettingsRefused      = Event{719, log.ErrorLevel, "settings not understood; the last ones stay in force"}
	LinesDropped         = Event{720, log.WarnLevel, "log lines dropped"}
	PeerLost             = Event{721, log.WarnLevel, "gateway lost"}
	PeerRegained         = Event{722, log.InfoLevel, "gateway regained"}
	StageOrdered         = Event{723, log.InfoLevel, "engine ordered to another stage"}
	StageFailed          = Event{724, log.WarnLevel, "order to change a stage failed"}
	PeerTraffic          = Event{725, log.InfoLevel, "exchanges with gateways failed or state was fetched here"}
	StateFetched         = Event{726, log.InfoLevel, "state fetched from a gateway"}
	FetchFailed          = Event{727, log.WarnLevel, "fetch from a gateway failed"}
	ServerRestarted      = Event{728, log.InfoLevel, "server started again under its name"}
	ServerTerminated     = Event{729, log.WarnLevel, "server ended with requests in progress"}
	RequestQuarantined   = Event{730, log.ErrorLevel, "request held back: servers end under it"}
	RequestReleased      = Event{731, log.InfoLevel, "request no longer held back"}
	HoldInvalid          = Event{732, log.WarnLevel, "kept hold not understood; left out"}
	KeysRefused          = Event{733, log.ErrorLevel, "requests with keys refused: configuration not proved to be recent"}
	KeysServed           = Event{734, log.InfoLevel, "requests with keys served again"}
	QuotaUsed            = Event{735, log.InfoLevel, "quota of a customer used up"}
	QuotaReserved        = Event{736, log.WarnLevel, "quotas shared with gateways that are not heard"}
	ServerLimited        = Event{737, log.InfoLevel, "server names how much it takes, or no limit any more"}
	ServerCooldown       = Event{739, log.InfoLevel, "server has turned a request away and asks for rest"}
	ServerLeaveAnnounced = Event{740, log.InfoLevel, "server says in an answer that it leaves"}
	ListReadingDropped   = Event{741, log.WarnLevel, "reading of the list of servers dropped as older than the one in force"}
	StoreRestored        = Event{742, log.WarnLevel, "platform's store was restored from a copy"}
	RunContinued         = Event{743, log.InfoLevel, "run continued from a copy"}
	ContinuationFailed   = Event{744, log.WarnLevel, "run did not continue from a copy"}
	RunMoved             = Event{745, log.InfoLevel, "run moved to another engine"}
	MoveFailed           = Event{746, log.WarnLevel, "run was not moved"}
	QuotaOrdered         = Event{747, log.InfoLevel, "quota of a customer spent by priority"}
	EnginePaceChanged    = Event{748, log.WarnLevel, "engine generates several times slower than usual, or as usual again"}
	EngineExcluded       = Event{751, log.WarnLevel, "engine excluded: every request fails there"}
	EngineReadmitted     = Event{752, log.InfoLevel, "excluded engine used again"}
	CustomerShort        = Event{753, log.InfoLevel, "customer is short of engine memory"}
	StreamTruncated      = Event{754, log.WarnLevel, "stream of an engine ended inside an event"}
	StreamVersionChanged = Event{755, log.ErrorLevel, "stream holds events of two software versions"}
	ConnectionsLimited   = Event{756, log.WarnLevel, "new connections limited"}
	ConnectionsUnlimited = Event{757, log.InfoLevel, "new connections no longer limited"}
	ProbeFailed          = Event{758, log.ErrorLevel, "processor is not watched for an overload"}
	LinkFull             = Event{759, log.WarnLevel, "network link is full"}
	LinkFree             = Event{760, log.InfoLevel, "network link is no longer full"}
	MemoryShort          = Event{761, log.WarnLevel, "requests were rejected, or gave way, for lack of memory"}
	RunOutlived          = Event{762, log.WarnLevel, "engine went on with a run after its connection had ended, and was told to stop"}
	SignalInvalid        = Event{738, log.WarnLevel, "field of a server's answer not understood; what it said before holds"}

	FaultSet = Event{601, log.InfoLevel, "fault switched"}
)

// All lists the catalogue in order.
func All() []Event {
	return []Event{
		Started, Draining, Stopped, DrainIncomplete, Library,
		RequestEnded, RequestRetried, RequestRefused,
		RunStarted, RunCancelled, LeaseLapsed, OrphanSwept, EngineFailed, ServerLeaving, SweepFailed, ReservationExpired, OrderGiven, OrderFailed,
		LinkUp, LinkDown, LinkUnresponsive, LinkRefused, FrameDropped,
		RevisionApplied, StoreFailed, RecordInvalid, RevisionRestored,
		FaultSet,
		RequestAnswered, RequestRejected, AttemptFailed,
		TableApplied, TableRefused, ServersChanged, ServerInvalid, ReadyChanged, StoreLost, StoreRegained,
		SettingsRead, SettingsRefused, LinesDropped, PeerLost, PeerRegained, StageOrdered, StageFailed,
		PeerTraffic, StateFetched, FetchFailed, ServerRestarted, ServerTerminated,
		RequestQuarantined, RequestReleased, HoldInvalid, KeysRefused, KeysServed, QuotaUsed, QuotaReserved,
		ServerLimited, SignalInvalid, ServerCooldown, ServerLeaveAnnounced, ListReadingDropped, StoreRestored,
		RunContinued, ContinuationFailed, RunMoved, MoveFailed, QuotaOrdered, EnginePaceChanged, EngineExcluded, EngineReadmitted, CustomerShort,
		StreamTruncated, StreamVersionChanged, ConnectionsLimited, ConnectionsUnlimited, LinkFull, LinkFree, ProbeFailed, MemoryShort, RunOutlived,
	}
}
