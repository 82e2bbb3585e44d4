package io.banyantally.testing;

import io.banyantally.internal.invariant.Promise;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Marks a test, or each invocation of a parameterized test, as a row of the fault matrix in docs/FAULTS.md. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.METHOD)
public @interface FaultRow {

    /** The promise that the test verifies. */
    Promise promise();

    /** The step of the protocol at which the fault occurs. */
    String step();

    /** A short description of the fault. */
    String fault();
}
