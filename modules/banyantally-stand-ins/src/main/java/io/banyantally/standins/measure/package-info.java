/** Measurements of single parts of the system in one process; each is a command. */
package io.banyantally.standins.measure;
