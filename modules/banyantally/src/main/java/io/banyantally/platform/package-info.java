/**
 * Interfaces to the platform: key-value service, weight store, upstream ordering, usage reports and list of VMs. Each has
 * one adapter; no other class knows a wire format.
 */
package io.banyantally.platform;
