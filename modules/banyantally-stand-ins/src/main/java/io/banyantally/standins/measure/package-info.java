/** Measurements of what parts of the system cost, each with its command. */
package io.banyantally.standins.measure;
