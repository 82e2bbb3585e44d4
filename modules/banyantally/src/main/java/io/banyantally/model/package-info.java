/** Value types shared by all packages: identifiers, revisions and fencing numbers. */
package io.banyantally.model;
