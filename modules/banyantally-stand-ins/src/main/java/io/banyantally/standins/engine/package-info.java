/** Stand-in for a model engine. */
package io.banyantally.standins.engine;
