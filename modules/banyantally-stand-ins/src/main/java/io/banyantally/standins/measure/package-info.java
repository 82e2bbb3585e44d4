/** Measurements of the time, memory and messages that single components need. */
package io.banyantally.standins.measure;
