// Package inventory holds the formats of the inventory and the rules that
// operators load, their checks and their differences. It does no I/O.
package inventory

// Target is a back end on a worker.
type Target struct {
	ID               string `json:"id" strict:"required,min=1"`
	Worker           string `json:"worker" strict:"required,min=1"`
	Rack             string `json:"rack" strict:"required,min=1"`
	AvailabilityZone string `json:"availability_zone" strict:"required,min=1"`
	Service          string `json:"service" strict:"required,min=1"`
	// Slots is the number of tasks that the target runs at the same time.
	Slots int `json:"slots" strict:"required,min=1,max=4096"`
	// Connections bounds the connections from the agent to the target.
	Connections int `json:"connections" strict:"required,min=1,max=65536"`
	// Speed is the declared speed relative to 1, or 0 when unknown.
	Speed float64 `json:"speed,omitempty" strict:"min=0"`
}

// Worker is a machine.
type Worker struct {
	ID               string `json:"id" strict:"required,min=1"`
	Rack             string `json:"rack" strict:"required,min=1"`
	AvailabilityZone string `json:"availability_zone" strict:"required,min=1"`
	Processors       int    `json:"processors" strict:"required,min=1,max=65536"`
	// MemoryMB has a minimum below any worker in use (32 GB), so that a value in
	// gigabytes is found.
	MemoryMB     int `json:"memory_mb" strict:"required,min=256"`
	Accelerators int `json:"accelerators,omitempty" strict:"min=0,max=65536"`
}

// Inventory describes the resources of one deployment.
type Inventory struct {
	Workers []Worker `json:"workers"`
	Targets []Target `json:"targets"`
}

// Client is a customer with its share and quota.
type Client struct {
	ID string `json:"id" strict:"required"`
	// Share weighs clients against each other under load.
	Share float64 `json:"share" strict:"required"`
	// MaxQueued bounds the waiting tasks; 0 is no bound of the client's own.
	MaxQueued int `json:"max_queued,omitempty" strict:"min=0"`
	// MaxRunning bounds the tasks sent and not finished; 0 is no bound.
	MaxRunning int `json:"max_running,omitempty" strict:"min=0"`
	// TasksPerSecond is the quota; 0 is no quota.
	TasksPerSecond float64 `json:"tasks_per_second,omitempty" strict:"min=0"`
}

// Service says where and how work of one kind may run. An empty list is no
// restriction.
type Service struct {
	ID string `json:"id" strict:"required"`
	// Repeatable is false for work that must run at most once.
	Repeatable        bool     `json:"repeatable"`
	AllowedClients    []string `json:"allowed_clients,omitempty"`
	AllowedTargets    []string `json:"allowed_targets,omitempty"`
	DeniedTargets     []string `json:"denied_targets,omitempty"`
	AvailabilityZones []string `json:"availability_zones,omitempty"`
	Racks             []string `json:"racks,omitempty"`
	// MaxTasks bounds the tasks of one job; 0 is the system's bound of 1,300
	// (docs/design.md, section 10).
	MaxTasks int `json:"max_tasks,omitempty" strict:"min=0,max=1300"`
	// MaxTimeoutMS bounds the timeout of a job in milliseconds; 0 is the
	// system's bound.
	MaxTimeoutMS int `json:"max_timeout_ms,omitempty"`
}

// Rules say which work may run where.
type Rules struct {
	Clients  []Client  `json:"clients"`
	Services []Service `json:"services"`
}
