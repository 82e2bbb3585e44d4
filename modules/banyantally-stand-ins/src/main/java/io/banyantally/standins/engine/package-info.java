/** The engine stand-in: a cost model with explicit time, and the HTTP server that runs it in real time. */
package io.banyantally.standins.engine;
