/** Usage: counters, their copies at peers, sealed windows and reports. */
package io.banyantally.internal.usage;
