/**
 * Interfaces to the platform: key-value service, weight store, upstream ordering, usage reports and list of VMs. The
 * wire format of each is known only to its adapter.
 */
package io.banyantally.platform;
