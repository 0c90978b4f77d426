// Command soak runs daemon processes on this machine against simulated platform
// services and injects faults from outside: proxies that delay, reset, or drop
// traffic; signals that stop, pause, or kill processes; and failures of the store and
// of backend servers. It checks the guarantees of the system from what clients and
// backend servers observed.
//
// All random choices derive from the seed. Timing does not, so a seed reproduces the
// sequence of faults but not their exact interleaving with requests.
package main
