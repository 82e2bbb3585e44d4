/** The stand-in engine: a cost model driven by explicit time, and the server that runs it in real time. */
package io.banyantally.standins.engine;
