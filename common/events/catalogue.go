package events

import "github.com/rs/zerolog"

const (
	debugLevel = zerolog.DebugLevel
	infoLevel  = zerolog.InfoLevel
	warnLevel  = zerolog.WarnLevel
	errorLevel = zerolog.ErrorLevel

	noAction = "Nothing."
)

// Events of every process (1000 to 1099).
var (
	ProcessStarted  = define(1001, "process_started", infoLevel, "process started", noAction)
	ProcessStopping = define(1002, "process_stopping", infoLevel, "graceful shutdown started", noAction)
	ProcessStopped  = define(1003, "process_stopped", infoLevel, "process stopped", noAction)
	ListenStarted   = define(1005, "listen_started", infoLevel, "listening", noAction)
	ListenFailed    = define(1006, "listen_failed", errorLevel, "listening on the address failed",
		"Check the address in the settings and that no other process uses it.")
	ShutdownForced = define(1007, "shutdown_forced", warnLevel, "requests were still in progress when the shutdown time ran out",
		"Raise shutdown_timeout_ms above the longest job timeout.")
	TraceExportFailed = define(1008, "trace_export_failed", warnLevel, "spans could not be exported",
		"Check the collector; requests are not affected.")
)

// MetricRejected is an event of every process as well.
var MetricRejected = define(1009, "metric_rejected", errorLevel, "a metric could not be registered",
	"Report it as a bug; the metric is missing.")

// Events of the HTTP APIs (1100 to 1299).
var (
	ConnectionsClosed = define(1102, "connections_closed", warnLevel, "connections were closed, since unfinished requests hold too much memory or too many descriptors",
		"See \"A crowd of unfinished requests\" in docs/OPERATIONS.md.")
	RequestFault = define(1101, "request_fault", errorLevel, "a request handler failed",
		"Report the stack as a bug; the caller got internal_error.")
	ConfigAccepted        = define(1201, "config_accepted", infoLevel, "a configuration change was accepted", noAction)
	OperatorChangeRefused = define(1202, "operator_change_refused", warnLevel, "an operator's change was refused",
		"See the error; repeat the change from the version in force.")
	DrainChanged     = define(1203, "drain_changed", infoLevel, "an operator's drain of a target was set or cleared", noAction)
	ReadyChanged     = define(1204, "ready_changed", infoLevel, "readiness changed", "See the reason if it stays false.")
	ZoneDrainChanged = define(1205, "zone_drain_changed", infoLevel, "an operator's drain of an availability zone was set or cleared", noAction)
)

// Events of the control state and the platform's log (2000 to 2099).
var (
	LogUnreachable = define(2001, "log_unreachable", warnLevel, "the platform's log does not answer",
		"Running work continues. Configuration changes and takeovers wait for the log.")
	LogReachable = define(2002, "log_reachable", infoLevel, "the platform's log answers again", noAction)
	LogGap       = define(2003, "log_gap", warnLevel, "records were lost to retention; a snapshot is loaded",
		"Nothing if it is rare; otherwise raise the log's retention.")
	SnapshotWritten = define(2004, "snapshot_written", infoLevel, "a snapshot record was written", noAction)
	RecordRejected  = define(2005, "record_rejected", infoLevel, "a record had no effect, since a newer one took effect first", noAction)
	RecordMalformed = define(2006, "record_malformed", errorLevel, "a record of the control stream cannot be decoded and is skipped",
		"Find the writer named in the record; all gateways must run compatible versions.")
	AppendUnknown   = define(2007, "append_outcome_unknown", warnLevel, "the outcome of an append is unknown; it is read back", noAction)
	ConfigApplied   = define(2008, "config_applied", infoLevel, "a configuration is in force", noAction)
	StateFromPeer   = define(2009, "state_from_peer", infoLevel, "the control state was loaded from another gateway", noAction)
	PeerStateFailed = define(2010, "peer_state_failed", warnLevel, "no other gateway gave the control state",
		"Check the peers in the settings; the gateway tries again.")
	LogBehind = define(2011, "log_behind", errorLevel, "the log ends before the state of this gateway",
		"The platform's log has lost records. Restore it before any gateway is replaced.")
	SnapshotFailed = define(2012, "snapshot_failed", warnLevel, "a snapshot record could not be written",
		"Nothing while the log is down; it is tried again.")
	SnapshotLoaded = define(2013, "snapshot_loaded", infoLevel, "the control state was loaded from a snapshot record", noAction)
)

