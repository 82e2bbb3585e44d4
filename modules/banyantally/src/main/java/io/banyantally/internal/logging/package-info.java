/** Log lines: one line of key=value pairs for each event. */
package io.banyantally.internal.logging;
