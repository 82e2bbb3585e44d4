/** Settings of a process: JSON, checked as a whole before anything starts. */
package io.banyantally.internal.settings;