// Events of ownership (3000 to 3099).
var (
	GatewayFailed     = define(3001, "gateway_failed", warnLevel, "another gateway does not answer pings", "Replace the VM if it does not return.")
	PartitionsClaimed = define(3002, "partitions_claimed", infoLevel, "partitions were claimed", noAction)
	TakeoverWaiting   = define(3003, "takeover_waiting", warnLevel, "a takeover waits, since agents are missing",
		"See the missing agents; keys submitted before the cut-off are answered may_have_run.")
	TakeoverFinished   = define(3004, "takeover_finished", infoLevel, "a takeover is complete", noAction)
	OwnershipLost      = define(3005, "ownership_lost", warnLevel, "another gateway owns the partitions now", noAction)
	OwnershipSuspended = define(3006, "ownership_suspended", warnLevel, "too few agents confirm the ownership; no task is started",
		"Check the network between this gateway and the agents.")
	OwnershipResumed = define(3007, "ownership_resumed", infoLevel, "a majority of the agents confirms the ownership again", noAction)
	AgentRemoved     = define(3010, "agent_removed", warnLevel, "an unreachable agent was recorded as departed, since its worker's lease could be acquired",
		"Nothing if its VM was replaced.")
	HandoverSent   = define(3008, "handover_sent", infoLevel, "partitions were handed over", noAction)
	HandoverFailed = define(3009, "handover_failed", warnLevel, "partitions could not be handed over; the successor takes them over", noAction)
)

// Events of the request path (4000 to 4099).
var (
	LinkUp   = define(4001, "link_up", infoLevel, "the link to an agent is up", noAction)
	LinkDown = define(4002, "link_down", warnLevel, "the link to an agent is down",
		"Nothing if the agent left or restarts; otherwise check its VM.")
	TargetEjected = define(4003, "target_ejected", warnLevel, "a target was ejected, since its tasks fail or are late",
		"Check the target; it is probed and readmitted by itself.")
	TargetReadmitted = define(4004, "target_readmitted", infoLevel, "a target receives work again", noAction)
	OverloadStarted  = define(4005, "overload_started", warnLevel, "requests are refused, since they cannot be answered in time",
		"Add targets or lower the load; see the clients in the status.")
	OverloadEnded = define(4006, "overload_ended", infoLevel, "requests are no longer refused for overload", noAction)
	JobFailed     = define(4007, "job_failed", debugLevel, "a job failed", "See `rhubarbsail explain`.")
	OutcomeLost   = define(4008, "outcome_lost", warnLevel, "the outcome of a started task is lost; its job is answered may_have_run",
		"The caller decides whether to submit the work under another key.")
)

