/** Stand-ins for external systems, and tools that put load on the product and measure it. */
package io.banyantally.standins;
