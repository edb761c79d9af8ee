package telemetry

// Metrics of the HTTP APIs.
var (
	HTTPRequests = define(KindCounter, "http_requests_total", "requests",
		"Requests answered, by API (callers, operators), route and status code.", "api", "route", "code")
	HTTPDuration = define(KindHistogram, "http_request_duration_seconds", "seconds",
		"Time from the request's header to the end of its answer.", "api", "route")
	HTTPInProgress = define(KindGauge, "http_requests_in_progress", "requests",
		"Requests being handled.", "api")
	ConnectionsClosed = define(KindCounter, "connections_closed_total", "connections",
		"Connections and requests ended, since unfinished requests held too much, by listener and limit (bytes, connections).", "listener", "limit")
	RequestBytesHeld = define(KindGauge, "request_bytes_held", "bytes",
		"Estimate of the memory that open connections and their requests hold.")
	BuildInfo = define(KindGauge, "build_info", "1",
		"Always 1; the labels give the version of the program and of Go.", "version", "go")
	Ready = define(KindGauge, "ready", "0 or 1", "1 while the process takes new requests.")
)

// Metrics of the request path.
var (
	Jobs = define(KindCounter, "jobs_total", "jobs",
		"Jobs answered, by run state and reason.", "run_state", "reason")
	JobDuration = define(KindHistogram, "job_duration_seconds", "seconds",
		"Time from the admission of a job to its answer, by run state.", "run_state")
	JobTableSize   = define(KindGauge, "job_table_entries", "jobs", "Jobs in the table, with the retained answers.")
	TasksQueued    = define(KindGauge, "tasks_queued", "tasks", "Tasks that wait for a target.")
	TasksRunning   = define(KindGauge, "tasks_outstanding", "tasks", "Tasks sent to an agent without an outcome.")
	Tasks          = define(KindCounter, "tasks_total", "tasks", "Outcomes of tasks (succeeded, failed, not_started, lost).", "outcome")
	TaskRun        = define(KindHistogram, "task_run_seconds", "seconds", "Time of a task at its target.")
	TaskQueue      = define(KindHistogram, "task_agent_queue_seconds", "seconds", "Time of a task in the agent's queue.")
	Messages       = define(KindCounter, "link_messages_total", "frames", "Frames on links, by direction (sent, received) and kind.", "direction", "kind")
	WastedMessages = define(KindCounter, "link_messages_wasted_total", "frames", "Frames without effect, such as refused or revoked starts.", "cause")
	Links          = define(KindGauge, "links_up", "links", "Links to agents that are up.")
	TargetsEjected = define(KindGauge, "targets_ejected", "targets", "Targets taken out since their tasks fail or are late.")
)

// Metrics of ownership and the control state.
var (
	PartitionsOwned   = define(KindGauge, "partitions_owned", "partitions", "Partitions that the log assigns to this gateway.")
	PartitionsServing = define(KindGauge, "partitions_serving", "partitions", "Owned partitions whose takeover is complete.")
	Takeovers         = define(KindCounter, "takeovers_total", "partitions", "Partitions taken over, by cause (first, crash, handover).", "cause")
	TakeoverDuration  = define(KindHistogram, "takeover_duration_seconds", "seconds", "Time from the claim's record to serving.")
	LogAppliedOffset  = define(KindGauge, "log_applied_offset", "offset", "Offset of the last record applied.")
	LogReachable      = define(KindGauge, "log_reachable", "0 or 1", "1 while the platform's log answers.")
	ConfigVersion     = define(KindGauge, "config_version", "offset", "Version of the configuration in force.")
)

// Metrics of the agent.
var (
	AgentStarts   = define(KindCounter, "agent_starts_total", "tasks", "Tasks started at the target.")
	AgentRefusals = define(KindCounter, "agent_refusals_total", "tasks", "Starts refused, by reason.", "reason")
)

// Metrics of restartable jobs.
var (
	RestartableJobs = define(KindCounter, "restartable_jobs_total", "jobs",
		"Restartable jobs answered, by state and cause.", "state", "cause")
	RequestsRejected = define(KindCounter, "restartable_requests_rejected_total", "requests",
		"Requests answered before they became jobs, by cause.", "cause")
	RestartableDuration = define(KindHistogram, "restartable_job_duration_seconds", "seconds",
		"Time from the arrival of a restartable job to its answer, by state.", "state")
	RestartableInProgress = define(KindGauge, "restartable_jobs_in_progress", "jobs", "Restartable jobs without an answer.")
	AgentsAttached        = define(KindGauge, "agents_attached", "agents", "Agents with a link to this gateway.")
	AgentsAccepting       = define(KindGauge, "agents_accepting", "agents", "Attached agents that take work.")
	AgentsAvoided         = define(KindGauge, "agents_avoided", "agents", "Attached agents that get probes only.")
	CrashedJobs           = define(KindGauge, "crashed_jobs", "jobs", "Jobs under which a target has crashed in the last minute.")
	TasksInDoubt          = define(KindGauge, "tasks_in_doubt", "tasks", "Tasks that agents have started without an answer and that their targets may still carry out.")
	QueuesConfined        = define(KindGauge, "queues_confined", "queues", "Queues that are confined to a part of the targets, since their jobs crash them.")
	ShareRejections       = define(KindCounter, "share_rejections_total", "jobs", "Jobs refused since their queue used more than its share of the service.", "queue")
	QueueShare            = define(KindGauge, "queue_share_cpu_millis", "thousandths of a core", "Fair share of a queue: at most its demand.", "service", "queue")
	QueueUse              = define(KindGauge, "queue_use_cpu_millis", "thousandths of a core", "Processors taken by running and queued tasks of a queue, as its agents report them for all gateways.", "service", "queue")
	CapacityCPU           = define(KindGauge, "capacity_cpu_millis", "thousandths of a core", "Processors of all attached targets.")
	CommittedCPU          = define(KindGauge, "committed_cpu_millis", "thousandths of a core", "Processors taken by running and queued tasks.")
	QueuesVersion         = define(KindGauge, "queues_version", "version", "Version of the configuration of queues in force.")
	ZonesDrained          = define(KindGauge, "zones_drained", "zones", "Availability zones that operators have drained, as this gateway knows.")
	QueuesConfirmed       = define(KindGauge, "queues_confirmed_seconds", "seconds", "Time since the configuration in force was last known to be the newest one, from the store, another gateway or an agent.")
)

// Metrics of the agent of restartable jobs.
var (
	Attempts        = define(KindCounter, "attempts_total", "attempts", "Attempts ended, by outcome and reason.", "outcome", "reason")
	AttemptDuration = define(KindHistogram, "attempt_duration_seconds", "seconds", "Time of a run on the target, by outcome.", "outcome")
	TargetCrashes   = define(KindCounter, "target_crashes_total", "crashes", "Crashes of the target with runs on it, by reason.", "reason")
	RunsAtWork      = define(KindGauge, "runs_at_work", "runs", "Runs on the target.")
	RunsQueued      = define(KindGauge, "runs_queued", "runs", "Tasks that wait for room on the target.")
	TargetSlowness  = define(KindGauge, "target_slowness_ratio", "ratio", "Measured to expected run times, with the present anomaly.")
	TargetFailed    = define(KindGauge, "target_failed_ratio", "ratio", "Share of recent runs that have failed.")
	TargetAccepting = define(KindGauge, "target_accepting", "0 or 1", "1 while tasks would be started.")
	GatewaysLinked  = define(KindGauge, "gateways_linked", "gateways", "Links to gateways that are up.")
)
