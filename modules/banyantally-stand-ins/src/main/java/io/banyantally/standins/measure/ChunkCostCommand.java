package io.banyantally.standins.measure;

import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.HttpEngine;
import io.banyantally.upstream.AnswerStream;
import io.banyantally.upstream.UpstreamException;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.LongAdder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the processor time of a token chunk that the HTTP adapter reads from an engine. */
@Command(
        name = "chunks",
        mixinStandardHelpOptions = true,
        description = "Reads complete answers in parallel and prints the processor time of a token chunk.")
final class ChunkCostCommand implements Callable<Integer> {

    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;

    @Option(names = "--engine", required = true, description = "Address of an engine stand-in.")
    private String engineAddress;

    @Option(names = "--model", defaultValue = "default-model", description = "Model of the engine.")
    private String model;

    @Option(names = "--steps", split = ",", defaultValue = "8,16,32,64", description = "Numbers of parallel streams.")
    private List<Integer> steps;

    @Option(names = "--tokens", defaultValue = "1000", description = "Tokens of an answer.")
    private int tokens;

    @Override
    public Integer call() throws Exception {
        GenerationRequests generations = new GenerationRequests(model);
        try (AdapterHttpClient client = AdapterHttpClient.start()) {
            HttpEngine engine = new HttpEngine(client, GenerationRequests.parseLoopbackAddress(engineAddress));
            readAll(engine, generations, steps.getLast());
            for (int step : steps) {
                long before = ProcessCost.processorNanos();
                long startedAt = System.nanoTime();
                long chunks = readAll(engine, generations, step);
                double seconds = (System.nanoTime() - startedAt) / NANOS_PER_SECOND;
                System.out.printf(
                        "streams=%d chunks=%d chunks_per_second=%.0f processor_micros_per_chunk=%.2f%n",
                        step,
                        chunks,
                        chunks / seconds,
                        (ProcessCost.processorNanos() - before) / NANOS_PER_MICRO / chunks);
            }
        }
        return 0;
    }

    private long readAll(HttpEngine engine, GenerationRequests generations, int streams) {
        LongAdder chunks = new LongAdder();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int stream = 0; stream < streams; stream++) {
                executor.execute(() -> readStream(engine, generations, chunks));
            }
        }
        return chunks.sum();
    }

    private void readStream(HttpEngine engine, GenerationRequests generations, LongAdder chunks) {
        try (AnswerStream answer = engine.generate(generations.next(tokens))) {
            while (!answer.next().last()) {
                chunks.increment();
            }
        } catch (UpstreamException failure) {
            System.err.println("event=answer-failed reason=\"" + failure.getMessage() + "\"");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
