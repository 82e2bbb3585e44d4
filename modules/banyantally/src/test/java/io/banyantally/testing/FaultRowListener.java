package io.banyantally.testing;

import io.banyantally.internal.invariant.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import org.junit.platform.engine.TestExecutionResult;
import org.junit.platform.engine.support.descriptor.MethodSource;
import org.junit.platform.launcher.TestExecutionListener;
import org.junit.platform.launcher.TestIdentifier;
import org.junit.platform.launcher.TestPlan;

/** Writes the number of passed and failed rows of the fault matrix, by promise, to {@code target/fault-rows.txt}. */
public final class FaultRowListener implements TestExecutionListener {

    private static final Path REPORT = Path.of("target", "fault-rows.txt");

    private final Map<String, LongAdder> counts = new ConcurrentSkipListMap<>();

    @Override
    public void executionFinished(TestIdentifier test, TestExecutionResult result) {
        if (!test.isTest()) {
            return;
        }
        promiseOf(test)
                .ifPresent(
                        promise -> counts.computeIfAbsent(promise + " " + result.getStatus(), name -> new LongAdder())
                                .increment());
    }

    private static Optional<Promise> promiseOf(TestIdentifier test) {
        return test.getSource()
                .filter(MethodSource.class::isInstance)
                .map(MethodSource.class::cast)
                .map(source -> source.getJavaMethod().getAnnotation(FaultRow.class))
                .map(FaultRow::promise);
    }

    @Override
    public void testPlanExecutionFinished(TestPlan plan) {
        if (counts.isEmpty()) {
            return;
        }
        StringBuilder report = new StringBuilder();
        counts.forEach((row, count) ->
                report.append(row).append(' ').append(count.sum()).append('\n'));
        try {
            Files.createDirectories(REPORT.getParent());
            Files.writeString(REPORT, report);
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot write " + REPORT, failure);
        }
    }
}
