// Package modeltest contains only tests. They run the cores of packages dispatch and
// runner in a simulation of gateways, agents, targets, callers and the network, in
// virtual time and with injected faults.
package modeltest
