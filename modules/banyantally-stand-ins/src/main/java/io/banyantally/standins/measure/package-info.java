/** Measurements of single subsystems, with a main class each. */
package io.banyantally.standins.measure;
