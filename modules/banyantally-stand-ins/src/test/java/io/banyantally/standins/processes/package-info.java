/** Tests against separate processes on this machine: a platform, engines, a plain service and entry daemons. */
package io.banyantally.standins.processes;
