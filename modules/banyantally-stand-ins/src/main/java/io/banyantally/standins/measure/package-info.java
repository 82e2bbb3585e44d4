/** Measurements of the library inside one process: the cost of a decision and the memory that state takes. */
package io.banyantally.standins.measure;
