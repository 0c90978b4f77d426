// Command soak runs real daemons as processes on this machine, before stand-ins of
// the users' platform, and injects faults from outside: proxies that delay, reset,
// cut and silence connections; signals that stop, pause and kill processes; a store
// and servers that fail. While it runs, and at its end, it checks the promises from
// what callers and backend servers have seen.
//
// Every choice follows from the seed. Times do not, so a seed repeats the faults and
// not the moment at which each request meets them.
package main
