/** Stand-in for the platform: key-value service, upstream ordering, usage reports, weight store and VM directory. */
package io.banyantally.standins.platform;
