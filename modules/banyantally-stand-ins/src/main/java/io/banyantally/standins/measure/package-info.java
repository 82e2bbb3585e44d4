/** Measurements of parts of the system, each with a main class. */
package io.banyantally.standins.measure;
