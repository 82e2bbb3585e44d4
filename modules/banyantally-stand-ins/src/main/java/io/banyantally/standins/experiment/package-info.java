/** The experiment: policies compared on the same traces, on a manual clock, with engines from the cost model. */
package io.banyantally.standins.experiment;
