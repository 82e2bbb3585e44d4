/** The steps of the demo: prepare the configuration, withdraw a key, verify the result. */
package io.banyantally.standins.demo;
