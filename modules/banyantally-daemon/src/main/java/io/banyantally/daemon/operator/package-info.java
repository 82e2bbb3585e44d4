/** The operators' command line: a client of any entry daemon's {@code /operator/v1/}. */
package io.banyantally.daemon.operator;
