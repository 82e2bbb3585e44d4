/** Clocks. Every duration is measured on one VM's monotonic clock. */
package io.banyantally.internal.time;
