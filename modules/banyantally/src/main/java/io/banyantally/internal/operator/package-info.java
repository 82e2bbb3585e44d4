/** The operators' HTTP interface: templates, client account parameters, keys, roster and status. */
package io.banyantally.internal.operator;
