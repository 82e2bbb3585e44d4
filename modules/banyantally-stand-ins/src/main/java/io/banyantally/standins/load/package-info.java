/** Load tool: callers of both deployments, with verification of every answer. */
package io.banyantally.standins.load;
