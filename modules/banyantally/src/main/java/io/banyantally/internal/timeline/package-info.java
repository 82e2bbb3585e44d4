/** The time line: recent events of each process, and how those of all processes are merged. */
package io.banyantally.internal.timeline;
