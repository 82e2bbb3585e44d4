/** The command line: runs an entry daemon, and prints its time line and logs. */
package io.banyantally.daemon;
