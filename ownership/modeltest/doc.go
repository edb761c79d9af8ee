// Package modeltest contains only tests: a model of gateways, agents, the log
// and the network that runs the rules of package ownership and the ledger of
// package agent/ledger under faults, in virtual time.
package modeltest