// Events of the agent (5000 to 5099).
var (
	TargetAnnounced = define(5001, "target_announced", infoLevel, "the target announced itself", noAction)
	TargetLeft      = define(5002, "target_left", infoLevel, "the target left", noAction)
	TargetSilent    = define(5003, "target_silent", warnLevel, "the target's heartbeat is missing; no task is started",
		"Check the target on this VM.")
	LeaseLapsed = define(5004, "lease_lapsed", errorLevel, "the worker's lease has lapsed; no task is started",
		"Check the platform's lease service.")
	LeaseRenewed = define(5005, "lease_renewed", infoLevel, "the worker's lease is held again", noAction)
	LedgerFull   = define(5006, "ledger_full", errorLevel, "the start ledger is full; starts are refused",
		"Raise ledger_entries_max or lower the rate of tasks at this target.")
	StartRefused = define(5007, "start_refused", debugLevel, "a start was refused", noAction)
	AgentLeaving = define(5008, "agent_leaving", infoLevel, "the agent leaves: running tasks finish, no task is started", noAction)
	AgentDrained = define(5009, "agent_drained", infoLevel, "the agent has no running task left", noAction)
	AgentJoined  = define(5010, "agent_joined", infoLevel, "the log shows the membership of this agent", noAction)
	FenceRaised  = define(5011, "fence_raised", infoLevel, "a newer epoch was seen; queued starts of the old owner were dropped", noAction)

	GatewayConnected    = define(5012, "gateway_connected", infoLevel, "a gateway opened its link to this agent", noAction)
	GatewayDisconnected = define(5013, "gateway_disconnected", infoLevel, "the link of a gateway to this agent ended", noAction)
	GatewaySlow         = define(5014, "gateway_slow", warnLevel, "a gateway does not read its link; the link is closed",
		"Check the gateway; it gets the outcomes when it reconnects.")
	OutcomesUndelivered = define(5015, "outcomes_undelivered", errorLevel, "the agent stops with outcomes that no gateway fetched; their jobs are answered may_have_run",
		"Check the network between the agent and the gateways.")
	LeaseRenewalFailed = define(5016, "lease_renewal_failed", warnLevel, "the worker's lease was not renewed",
		"Nothing if it is renewed before it lapses; otherwise check the platform's lease service.")
	AnnounceFailed = define(5017, "announce_failed", warnLevel, "a gateway did not take the agent's announcement; the next one is tried",
		"Check the gateways in the agent's settings if agent_joined does not follow.")
	AgentRejoined = define(5018, "agent_rejoined", warnLevel, "the log shows this incarnation as departed; the agent joins as a new one",
		"Nothing after a network interruption; otherwise look for a second agent with the same id.")
)

