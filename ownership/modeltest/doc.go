// Package modeltest contains only tests. They run the rules of package ownership
// and the ledger of package agent/ledger in a simulation of gateways, agents, the
// log and the network, in virtual time and with injected faults.
package modeltest
