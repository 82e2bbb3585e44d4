/** Compares serving policies on the same traces, with a simulated clock and engines from the cost model. */
package io.banyantally.standins.experiment;
