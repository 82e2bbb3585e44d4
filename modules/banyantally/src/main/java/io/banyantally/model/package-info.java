/** Value types shared by all packages: identifiers, revisions and numbers with units. */
package io.banyantally.model;
