package io.banyantally.standins.measure;

import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.HttpEngine;
import io.banyantally.upstream.AnswerStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures heap and direct memory of an open generation stream. */
@Command(
        name = "streams",
        mixinStandardHelpOptions = true,
        description =
                "Opens generation streams step by step, each after its first token, and prints the memory in use.")
final class StreamMemoryCommand implements Callable<Integer> {

    private static final int TOKENS = 30_000;

    @Option(names = "--engine", required = true, description = "Address of an engine stand-in.")
    private String engineAddress;

    @Option(names = "--model", defaultValue = "default-model", description = "Model of the engine.")
    private String model;

    @Option(names = "--steps", split = ",", defaultValue = "100,200,400,800", description = "Numbers of streams.")
    private List<Integer> steps;

    @Override
    public Integer call() throws Exception {
        GenerationRequests generations = new GenerationRequests(model);
        List<AnswerStream> streams = new ArrayList<>();
        List<LinearFit.Point> heap = new ArrayList<>();
        List<LinearFit.Point> direct = new ArrayList<>();
        try (AdapterHttpClient client = AdapterHttpClient.start()) {
            HttpEngine engine = new HttpEngine(client, GenerationRequests.parseLoopbackAddress(engineAddress));
            for (int step : steps) {
                int open = streams.size();
                while (streams.size() < step) {
                    streams.add(engine.generate(generations.next(TOKENS)));
                }
                // The engine emits the first tokens of all streams in one batch step.
                for (AnswerStream stream : streams.subList(open, step)) {
                    stream.next();
                }
                heap.add(new LinearFit.Point(step, ProcessCost.heapBytes()));
                direct.add(new LinearFit.Point(step, ProcessCost.directBytes()));
                System.out.printf(
                        "streams=%d heap_bytes=%.0f direct_bytes=%.0f%n",
                        step, heap.getLast().value(), direct.getLast().value());
            }
            System.out.printf(
                    "heap_bytes_per_stream=%.0f direct_bytes_per_stream=%.0f%n",
                    LinearFit.fit(heap).slope(), LinearFit.fit(direct).slope());
            streams.forEach(AnswerStream::close);
        }
        return 0;
    }
}
