// Package inventory holds the formats of the inventory and the rules that
// operators load, their checks and their differences. It does no I/O.
package inventory

// Target is a back end on a worker.
type Target struct {
	ID               string `json:"id"`
	Worker           string `json:"worker"`
	Rack             string `json:"rack"`
	AvailabilityZone string `json:"availability_zone"`
	Service          string `json:"service"`
	// Slots is the number of tasks that the target runs at the same time.
	Slots int `json:"slots"`
	// Connections bounds the connections from the agent to the target.
	Connections int `json:"connections"`
	// Speed is the declared speed relative to 1, or 0 when unknown.
	Speed float64 `json:"speed,omitempty"`
}

// Worker is a machine.
type Worker struct {
	ID               string `json:"id"`
	Rack             string `json:"rack"`
	AvailabilityZone string `json:"availability_zone"`
	Processors       int    `json:"processors"`
	MemoryMB         int    `json:"memory_mb"`
	Accelerators     int    `json:"accelerators,omitempty"`
}

// Inventory describes the resources of one deployment.
type Inventory struct {
	Workers []Worker `json:"workers"`
	Targets []Target `json:"targets"`
}

// Client is a customer with its share and quota.
type Client struct {
	ID string `json:"id"`
	// Share weighs clients against each other under load.
	Share float64 `json:"share"`
	// MaxQueued bounds the waiting tasks; 0 is no bound of the client's own.
	MaxQueued int `json:"max_queued,omitempty"`
	// MaxRunning bounds the tasks sent and not finished; 0 is no bound.
	MaxRunning int `json:"max_running,omitempty"`
	// TasksPerSecond is the quota; 0 is no quota.
	TasksPerSecond float64 `json:"tasks_per_second,omitempty"`
}

// Service says where and how work of one kind may run. An empty list is no
// restriction.
type Service struct {
	ID string `json:"id"`
	// Repeatable is false for work that must run at most once.
	Repeatable        bool     `json:"repeatable"`
	AllowedClients    []string `json:"allowed_clients,omitempty"`
	AllowedTargets    []string `json:"allowed_targets,omitempty"`
	DeniedTargets     []string `json:"denied_targets,omitempty"`
	AvailabilityZones []string `json:"availability_zones,omitempty"`
	Racks             []string `json:"racks,omitempty"`
	// MaxTasks bounds the tasks of one job; 0 is the system's bound.
	MaxTasks int `json:"max_tasks,omitempty"`
	// MaxTimeoutMS bounds the timeout of a job in milliseconds; 0 is the
	// system's bound.
	MaxTimeoutMS int `json:"max_timeout_ms,omitempty"`
}

// Rules say which work may run where.
type Rules struct {
	Clients  []Client  `json:"clients"`
	Services []Service `json:"services"`
}
