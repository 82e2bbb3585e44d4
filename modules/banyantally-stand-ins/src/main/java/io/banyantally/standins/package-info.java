/** Stand-ins for the systems outside, and the tools that load and measure the product. */
package io.banyantally.standins;
