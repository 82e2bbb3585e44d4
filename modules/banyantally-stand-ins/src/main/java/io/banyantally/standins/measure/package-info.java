/** Measurements of single parts in memory, each a main class whose output goes into a page of docs/measurements. */
package io.banyantally.standins.measure;
