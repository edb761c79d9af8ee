// Package inventory defines, validates and compares the inventory and the rules
// that operators load. It does no I/O.
package inventory

// Target is a backend on a worker that runs tasks of one service.
type Target struct {
	ID               string `json:"id" strict:"required,min=1"`
	Worker           string `json:"worker" strict:"required,min=1"`
	Rack             string `json:"rack" strict:"required,min=1"`
	AvailabilityZone string `json:"availability_zone" strict:"required,min=1"`
	Service          string `json:"service" strict:"required,min=1"`
	// Slots is the number of tasks that the target runs at the same time.
	Slots int `json:"slots" strict:"required,min=1,max=4096"`
	// Connections limits the connections from the agent to the target.
	Connections int `json:"connections" strict:"required,min=1,max=65536"`
	// Speed is the declared speed relative to 1, or 0 when unknown.
	Speed float64 `json:"speed,omitempty" strict:"min=0"`
}

// Worker is a machine that hosts targets.
type Worker struct {
	ID               string `json:"id" strict:"required,min=1"`
	Rack             string `json:"rack" strict:"required,min=1"`
	AvailabilityZone string `json:"availability_zone" strict:"required,min=1"`
	Processors       int    `json:"processors" strict:"required,min=1,max=65536"`
	// MemoryMB has a minimum that rejects values given in gigabytes. The workers in
	// use have 32 GB.
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
	// Share is the client's weight relative to other clients under load.
	Share float64 `json:"share" strict:"required"`
	// MaxQueued limits the queued tasks; 0 means no limit of the client's own.
	MaxQueued int `json:"max_queued,omitempty" strict:"min=0"`
	// MaxRunning limits the tasks sent and not finished; 0 means no limit.
	MaxRunning int `json:"max_running,omitempty" strict:"min=0"`
	// TasksPerSecond is the rate quota; 0 means no quota.
	TasksPerSecond float64 `json:"tasks_per_second,omitempty" strict:"min=0"`
}

// Service holds the rules for one kind of work: who may submit it and where it
// may run. An empty list means no restriction.
type Service struct {
	ID string `json:"id" strict:"required"`
	// Repeatable is false for work that must run at most once.
	Repeatable        bool     `json:"repeatable"`
	AllowedClients    []string `json:"allowed_clients,omitempty"`
	AllowedTargets    []string `json:"allowed_targets,omitempty"`
	DeniedTargets     []string `json:"denied_targets,omitempty"`
	AvailabilityZones []string `json:"availability_zones,omitempty"`
	Racks             []string `json:"racks,omitempty"`
	// MaxTasks limits the tasks of one job; 0 means the system limit of 1,300
	// (docs/design.md, section 10).
	MaxTasks int `json:"max_tasks,omitempty" strict:"min=0,max=1300"`
	// MaxTimeoutMS limits the timeout of a job in milliseconds; 0 means the system
	// limit.
	MaxTimeoutMS int `json:"max_timeout_ms,omitempty"`
}

// Rules holds the clients and services, which determine which work may run where.
type Rules struct {
	Clients  []Client  `json:"clients"`
	Services []Service `json:"services"`
}
