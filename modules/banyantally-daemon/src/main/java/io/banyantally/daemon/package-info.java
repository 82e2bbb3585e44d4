/** Daemon processes and the command line. */
package io.banyantally.daemon;
