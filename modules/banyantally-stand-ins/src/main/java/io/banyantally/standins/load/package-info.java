/** The load tool: sends the traffic of either deployment and verifies every answer. */
package io.banyantally.standins.load;
