/**
 * Finds the parts of prompts that crash upstreams, so that requests with such a part are refused. All VMs share what
 * they observe over the platform's store, since each of them sees only some of the crashes.
 */
package io.banyantally.internal.crash;
