/** Tests against separate processes: a platform, an engine, a plain service and entry daemons on this machine. */
package io.banyantally.standins.processes;