// Events of restartable jobs, logged by their gateways and agents (6000 to 6099).
var (
	GatewayLeaseLapsed = define(6001, "gateway_lease_lapsed", warnLevel, "a gateway has not returned a recent stamp; its tasks are stopped",
		"Check the network between the gateway and this agent.")
	RunNotAccepted = define(6002, "run_not_accepted", warnLevel, "the target did not accept a start",
		"Nothing if it is rare; otherwise check the target.")
	FencingTokenRaised = define(6003, "fencing_token_raised", warnLevel, "the target had seen a higher fencing token", noAction)
	TargetUnanswering  = define(6004, "target_unanswering", warnLevel, "the target does not answer; no task is started",
		"Check the target on this VM.")
	TargetDraining = define(6005, "target_draining", infoLevel, "the target is leaving; no task is started", noAction)
	AgentAttached  = define(6006, "agent_attached", infoLevel, "an agent attached to this gateway", noAction)
	AgentDetached  = define(6007, "agent_detached", warnLevel, "the link of an agent ended; its started tasks count as lost",
		"Nothing if the agent restarts; otherwise check its VM.")
	RestartableEnded = define(6008, "restartable_ended", infoLevel, "a job was answered", "See state and reason; docs/OPERATIONS.md leads from them to the cause.")
	QueuesApplied    = define(6009, "queues_applied", infoLevel, "a configuration of queues is in force", noAction)
	QueuesFromPeer   = define(6010, "queues_from_peer", infoLevel, "a configuration was taken from another gateway, since the store does not answer", noAction)
	StoreFailed      = define(6011, "store_failed", warnLevel, "the platform's store does not answer",
		"Running work continues; the configuration is asked of other gateways.")
	StoreAnswers        = define(6012, "store_answers", infoLevel, "the platform's store answers again", noAction)
	QueuesMalformed     = define(6013, "queues_malformed", errorLevel, "a configuration cannot be read and is not applied", "Correct the record in the store.")
	GatewayAttached     = define(6014, "gateway_attached", infoLevel, "this agent attached to a gateway", noAction)
	GatewayDetached     = define(6015, "gateway_detached", warnLevel, "the link to a gateway ended; its tasks are stopped", "Nothing if the gateway restarts; otherwise check its VM.")
	GatewayRecordFailed = define(6016, "gateway_record_failed", warnLevel, "the list of gateways could not be read from or written to the store", "Nothing while the store is down.")
	TargetRecordFailed  = define(6022, "target_record_failed", warnLevel, "the record of the target could not be read from or written to the store", "Nothing while the store is down.")
	TaskTriedAgain      = define(6023, "task_tried_again", infoLevel, "an attempt of a task was not successful; the task is placed again", noAction)
	TaskRecalled        = define(6024, "task_recalled", warnLevel, "a run takes far longer than predicted; it is stopped and the task is placed elsewhere", "Check the target if it is often the same.")
	RunEnded            = define(6025, "run_ended", infoLevel, "an attempt did not start, or its run was not successful", noAction)
	RequestRejected     = define(6026, "request_rejected", infoLevel, "a request was answered before it became a job", "See cause: the configuration, the queue or the body.")
	TargetRecalled      = define(6027, "target_recalled", infoLevel, "the target's record from an earlier process of this agent was loaded from the store", noAction)
	GatewayLost         = define(6028, "gateway_lost", warnLevel, "another gateway does not answer", "Nothing if it was stopped or replaced; otherwise check the network between the gateways.")
	GatewayRegained     = define(6029, "gateway_regained", infoLevel, "another gateway answers again", noAction)
	GatewayRetired      = define(6030, "gateway_retired", infoLevel, "the agent has links to higher-ranked gateways and accepts no more tasks from this one; the link is closed once its runs have ended", noAction)
	ZoneDrainsApplied   = define(6031, "zone_drains_applied", infoLevel, "the drained availability zones changed; zones lists all that are drained now", noAction)
	ZoneDrainMalformed  = define(6032, "zone_drain_malformed", errorLevel, "a record on a drained availability zone cannot be read; the zone keeps its state", "Write the record again.")
	ZoneDrained         = define(6033, "zone_drained", infoLevel, "the availability zone of this agent was drained; no task is started, and queued tasks are returned", noAction)
	ZoneReturned        = define(6034, "zone_returned", infoLevel, "the drain of this agent's availability zone ended", noAction)
	TargetDown          = define(6035, "target_down", warnLevel, "the target went down with runs on it; latest lists its last starts and their age at the first sign of it",
		"If one task or queue stands in many of these lines, it crashes its targets: see docs/OPERATIONS.md.")
	QueueConfined = define(6036, "queue_confined", warnLevel, "jobs of a queue crash their targets; the queue is confined to a part of them",
		"Find the job in the lines target_down and tell its caller; see docs/OPERATIONS.md.")
	QueueReleased   = define(6037, "queue_released", infoLevel, "a queue is no longer confined to a part of the targets", noAction)
	ForeignRunFound = define(6038, "foreign_run_found", warnLevel, "the target lists a run that this process did not start; it is stopped, and nothing starts beside it",
		"Nothing after a restart of this agent or a late start; otherwise look for a second agent of the target.")
	StopOverdue = define(6039, "stop_overdue", warnLevel, "a run that was given up has not ended; the stop is repeated",
		"Check the target on this VM. The caller may submit the job again while the run continues.")
	TargetUnconfirmed = define(6043, "target_unconfirmed", warnLevel, "a heartbeat names another incarnation of the target, which the target has not confirmed; its runs continue",
		"Nothing if it is rare: a heartbeat was late. Otherwise look for another process that sends heartbeats to this agent.")
	StoreRecordSkipped = define(6040, "store_record_skipped", warnLevel, "a record of the platform's store is malformed and is skipped; it is logged once an hour",
		"Find its writer by topic and key; no gateway or agent writes such records.")
	HeartbeatRejected = define(6041, "heartbeat_rejected", warnLevel, "a heartbeat or deregistration of a target is malformed and is ignored; it is logged once an hour",
		"Find its writer by sender; the target in use is kept.")
	TargetRowSkipped = define(6042, "target_row_skipped", warnLevel, "a row in the target's lists of runs is malformed and is skipped; it is logged once an hour",
		"Check the release of the target.")
	QueuesUnconfirmed = define(6044, "queues_unconfirmed", warnLevel, "neither the store nor another gateway or an agent has confirmed the configuration of queues in time; a newer one may exist",
		"Check the path from this VM to the store. Known queues are served on.")
	QueuesConfirmed = define(6045, "queues_confirmed", infoLevel, "the configuration of queues is confirmed again", noAction)
	QueueUnreadable = define(6046, "queue_unreadable", errorLevel, "a field of the configuration cannot be decoded; the queue's requests get 503, the other queues are served",
		"Correct the record in the store.")
	UnknownRunStopped = define(6047, "unknown_run_stopped", infoLevel, "an agent has started a run that this gateway does not have; it is stopped",
		"Nothing beside the end of the job, 6008: the start and the stop have crossed. Otherwise report it with the lines of the job.")
	StoreReadFailed = define(6048, "store_read_failed", warnLevel, "this agent could not read the platform's store for the gateways that asked it to; they ask other agents",
		"Nothing while the store is down; otherwise check the path from this VM to the store.")
	StartInDoubt = define(6049, "start_in_doubt", warnLevel, "the target is out of contact, has not answered a start and may still carry it out; the task is not started elsewhere until the target is back",
		"Check the target on this VM. The line run_ended of the attempt ends the doubt.")
	JobHeld = define(6050, "job_held", warnLevel, "an earlier submission of the job has a start in doubt; nothing of it is started before the doubt has ended",
		"Check the target of the agent named.")
	DoubtfulRunStopped = define(6051, "doubtful_run_stopped", warnLevel, "a run is stopped, since an earlier start of its task got no answer from another target, which is out of contact now and may still carry it out",
		"Check the target of the agent in_doubt_on.")
	CancelUnanswered = define(6052, "cancel_unanswered", warnLevel, "another gateway does not answer a cancellation of jobs; it is repeated for a minute, and the callers were answered without it",
		"Nothing if the gateway was stopped; otherwise check the network between the gateways. A job of that gateway may run on meanwhile.")
	JobCancelledByPeer = define(6053, "job_cancelled_by_peer", infoLevel, "a job in progress here is cancelled, since its caller's request has reached another gateway", noAction)
	ShareLimitStarted  = define(6070, "share_limit_started", infoLevel, "a queue uses more than its share of a service while another one wants capacity; its jobs are refused until it uses less",
		"Nothing if the weights are as wanted; see docs/OPERATIONS.md.")
	ShareLimitEnded    = define(6071, "share_limit_ended", infoLevel, "no job of a queue was refused because of its share in the last second", noAction)
	FairSharesApplied  = define(6072, "fair_shares_applied", infoLevel, "settings of fair shares are in force", noAction)
	FairSharesRejected = define(6073, "fair_shares_rejected", errorLevel, "the settings file could not be read again; the settings of fair shares in force are kept",
		"Correct the settings file and send SIGHUP again.")
	LinesDropped  = define(6017, "lines_dropped", warnLevel, "log lines were dropped, since the output or the rate limit was full", noAction)
	TargetAvoided = define(6018, "target_avoided", warnLevel, "a target receives only probes, since its tasks fail or its agent is silent", noAction)
	TargetTrusted = define(6019, "target_trusted", infoLevel, "a target receives work again", noAction)
	TargetState   = define(6021, "target_state", infoLevel, "periodic report of the target's load", noAction)
	Suspended     = define(6020, "suspended", warnLevel, "the process was not scheduled for a while", "Look for a suspension or overload of the VM.")
)

// Events of the stand-ins (9000 to 9099).
var (
	StandinFault = define(9001, "standin_fault", warnLevel, "the stand-in injects a fault", "Only for tests.")
)
