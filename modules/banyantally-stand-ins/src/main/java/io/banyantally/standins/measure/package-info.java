/** Measurements of single parts of the system; each is a command. */
package io.banyantally.standins.measure;
