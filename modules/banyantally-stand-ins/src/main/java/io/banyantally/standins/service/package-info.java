/** Stand-in for a plain service. */
package io.banyantally.standins.service;
