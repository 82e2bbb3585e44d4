/** Measurements of what the adapters cost in memory and processor time. */
package io.banyantally.standins.measure;
